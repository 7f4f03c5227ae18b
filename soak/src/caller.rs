//! Callers: each keeps a connection to its gateway open for as long as that lasts.

use {
    crate::{
        record::{End, Kind, Sent, Shared},
        site::{HOST, KEY, TIMEOUT_MS},
    },
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    rand::{Rng, SeedableRng},
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

/// How long after its deadline a caller still listens, to tell a late answer from none.
const PATIENCE: Duration = Duration::from_secs(3);

/// The pause after a connection could not be made.
const RECONNECT: Duration = Duration::from_millis(100);

/// Of a hundred requests, how many callers leave before the answer is whole.
const LEAVE_PERCENT: u32 = 5;

/// Chats of all callers together: each is continued by many of them.
const CHATS: u32 = 40;

/// Where a caller sends and what it notes.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) name: String,
    pub(crate) gateway: usize,
    /// How often the gateway was started.
    pub(crate) life: Arc<AtomicU32>,
    pub(crate) addr: SocketAddr,
    pub(crate) record: Shared,
    /// Set when no further request should be sent.
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
    /// Sends requests, one after the other, until it is told to stop.
    pub(crate) async fn run(self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut connection = None;
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(open) = self.connected(connection.take()).await else {
                sleep(RECONNECT).await;
                continue;
            };
            number += 1;
            let id = format!("{}-{number}", self.name);
            let kind = self.draw(&mut rng);
            let leaves = rng.random_ratio(LEAVE_PERCENT, 100);
            let stay = leaves.then(|| Duration::from_millis(rng.random_range(1..400)));
            let chat = rng.random_range(0..CHATS);
            connection = self.call(open, &id, kind, chat, stay).await;
            sleep(Duration::from_millis(rng.random_range(10..150))).await;
        }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> Kind {
        let newest = self.record.newest().unwrap_or(1);
        match rng.random_range(0..100) {
            0..40 => Kind::Read,
            40..65 => Kind::Write,
            65..90 => Kind::Stream,
            90..95 => Kind::Only(newest),
            _ => Kind::Only(newest.saturating_sub(rng.random_range(1..=2)).max(1)),
        }
    }

    async fn connected(&self, connection: Option<Connection>) -> Option<Connection> {
        if let Some(mut open) = connection
            && open.sender.ready().await.is_ok()
        {
            return Some(open);
        }
        let socket = TcpStream::connect(self.addr).await.ok()?;
        let (sender, driver) = handshake(TokioIo::new(socket)).await.ok()?;
        let driver = tokio::spawn(async move {
            // How it ends shows in the requests that are under way.
            let _ = driver.await;
        });
        Some(Connection { sender, driver })
    }

    /// Makes one request; returns the connection if it can be used again.
    async fn call(
        &self,
        mut connection: Connection,
        id: &str,
        kind: Kind,
        chat: u32,
        stay: Option<Duration>,
    ) -> Option<Connection> {
        let now = Instant::now();
        let deadline = now + Duration::from_millis(TIMEOUT_MS);
        let (path, body) = (format!("/{kind}/x"), Bytes::from(format!("body of {id}")));
        let sent = Sent {
            kind,
            gateway: self.gateway,
            life: self.life.load(Ordering::Relaxed),
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
            .header("prompt-parts", format!("5:300,{:x}:600", chat + 16))
            .body(Full::new(body));
        let Ok(request) = request else { return Some(connection) };
        self.record.sent(id, sent);
        let limit = stay.unwrap_or(Duration::from_millis(TIMEOUT_MS) + PATIENCE);
        let ended = timeout(limit, exchange(&mut connection.sender, request)).await;
        let whole = matches!(ended, Ok(End::Answered { .. }));
        let connection = Some(connection).filter(|_| whole);
        let given_up = if stay.is_some() { End::Left } else { End::Silence };
        self.record.ended(id, ended.unwrap_or(given_up), Instant::now());
        connection
    }

    /// Makes one request on a connection of its own; returns its status, zero if there is no whole answer.
    pub(crate) async fn once(&self, id: &str, kind: Kind) -> u16 {
        let Some(open) = self.connected(None).await else { return 0 };
        self.call(open, id, kind, 0, None).await;
        self.record.status(id).unwrap_or(0)
    }
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> End {
    match sender.send_request(request).await {
        Ok(response) => read(response).await,
        Err(_) => End::Cut { events: Bytes::new() },
    }
}

async fn read(response: Response<Incoming>) -> End {
    let (parts, mut body) = response.into_parts();
    let signature = parts.headers.get("endpoint-signature");
    let signature = signature.and_then(|it| it.to_str().ok()).map(str::to_owned);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return End::Cut { events: bytes.freeze() },
        }
    }
    End::Answered { status: parts.status.as_u16(), signature, body: bytes.freeze() }
}
