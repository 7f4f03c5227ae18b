//! One connection to another process, replaced when it fails.

use {
    crate::{
        dial::dial,
        error::{Step, WireError},
        stream::{RecvHalf, SendHalf, Stream},
        tls::Identity,
        traffic::{Traffic, TrafficClass},
    },
    bytes::{Bytes, BytesMut},
    h2::{
        PingPong,
        client::{Connection, SendRequest},
    },
    http::Request,
    std::{
        io::Result as IoResult,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU8, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::{Mutex, oneshot},
        time::{sleep, timeout},
    },
};

pub(crate) const WINDOW_BYTES: u32 = 1 << 20;
pub(crate) const HANDSHAKE_LIMIT: Duration = Duration::from_millis(2_000);
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
const OPEN_LIMIT: Duration = Duration::from_millis(500);
const PING_INTERVAL: Duration = Duration::from_millis(5_000);
const PING_LIMIT: Duration = Duration::from_millis(2_000);

/// How this process connects to others.
#[derive(Clone, Debug)]
pub struct Dialer {
    /// Its keys; without them connections are in the clear, for tests on loopback.
    pub identity: Option<Identity>,
    /// Where bytes are counted.
    pub traffic: Traffic,
    /// What its connections carry.
    pub class: TrafficClass,
}

/// A connection to another process, made when first used and again after it failed.
#[derive(Clone)]
pub struct Peer {
    addr: SocketAddr,
    dialer: Dialer,
    current: Arc<Mutex<Option<Live>>>,
}

#[derive(Clone)]
struct Live {
    requests: SendRequest<Bytes>,
    closed: Arc<Mutex<oneshot::Receiver<()>>>,
}

impl Peer {
    /// Returns a handle; nothing is connected yet.
    pub fn new(addr: SocketAddr, dialer: Dialer) -> Peer {
        Peer { addr, dialer, current: Arc::default() }
    }

    /// The other end's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Opens a stream for `path`, connecting first if need be.
    ///
    /// # Errors
    ///
    /// The other process cannot be reached or refuses the stream: no byte of a message reached it.
    pub async fn open(&self, path: &str) -> Result<Stream, WireError> {
        let requests = self.connected().await?;
        let opened = timeout(OPEN_LIMIT, self.open_on(requests, path)).await;
        match opened {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(err)) => {
                self.retire().await;
                Err(err)
            }
            Err(elapsed) => {
                self.retire().await;
                Err(WireError::new(Step::Open, self.addr, elapsed))
            }
        }
    }

    /// Drops the present connection; streams on it go on, new ones use another.
    pub async fn retire(&self) {
        *self.current.lock().await = None;
    }

    async fn open_on(&self, requests: SendRequest<Bytes>, path: &str) -> Result<Stream, WireError> {
        let fail = |it: h2::Error| WireError::new(Step::Open, self.addr, it);
        let mut ready = requests.ready().await.map_err(fail)?;
        let uri = format!("http://{}{path}", self.addr);
        let request =
            Request::post(uri).body(()).map_err(|it| WireError::new(Step::Open, self.addr, it))?;
        let (response, send) = ready.send_request(request, false).map_err(fail)?;
        let send = SendHalf { inner: send, peer: self.addr, done: false };
        let response = response.await.map_err(fail)?;
        let recv = RecvHalf {
            inner: response.into_body(),
            peer: self.addr,
            buf: BytesMut::new(),
            received: 0,
        };
        Ok(Stream { send, recv })
    }

    async fn connected(&self) -> Result<SendRequest<Bytes>, WireError> {
        let mut current = self.current.lock().await;
        if let Some(live) = &*current
            && live.closed.lock().await.try_recv() == Err(oneshot::error::TryRecvError::Empty)
        {
            return Ok(live.requests.clone());
        }
        let live = self.connect().await?;
        let requests = live.requests.clone();
        *current = Some(live);
        Ok(requests)
    }

    async fn connect(&self) -> Result<Live, WireError> {
        let fail = |step| move |it: std::io::Error| WireError::new(step, self.addr, it);
        let late =
            |step| move |it: tokio::time::error::Elapsed| WireError::new(step, self.addr, it);
        let dialed = timeout(CONNECT_LIMIT, dial(|| TcpStream::connect(self.addr))).await;
        let socket = dialed.map_err(late(Step::Connect))?.map_err(fail(Step::Connect))?;
        let _ = socket.set_nodelay(true);
        let traffic = self.dialer.traffic.clone();
        let Some(identity) = &self.dialer.identity else {
            return self.handshake(Counted::new(socket, traffic)).await;
        };
        let name =
            Identity::server_name().map_err(|it| WireError::new(Step::Handshake, self.addr, it))?;
        let shaken = timeout(HANDSHAKE_LIMIT, identity.connector().connect(name, socket)).await;
        let tls = shaken.map_err(late(Step::Handshake))?.map_err(fail(Step::Handshake))?;
        self.handshake(Counted::new(tls, traffic)).await
    }

    async fn handshake<T>(&self, io: Counted<T>) -> Result<Live, WireError>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        io.class().set(self.dialer.class);
        let handshake = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES * 8)
            .enable_push(false)
            .handshake::<_, Bytes>(io);
        let shaken = timeout(HANDSHAKE_LIMIT, handshake).await;
        let shaken = shaken.map_err(|it| WireError::new(Step::Handshake, self.addr, it))?;
        let (requests, conn) =
            shaken.map_err(|it| WireError::new(Step::Handshake, self.addr, it))?;
        let (alive, closed) = oneshot::channel();
        tokio::spawn(drive(conn, alive, self.addr));
        Ok(Live { requests, closed: Arc::new(Mutex::new(closed)) })
    }
}

