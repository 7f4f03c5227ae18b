//! Calls to the admin API of whichever control replica leads.

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
const EXCHANGE_MS: u64 = 5_000;
const PAUSE: Duration = Duration::from_millis(150);
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// The control replicas, and who asks.
pub(crate) struct Api {
    control: Vec<SocketAddr>,
    token: String,
    limit: Duration,
    client: Client,
}

/// One call.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Makes a resend safe; none for reads.
    pub(crate) operation: Option<&'a str>,
    pub(crate) body: Bytes,
}

/// What came of one try.
enum Tried {
    Answer(u16, Value),
    Leader(Option<SocketAddr>),
    Failed(String),
}

impl Api {
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
            limit: Duration::from_millis(settings.timeout_ms),
            client: Client::new(EXCHANGE_MS.min(settings.timeout_ms)),
        })
    }

    /// Asks the leader, going from replica to replica until one answers or the time is up.
    pub(crate) async fn call(&self, call: &Call<'_>) -> Result<Value> {
        let deadline = Instant::now() + self.limit;
        let mut queue: VecDeque<SocketAddr> = self.control.iter().copied().collect();
        let mut last = "no replica was asked".to_owned();
        while Instant::now() < deadline {
            let Some(peer) = queue.pop_front() else {
                queue.extend(&self.control);
                sleep(PAUSE).await;
                continue;
            };
            match self.send(peer, call).await {
                Tried::Answer(503, value) => last = format!("{peer}: {}", message(&value)),
                Tried::Answer(status, value) => return judge(status, value),
                Tried::Leader(Some(leader)) if leader != peer => {
                    last = format!("{peer}: the leader is {leader}");
                    queue.push_front(leader);
                    sleep(PAUSE / 10).await;
                }
                Tried::Leader(_) => last = format!("{peer}: no leader is known"),
                Tried::Failed(text) => last = text,
            }
        }
        let again = call.operation.map(|it| format!("; ask again with --operation {it}"));
        bail!(
            "no answer within {} ms ({last}){}",
            self.limit.as_millis(),
            again.unwrap_or_default()
        )
    }

    async fn send(&self, peer: SocketAddr, call: &Call<'_>) -> Tried {
        let sent = timeout(self.limit, self.exchange(peer, call)).await;
        match sent {
            Ok(Ok((421, value))) => {
                Tried::Leader(value["leader"].as_str().and_then(|it| it.parse().ok()))
            }
            Ok(Ok((status, value))) => Tried::Answer(status, value),
            Ok(Err(err)) => Tried::Failed(format!("{err:#}")),
            Err(_) => Tried::Failed(format!("{peer}: timed out")),
        }
    }

    async fn exchange(&self, peer: SocketAddr, call: &Call<'_>) -> Result<(u16, Value)> {
        let mut request = Request::builder().method(call.method.clone()).uri(&call.path);
        request = request.header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(operation) = call.operation {
            request = request.header("operation-id", operation);
        }
        let request = request.body(full(call.body.clone())).wrap_err("jf: build request")?;
        let response = self.client.send(peer, request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|it| eyre::eyre!("receive body with {peer}: {it}"))?;
        let value = serde_json::from_slice(&body.to_bytes());
        Ok((status, value.unwrap_or(Value::Null)))
    }
}

fn judge(status: u16, value: Value) -> Result<Value> {
    match status {
        200..=299 => Ok(value),
        400 | 422 => Err(BadInput::new(message(&value)).into()),
        _ => bail!("refused ({status}): {}", message(&value)),
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
