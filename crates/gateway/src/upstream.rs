//! A single HTTP exchange with an endpoint, on its own connection.
//!
//! Each connection serves one request and is then closed. Late or excess bytes from an endpoint
//! can't reach another request, and a connection dropped silently by a middlebox affects one
//! request at most.

use {
    crate::{
        detour::{Detour, DetourBody},
        headers::is_framed,
        paths::Connection,
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    dispatch::AttemptOutcome,
    edge::Payload,
    http::{Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::{
        body::{Body as HttpBody, Incoming},
        client::conn::http1,
    },
    hyper_util::rt::TokioIo,
    std::{
        error::Error as StdError,
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        task::JoinHandle,
        time::timeout,
    },
};

/// The connect timeout: a few round trips within a region, but less than the retransmission timeout
/// of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum size of a response head, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// The maximum number of bytes that an endpoint may send without a head or a part of a body, such as
/// interim responses or framing. It exceeds what can be buffered before a part is taken.
const MAX_OVERHEAD_BYTES: usize = 4 * MAX_RESPONSE_HEAD_BYTES;

/// A connection to an endpoint was not established.
#[derive(Debug, Display, Error)]
#[display("{reason}")]
pub(crate) struct ConnectError {
    /// Whether the endpoint's host refused the connection.
    pub(crate) is_refused: bool,
    reason: String,
}

/// Why there is no response.
#[derive(Debug, Display, Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[display("{reason}")]
    NotSent {
        /// The cause.
        reason: String,
    },
    /// No byte of the request was sent, for a reason that says nothing about the endpoint's health:
    /// neither this gateway nor another one has a path to it, or it wants no requests.
    #[display("{reason}")]
    Withheld {
        /// The cause.
        reason: String,
    },
    /// The request was handed to another gateway, and the connection to that one failed. This says
    /// nothing about the endpoint.
    #[display("connection to another gateway lost: {reason}")]
    PathBroken {
        /// The cause.
        reason: String,
    },
    /// The request was sent, at least in part.
    #[display("connection lost: {reason}")]
    Broken {
        /// The cause.
        reason: String,
    },
}

/// The bytes that passed a connection.
#[derive(Default)]
struct Meter {
    /// The number of bytes received since the last head or part of a body.
    overhead: AtomicUsize,
    /// The number of bytes that the socket has accepted for sending.
    written: AtomicUsize,
}

/// Closes the connection when dropped, so that the endpoint stops working on the request.
struct Driver {
    task: JoinHandle<()>,
    meter: Arc<Meter>,
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The body of a response. The connection is closed when it is dropped.
pub(crate) enum ResponseBody {
    /// From the endpoint.
    Direct(DirectBody),
    /// By way of another gateway.
    Detour(DetourBody),
}

impl ResponseBody {
    /// Returns the next part, which is not empty, or `None` at the end of the body. The error says
    /// why the connection failed.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, String>> {
        match self {
            ResponseBody::Direct(it) => it.next().await,
            ResponseBody::Detour(it) => it.next().await,
        }
    }

    /// Returns how the attempt ends whose response broke off.
    pub(crate) fn broken_outcome(&self) -> AttemptOutcome {
        match self {
            ResponseBody::Detour(it) if it.is_path_broken => AttemptOutcome::Abandoned,
            _ => AttemptOutcome::Broken,
        }
    }
}

/// The body of a response that comes from the endpoint.
pub(crate) struct DirectBody {
    body: Incoming,
    driver: Driver,
    /// The number of bytes that must have been sent when the response ends. The end of a connection is not that of a
    /// response if the endpoint has not taken the whole request.
    min_written: usize,
}

impl DirectBody {
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(err)) => return Some(Err(describe(&err))),
                None if self.driver.meter.written.load(Ordering::Relaxed) >= self.min_written => {
                    return None;
                }
                None => return Some(Err("connection closed while sending the request".to_owned())),
            };
            if let Some(data) = frame.into_data().ok().filter(|it| !it.is_empty()) {
                self.driver.meter.overhead.store(0, Ordering::Relaxed);
                return Some(Ok(data));
            }
        }
    }
}

