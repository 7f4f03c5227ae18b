//! A single HTTP exchange with an endpoint, on its own connection.
//!
//! Each connection serves one request and is then closed. Late or excess bytes from an endpoint
//! can't reach another request, and a connection dropped silently by a middlebox affects one
//! request at most.

use {
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
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

/// Why there is no response.
#[derive(Debug, Display, Error)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    #[display("{reason}")]
    NotSent {
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

/// Closes the connection when dropped, so that the endpoint stops working on the request.
struct Connection {
    driver: JoinHandle<()>,
    overhead: Arc<AtomicUsize>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The body of a response. The connection is closed when it is dropped.
pub(crate) struct ResponseBody {
    body: Incoming,
    connection: Connection,
}

impl ResponseBody {
    /// Returns the next part, which is not empty, or `None` at the end of the body. The error says
    /// why the connection failed.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, String>> {
        loop {
            let frame = match self.body.frame().await? {
                Ok(frame) => frame,
                Err(err) => return Some(Err(describe(&err))),
            };
            if let Some(data) = frame.into_data().ok().filter(|it| !it.is_empty()) {
                self.connection.overhead.store(0, Ordering::Relaxed);
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
    overhead: Arc<AtomicUsize>,
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
        let overhead = self.overhead.fetch_add(read, Ordering::Relaxed) + read;
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
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
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
pub(crate) struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
}

/// Connects to an endpoint.
pub(crate) async fn connect(addr: SocketAddr) -> Result<IdleConnection, SendError> {
    let not_sent = |reason: String| SendError::NotSent { reason };
    let dialed = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let socket = match dialed {
        Ok(Ok(socket)) => socket,
        Ok(Err(err)) => return Err(not_sent(format!("connecting failed: {err}"))),
        Err(_) => return Err(not_sent(format!("no connection within {CONNECT_TIMEOUT:?}"))),
    };
    if let Err(err) = socket.set_nodelay(true) {
        tracing::debug!("gateway: failed to set TCP_NODELAY for {addr}: {err}");
    }
    let overhead = Arc::new(AtomicUsize::new(0));
    let io = TokioIo::new(MeteredSocket { inner: socket, overhead: overhead.clone() });
    let handshake = http1::Builder::new().max_buf_size(MAX_RESPONSE_HEAD_BYTES).handshake(io);
    let (sender, driver) = handshake.await.map_err(|it| not_sent(it.to_string()))?;
    let driver = tokio::spawn(async move {
        if let Err(err) = driver.await {
            tracing::debug!("gateway: connection to {addr} ended: {err}");
        }
    });
    Ok(IdleConnection { sender, connection: Connection { driver, overhead } })
}

impl IdleConnection {
    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                Ok(response.map(|body| ResponseBody { body, connection: self.connection }))
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

/// Returns an error of the HTTP library with its cause, which the library leaves out.
fn describe(err: &hyper::Error) -> String {
    match err.source() {
        Some(cause) => format!("{err}: {cause}"),
        None => err.to_string(),
    }
}