/// Runs a connection until it ends or a ping goes unanswered.
async fn drive<T>(mut conn: Connection<T, Bytes>, alive: oneshot::Sender<()>, peer: SocketAddr)
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let Some(pings) = conn.ping_pong() else { return };
    tokio::select! {
        ended = conn => if let Err(err) = ended {
            tracing::debug!("wire: connection to {peer} ended: {err}");
        },
        () = watch(pings) => tracing::info!("wire: connection to {peer} went silent"),
    }
    drop(alive);
}

/// Returns when a ping goes unanswered.
async fn watch(mut pings: PingPong) {
    loop {
        sleep(PING_INTERVAL).await;
        let answered = timeout(PING_LIMIT, pings.ping(h2::Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
    }
}

/// The class of a connection, shared with the counter below it.
#[derive(Clone)]
pub(crate) struct ClassCell(Arc<AtomicU8>);

impl ClassCell {
    pub(crate) fn set(&self, class: TrafficClass) {
        self.0.store(class as u8, Ordering::Relaxed);
    }

    fn get(&self) -> TrafficClass {
        if self.0.load(Ordering::Relaxed) == TrafficClass::Forward as u8 {
            TrafficClass::Forward
        } else {
            TrafficClass::Control
        }
    }
}

/// An I/O object that counts its bytes.
pub(crate) struct Counted<T> {
    inner: T,
    traffic: Traffic,
    class: ClassCell,
}

impl<T> Counted<T> {
    pub(crate) fn new(inner: T, traffic: Traffic) -> Counted<T> {
        Counted {
            inner,
            traffic,
            class: ClassCell(Arc::new(AtomicU8::new(TrafficClass::Control as u8))),
        }
    }

    pub(crate) fn class(&self) -> ClassCell {
        self.class.clone()
    }
}

impl<T> AsyncRead for Counted<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.traffic.add_received(self.class.get(), buf.filled().len() - before);
        polled
    }
}

impl<T> AsyncWrite for Counted<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic.add_sent(self.class.get(), *written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
