//! Callers that send requests over a keep-alive connection to their gateway.

use {
    crate::{
        config::{CRASHING_PART, HOST, KEY, TIMEOUT_MS},
        history::{Outcome, RequestKind, SentRequest, SharedHistory},
    },
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    rand::{Rng, SeedableRng, random},
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// How long a caller waits past the deadline, to distinguish a late response from none.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(3);

/// Pause after a failed connection attempt.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Percentage of requests that callers cancel before the response is complete.
const CANCEL_PERCENT: u32 = 5;

/// Number of distinct chats, shared by all callers.
const CHATS: u32 = 40;

/// A client of one gateway that records what it sends and receives.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) name: String,
    pub(crate) gateway: usize,
    /// How often the gateway was restarted.
    pub(crate) incarnation: Arc<AtomicU32>,
    pub(crate) addr: SocketAddr,
    pub(crate) history: SharedHistory,
    /// Set when the caller must not send further requests.
    pub(crate) stop: Arc<AtomicBool>,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Caller {
    /// Sends requests one at a time until `stop` is set.
    pub(crate) async fn run(self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut connection = None;
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(open) = self.connect(connection.take()).await else {
                sleep(RECONNECT_INTERVAL).await;
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.name);
            let kind = self.random_kind(&mut rng);
            let cancels = rng.random_ratio(CANCEL_PERCENT, 100);
            let cancel_after = cancels.then(|| Duration::from_millis(rng.random_range(1..400)));
            let chat = rng.random_range(0..CHATS);
            connection = self.call(open, &id, kind, chat, cancel_after).await;
            sleep(Duration::from_millis(rng.random_range(10..150))).await;
        }
    }

    fn random_kind(&self, rng: &mut ChaCha8Rng) -> RequestKind {
        let newest = self.history.newest_version().unwrap_or(1);
        match rng.random_range(0..100) {
            0..40 => RequestKind::Read,
            40..65 => RequestKind::Write,
            65..90 => RequestKind::Stream,
            90..95 => RequestKind::VersionOnly(newest),
            _ => RequestKind::VersionOnly(newest.saturating_sub(rng.random_range(1..=2)).max(1)),
        }
    }

    async fn connect(&self, connection: Option<Connection>) -> Option<Connection> {
        if let Some(mut open) = connection
            && open.sender.ready().await.is_ok()
        {
            return Some(open);
        }
        let socket = TcpStream::connect(self.addr).await.ok()?;
        let (sender, driver) = handshake(TokioIo::new(socket)).await.ok()?;
        let driver = tokio::spawn(async move {
            // A connection error surfaces in the requests in flight.
            let _ = driver.await;
        });
        Some(Connection { sender, driver })
    }

    /// Sends one request; returns the connection if it can be reused.
    async fn call(
        &self,
        mut connection: Connection,
        id: &str,
        kind: RequestKind,
        chat: u32,
        cancel_after: Option<Duration>,
    ) -> Option<Connection> {
        let now = Instant::now();
        let deadline = now + Duration::from_millis(TIMEOUT_MS);
        let (path, body) = (format!("/{kind}/x"), Bytes::from(format!("body of {id}")));
        let sent = SentRequest {
            kind,
            gateway: self.gateway,
            incarnation: self.incarnation.load(Ordering::Relaxed),
            path: path.clone(),
            body: body.clone(),
            at: now,
            deadline,
        };
        let request = Request::post(path)
            .header("host", HOST)
            .header("attempt-id", id)
            .header("deadline-ms", TIMEOUT_MS)
            .header("team-key", KEY)
            .header("prompt-tokens", "900,100")
            .header("prompt-parts", prompt_parts(kind, chat))
            .body(Full::new(body));
        let Ok(request) = request else { return Some(connection) };
        self.history.record_sent(id, sent);
        let limit = cancel_after.unwrap_or(Duration::from_millis(TIMEOUT_MS) + LATE_RESPONSE_WAIT);
        let ended = timeout(limit, exchange(&mut connection.sender, request)).await;
        let complete = matches!(ended, Ok(Outcome::Completed { .. }));
        let connection = Some(connection).filter(|_| complete);
        let on_timeout =
            if cancel_after.is_some() { Outcome::Cancelled } else { Outcome::TimedOut };
        self.history.record_outcome(id, ended.unwrap_or(on_timeout), Instant::now());
        connection
    }

    /// Sends one request on a new connection; returns its status, or zero without a complete response.
    pub(crate) async fn send_once(&self, id: &str, kind: RequestKind) -> u16 {
        let Some(open) = self.connect(None).await else { return 0 };
        self.call(open, id, kind, random(), None).await;
        self.history.response_status(id).unwrap_or(0)
    }
}

fn prompt_parts(kind: RequestKind, chat: u32) -> String {
    match kind {
        RequestKind::Crashing => format!("5:300,{CRASHING_PART}:100,{chat:x}:600"),
        _ => format!("5:300,{:x}:600", chat + 16),
    }
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> Outcome {
    match sender.send_request(request).await {
        Ok(response) => read(response).await,
        Err(_) => Outcome::Disconnected { events: Bytes::new() },
    }
}

async fn read(response: Response<Incoming>) -> Outcome {
    let (parts, mut body) = response.into_parts();
    let signature = parts.headers.get("endpoint-signature");
    let signature = signature.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return Outcome::Disconnected { events: bytes.freeze() },
        }
    }
    Outcome::Completed { status: parts.status.as_u16(), signature, body: bytes.freeze() }
}
