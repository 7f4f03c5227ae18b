//! A connection to another process, which is replaced when it fails.

use {
    crate::{
        dial::dial,
        error::{Step, WireError},
        protocol::{self, PROTOCOL},
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

/// The initial flow-control window of a stream. The window of a connection is 8 times as large.
pub(crate) const WINDOW_BYTES: u32 = 1 << 20;
pub(crate) const HANDSHAKE_LIMIT: Duration = Duration::from_millis(2_000);
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
const OPEN_LIMIT: Duration = Duration::from_millis(500);
const PING_INTERVAL: Duration = Duration::from_millis(5_000);
const PING_LIMIT: Duration = Duration::from_millis(2_000);

/// How this process connects to other processes.
#[derive(Clone, Debug)]
pub struct Dialer {
    /// The TLS identity of this process. `None` disables TLS, for tests on the loopback interface.
    pub identity: Option<Identity>,
    /// The counters of sent and received bytes.
    pub traffic: Traffic,
    /// The class by which the bytes of the connections are counted.
    pub class: TrafficClass,
}

/// A connection to another process, which is opened on first use and reopened after a failure.
#[derive(Clone)]
pub struct Peer {
    addr: SocketAddr,
    dialer: Dialer,
    protocol: u32,
    current: Arc<Mutex<Option<ActiveConnection>>>,
}

#[derive(Clone)]
struct ActiveConnection {
    requests: SendRequest<Bytes>,
    closed: Arc<Mutex<oneshot::Receiver<()>>>,
}

impl Peer {
    /// Returns a handle without connecting.
    pub fn new(addr: SocketAddr, dialer: Dialer) -> Peer {
        Peer { addr, dialer, protocol: PROTOCOL, current: Arc::default() }
    }

    /// Returns a handle that opens streams as a process which speaks another protocol. With 0 the other process is not
    /// told a number, as by a build that has none.
    #[must_use]
    pub fn with_protocol(self, protocol: u32) -> Peer {
        Peer { protocol, ..self }
    }

    /// Returns the address of the other process.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Opens a stream for `path`, and the connection if there is none.
    ///
    /// # Errors
    ///
    /// The other process is unreachable or refused the stream. It has received no byte of any
    /// message of the stream.
    pub async fn open(&self, path: &str) -> Result<Stream, WireError> {
        let requests = self.get_or_connect().await?;
        let opened = timeout(OPEN_LIMIT, self.open_stream(requests, path)).await;
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

    /// Drops the current connection. Its open streams continue, new streams use a new connection.
    pub async fn retire(&self) {
        *self.current.lock().await = None;
    }

    async fn open_stream(
        &self,
        requests: SendRequest<Bytes>,
        path: &str,
    ) -> Result<Stream, WireError> {
        let open_error = |it: h2::Error| WireError::new(Step::Open, self.addr, it);
        let mut ready = requests.ready().await.map_err(open_error)?;
        let uri = format!("http://{}{path}", self.addr);
        let mut request =
            Request::post(uri).body(()).map_err(|it| WireError::new(Step::Open, self.addr, it))?;
        protocol::write(request.headers_mut(), self.protocol);
        let (response, send) = ready.send_request(request, false).map_err(open_error)?;
        let send = SendHalf { inner: send, peer: self.addr, finished: false, _guard: None };
        let response = response.await.map_err(open_error)?;
        let protocol = protocol::read(response.headers());
        let recv = RecvHalf {
            inner: response.into_body(),
            peer: self.addr,
            buf: BytesMut::new(),
            received: 0,
            memory: None,
            _guard: None,
        };
        Ok(Stream { send, recv, protocol })
    }

    async fn get_or_connect(&self) -> Result<SendRequest<Bytes>, WireError> {
        let mut current = self.current.lock().await;
        if let Some(active) = &*current
            && active.closed.lock().await.try_recv() == Err(oneshot::error::TryRecvError::Empty)
        {
            return Ok(active.requests.clone());
        }
        let active = self.connect().await?;
        let requests = active.requests.clone();
        *current = Some(active);
        Ok(requests)
    }

    async fn connect(&self) -> Result<ActiveConnection, WireError> {
        let io_error = |step| move |it: std::io::Error| WireError::new(step, self.addr, it);
        let timeout_error =
            |step| move |it: tokio::time::error::Elapsed| WireError::new(step, self.addr, it);
        let result = timeout(CONNECT_LIMIT, dial(|| TcpStream::connect(self.addr))).await;
        let socket =
            result.map_err(timeout_error(Step::Connect))?.map_err(io_error(Step::Connect))?;
        let _ = socket.set_nodelay(true);
        let traffic = self.dialer.traffic.clone();
        let Some(identity) = &self.dialer.identity else {
            return self.handshake(CountingIo::new(socket, traffic)).await;
        };
        let name =
            Identity::server_name().map_err(|it| WireError::new(Step::Handshake, self.addr, it))?;
        let result = timeout(HANDSHAKE_LIMIT, identity.connector().connect(name, socket)).await;
        let tls =
            result.map_err(timeout_error(Step::Handshake))?.map_err(io_error(Step::Handshake))?;
        self.handshake(CountingIo::new(tls, traffic)).await
    }

    async fn handshake<T>(&self, io: CountingIo<T>) -> Result<ActiveConnection, WireError>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        io.class().set(self.dialer.class);
        let handshake = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES * 8)
            .enable_push(false)
            .handshake::<_, Bytes>(io);
        let result = timeout(HANDSHAKE_LIMIT, handshake).await;
        let result = result.map_err(|it| WireError::new(Step::Handshake, self.addr, it))?;
        let (requests, conn) =
            result.map_err(|it| WireError::new(Step::Handshake, self.addr, it))?;
        let (closed_sender, closed) = oneshot::channel();
        tokio::spawn(drive(conn, closed_sender, self.addr));
        Ok(ActiveConnection { requests, closed: Arc::new(Mutex::new(closed)) })
    }
}

/// Drives a connection until it ends or a ping times out.
async fn drive<T>(
    mut conn: Connection<T, Bytes>,
    closed_sender: oneshot::Sender<()>,
    peer: SocketAddr,
) where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let Some(pings) = conn.ping_pong() else { return };
    tokio::select! {
        ended = conn => if let Err(err) = ended {
            tracing::debug!("wire: connection to {peer} ended: {err}");
        },
        () = ping_until_failure(pings) => tracing::info!("wire: ping to {peer} failed"),
    }
    drop(closed_sender);
}

/// Pings the other process periodically, and returns when a ping fails or times out.
async fn ping_until_failure(mut pings: PingPong) {
    loop {
        sleep(PING_INTERVAL).await;
        let result = timeout(PING_LIMIT, pings.ping(h2::Ping::opaque())).await;
        if !matches!(result, Ok(Ok(_))) {
            return;
        }
    }
}

/// The traffic class of a connection, which can be changed while the connection is in use.
#[derive(Clone)]
pub(crate) struct SharedClass(Arc<AtomicU8>);

impl SharedClass {
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

/// An I/O object that counts the bytes it reads and writes.
pub(crate) struct CountingIo<T> {
    inner: T,
    traffic: Traffic,
    class: SharedClass,
}

impl<T> CountingIo<T> {
    pub(crate) fn new(inner: T, traffic: Traffic) -> CountingIo<T> {
        CountingIo {
            inner,
            traffic,
            class: SharedClass(Arc::new(AtomicU8::new(TrafficClass::Control as u8))),
        }
    }

    pub(crate) fn class(&self) -> SharedClass {
        self.class.clone()
    }
}

impl<T> AsyncRead for CountingIo<T>
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

impl<T> AsyncWrite for CountingIo<T>
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
