//! A client for the admin API, which follows the leader among the control replicas.

use {
    crate::failure::BadInput,
    bytes::Bytes,
    edge::{Client, full},
    eyre::{Result, WrapErr, bail},
    http::{Method, Request, header},
    http_body_util::{BodyExt, Limited},
    serde_json::Value,
    settings::OperatorSettings,
    std::{
        collections::VecDeque,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

const DEFAULT_SETTINGS: &str = "jf.toml";
/// The timeout for a response from one replica, in milliseconds.
const REPLICA_TIMEOUT_MS: u64 = 5_000;
/// The delay before all replicas are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// A client for the admin API of the control replicas, authenticated as one operator.
pub(crate) struct Api {
    control: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
    client: Client,
}

/// An admin API call.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// The operation id, which makes resending a change safe; `None` for reads.
    pub(crate) operation: Option<&'a str>,
    pub(crate) body: Bytes,
}

/// The outcome of sending a request to one replica.
enum Attempt {
    /// The replica responded with this status and body.
    Response(u16, Value),
    /// The replica is not the leader; the address of the leader if it knows one.
    NotLeader(Option<SocketAddr>),
    /// The replica did not respond.
    Failed(String),
}

impl Api {
    /// Reads the settings and the operator's token.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid or the token file cannot be read.
    pub(crate) fn open(file: Option<&Path>) -> Result<Api> {
        let file = file.map_or_else(|| PathBuf::from(DEFAULT_SETTINGS), Path::to_owned);
        let settings: OperatorSettings = settings::load(&file)?;
        let token = fs::read_to_string(&settings.token_file).map_err(|it| {
            let token_file = settings.token_file.display();
            let file = file.display();
            BadInput::new(format!(
                "{file}: token-file: expected a readable file {token_file} ({it})"
            ))
        })?;
        Ok(Api {
            control: settings.control,
            token: token.trim().to_owned(),
            timeout: Duration::from_millis(settings.timeout_ms),
            client: Client::new(REPLICA_TIMEOUT_MS.min(settings.timeout_ms)),
        })
    }

    /// Sends a request to the leader, trying one replica after another until one responds or the
    /// timeout expires.
    ///
    /// # Errors
    ///
    /// Returns [`BadInput`] if the request is invalid, and another error if it is refused or no
    /// replica responds in time.
    pub(crate) async fn call(&self, call: &Call<'_>) -> Result<Value> {
        let deadline = Instant::now() + self.timeout;
        let mut queue: VecDeque<SocketAddr> = self.control.iter().copied().collect();
        let mut error = "no replica was contacted".to_owned();
        while Instant::now() < deadline {
            let Some(peer) = queue.pop_front() else {
                queue.extend(&self.control);
                sleep(RETRY_DELAY).await;
                continue;
            };
            match self.send(peer, call).await {
                Attempt::Response(503, value) => error = format!("{peer}: {}", message(&value)),
                Attempt::Response(status, value) => return check_status(status, value),
                Attempt::NotLeader(Some(leader)) if leader != peer => {
                    error = format!("{peer} is not the leader; redirected to {leader}");
                    queue.push_front(leader);
                    sleep(RETRY_DELAY / 10).await;
                }
                Attempt::NotLeader(_) => error = format!("{peer} is not the leader and knows none"),
                Attempt::Failed(text) => error = text,
            }
        }
        let hint = call.operation.map(|it| format!("; retry with --operation {it}"));
        bail!(
            "no response within {} ms ({error}){}",
            self.timeout.as_millis(),
            hint.unwrap_or_default()
        )
    }

    async fn send(&self, peer: SocketAddr, call: &Call<'_>) -> Attempt {
        let sent = timeout(self.timeout, self.exchange(peer, call)).await;
        match sent {
            Ok(Ok((421, value))) => {
                Attempt::NotLeader(value["leader"].as_str().and_then(|it| it.parse().ok()))
            }
            Ok(Ok((status, value))) => Attempt::Response(status, value),
            Ok(Err(err)) => Attempt::Failed(format!("{err:#}")),
            Err(_) => Attempt::Failed(format!("{peer}: timed out")),
        }
    }

    async fn exchange(&self, peer: SocketAddr, call: &Call<'_>) -> Result<(u16, Value)> {
        let mut request = Request::builder().method(call.method.clone()).uri(&call.path);
        request = request.header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(operation) = call.operation {
            request = request.header("operation-id", operation);
        }
        let request =
            request.body(full(call.body.clone())).wrap_err("failed to build the request")?;
        let response = self.client.send(peer, request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body
            .map_err(|it| eyre::eyre!("failed to receive the response body from {peer}: {it}"))?;
        let value = serde_json::from_slice(&body.to_bytes());
        Ok((status, value.unwrap_or(Value::Null)))
    }
}

fn check_status(status: u16, value: Value) -> Result<Value> {
    match status {
        200..=299 => Ok(value),
        400 | 422 => Err(BadInput::new(message(&value)).into()),
        _ => bail!("request refused with status {status}: {}", message(&value)),
    }
}

fn message(value: &Value) -> String {
    let error = &value["error"];
    let text = |key: &str| error[key].as_str().unwrap_or("").replace('\n', "; ");
    let place = format!("{}.{}", text("aggregate"), text("rule"));
    match place.as_str() {
        "." if text("message").is_empty() => value.to_string(),
        "." => text("message"),
        _ => format!("{place}: {}", text("message")),
    }
}