/// Fails when an endpoint sends too much without a head or a part of a body.
///
/// The HTTP library limits heads, but neither interim responses nor the digits of a chunk's size.
struct MeteredSocket {
    inner: TcpStream,
    meter: Arc<Meter>,
}

impl MeteredSocket {
    fn count(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(written)) = &polled {
            self.meter.written.fetch_add(*written, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncRead for MeteredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        let overhead = self.meter.overhead.fetch_add(read, Ordering::Relaxed) + read;
        if overhead > MAX_OVERHEAD_BYTES {
            return Poll::Ready(Err(io::Error::other("endless response without content")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.count(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.count(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// A connection over which nothing has been sent.
pub(crate) enum IdleConnection {
    /// To the endpoint.
    Direct(Connection),
    /// By way of another gateway.
    Detour(Detour),
}

impl IdleConnection {
    /// Returns the gateway by way of which the connection leads.
    pub(crate) fn peer(&self) -> Option<SocketAddr> {
        match self {
            IdleConnection::Direct(_) => None,
            IdleConnection::Detour(it) => Some(it.peer),
        }
    }

    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(
        self,
        request: Request<Payload>,
    ) -> Result<Response<ResponseBody>, SendError> {
        match self {
            IdleConnection::Direct(it) => it.send(request).await,
            IdleConnection::Detour(it) => it.send(request).await,
        }
    }
}

/// A connection to an endpoint over which nothing has been sent.
pub(crate) struct DirectConnection {
    sender: http1::SendRequest<Payload>,
    driver: Driver,
}

/// Connects to an endpoint.
pub(crate) async fn connect(addr: SocketAddr) -> Result<DirectConnection, ConnectError> {
    let failed = |reason: String| ConnectError { is_refused: false, reason };
    let dialed = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let socket = match dialed {
        Ok(Ok(socket)) => socket,
        Ok(Err(err)) => {
            let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
            return Err(ConnectError { is_refused, reason: format!("connecting failed: {err}") });
        }
        Err(_) => return Err(failed(format!("no connection within {CONNECT_TIMEOUT:?}"))),
    };
    if let Err(err) = socket.set_nodelay(true) {
        tracing::debug!("gateway: failed to set TCP_NODELAY for {addr}: {err}");
    }
    let meter = Arc::new(Meter::default());
    let io = TokioIo::new(MeteredSocket { inner: socket, meter: meter.clone() });
    let handshake = http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(io);
    let (sender, driver) = handshake.await.map_err(|it| failed(it.to_string()))?;
    let task = tokio::spawn(async move {
        if let Err(err) = driver.await {
            tracing::debug!("gateway: connection to {addr} ended: {err}");
        }
    });
    Ok(DirectConnection { sender, driver: Driver { task, meter } })
}

impl DirectConnection {
    /// Returns whether the connection is still open after this time.
    pub(crate) async fn stays_open(mut self, time: Duration) -> bool {
        timeout(time, &mut self.driver.task).await.is_err()
    }

    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(
        mut self,
        request: Request<Payload>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let body_bytes = request.body().len();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                check_status(response.status().as_u16())?;
                let ends_with_connection =
                    !is_framed(response.headers()) && !response.body().is_end_stream();
                let is_unframed = response.status().is_success() && ends_with_connection;
                let min_written = if is_unframed { body_bytes } else { 0 };
                Ok(response.map(|body| {
                    ResponseBody::Direct(DirectBody { body, driver: self.driver, min_written })
                }))
            }
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let reason = describe(&err.into_error());
                Err(if unsent {
                    SendError::NotSent { reason }
                } else {
                    SendError::Broken { reason }
                })
            }
        }
    }
}

/// Rejects a status that no complete response has: HTTP defines none below 200 or over 599.
pub(crate) fn check_status(status: u16) -> Result<StatusCode, SendError> {
    let valid = StatusCode::from_u16(status).ok().filter(|_| (200..600).contains(&status));
    valid.ok_or_else(|| SendError::Broken { reason: format!("invalid status {status}") })
}

/// Returns an error of the HTTP library with its cause, which the library leaves out.
fn describe(err: &hyper::Error) -> String {
    match err.source() {
        Some(cause) => format!("{err}: {cause}"),
        None => err.to_string(),
    }
}
