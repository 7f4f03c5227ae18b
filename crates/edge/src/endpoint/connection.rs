//! A connection to an endpoint, which is driven by the task that uses it.

use {
    crate::endpoint::error::{ExchangeError, ExchangeErrorKind},
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, Connection, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        future::poll_fn,
        io::{Error as IoError, IoSlice, Result as IoResult},
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Instant, timeout, timeout_at},
    },
};

/// The maximum size of the headers of a response, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;

/// The maximum number of bytes that an endpoint may send without a head or a part of a body. The HTTP
/// library limits neither interim responses nor the digits of a chunk's size.
const MAX_OVERHEAD_BYTES: u64 = 4 * MAX_HEADER_BYTES as u64;

type HttpConnection = Connection<TokioIo<CountingSocket>, Full<Bytes>>;

/// A connection that carries one exchange at a time.
///
/// The connection makes no progress unless an exchange on it is awaited, and dropping it closes the
/// socket. Therefore, once an exchange has failed, [`EndpointConnection::written`] is final.
pub(crate) struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Option<HttpConnection>,
    written: Arc<AtomicU64>,
    /// The number of bytes received since the last head or part of a body.
    overhead: Arc<AtomicU64>,
    /// When the connection was opened.
    pub(crate) opened_at: Instant,
    /// When the connection was last used.
    pub(crate) last_used: Instant,
    /// Whether the connection came from the pool and has carried an exchange before.
    pub(crate) reused: bool,
}

impl EndpointConnection {
    /// Opens a connection. No byte of a request is sent.
    pub(crate) async fn open(
        peer: SocketAddr,
        connect_ms: u64,
    ) -> Result<EndpointConnection, ExchangeError> {
        let connect_error = |it| ExchangeError::new(ExchangeErrorKind::Connect, it);
        let opened_at = Instant::now();
        let time_limit = Duration::from_millis(connect_ms);
        let connected = timeout(time_limit, TcpStream::connect(peer)).await;
        let socket = connected
            .map_err(|it| ExchangeError::new(ExchangeErrorKind::Connect, it))?
            .map_err(connect_error)?;
        let _ = socket.set_nodelay(true);
        let written = Arc::new(AtomicU64::new(0));
        let overhead = Arc::new(AtomicU64::new(0));
        let (inner, counters) = (socket, (written.clone(), overhead.clone()));
        let io = TokioIo::new(CountingSocket { inner, written: counters.0, overhead: counters.1 });
        let handshake = http1::Builder::new().max_buf_size(MAX_HEADER_BYTES).handshake(io).await;
        let (sender, connection) =
            handshake.map_err(|it| ExchangeError::new(ExchangeErrorKind::Connect, it))?;
        Ok(EndpointConnection {
            sender,
            connection: Some(connection),
            written,
            overhead,
            opened_at,
            last_used: opened_at,
            reused: false,
        })
    }

    /// Returns the number of bytes that the socket has accepted since the connection was opened.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns whether another exchange can start. It cannot if the endpoint has closed the
    /// connection.
    pub(crate) async fn is_ready(&mut self) -> bool {
        poll_fn(|cx| {
            poll_connection(&mut self.connection, cx);
            Poll::Ready(())
        })
        .await;
        self.connection.is_some() && self.sender.is_ready()
    }

    /// Sends a request and waits until `deadline` for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.last_used = Instant::now();
        let response = self.sender.send_request(request);
        let result = timeout_at(deadline, drive(&mut self.connection, response)).await;
        let response = result
            .map_err(|it| ExchangeError::new(ExchangeErrorKind::Timeout, it))?
            .map_err(exchange_error)?;
        self.overhead.store(0, Ordering::Relaxed);
        Ok(response)
    }

    /// Waits until `deadline` for the next bytes of a body. Returns `None` at the end of the body.
    pub(crate) async fn bytes(
        &mut self,
        body: &mut Incoming,
        deadline: Instant,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            let result = timeout_at(deadline, drive(&mut self.connection, body.frame())).await;
            let frame = result.map_err(|it| ExchangeError::new(ExchangeErrorKind::Timeout, it))?;
            let Some(frame) = frame else { return Ok(None) };
            match frame.map_err(exchange_error)?.into_data() {
                Ok(bytes) if !bytes.is_empty() => {
                    self.overhead.store(0, Ordering::Relaxed);
                    return Ok(Some(bytes));
                }
                _ => {}
            }
        }
    }
}

fn exchange_error(err: hyper::Error) -> ExchangeError {
    let kind = if err.is_parse() || err.is_user() {
        ExchangeErrorKind::Malformed
    } else {
        ExchangeErrorKind::Reset
    };
    ExchangeError::new(kind, err)
}

fn poll_connection(connection: &mut Option<HttpConnection>, cx: &mut Context<'_>) {
    if let Some(open_connection) = connection
        && Pin::new(open_connection).poll(cx).is_ready()
    {
        *connection = None;
    }
}

/// Waits for `future` while driving the connection that it depends on.
async fn drive<F>(connection: &mut Option<HttpConnection>, future: F) -> F::Output
where
    F: Future,
{
    let mut future = pin!(future);
    poll_fn(|cx| {
        poll_connection(connection, cx);
        future.as_mut().poll(cx)
    })
    .await
}

/// A socket that counts the bytes that it has accepted for sending, and fails once the endpoint has
/// sent too many bytes without content.
struct CountingSocket {
    inner: TcpStream,
    written: Arc<AtomicU64>,
    overhead: Arc<AtomicU64>,
}

impl CountingSocket {
    fn count(&self, polled: Poll<IoResult<usize>>) -> Poll<IoResult<usize>> {
        if let Poll::Ready(Ok(written)) = &polled {
            self.written.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncRead for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let read = (buf.filled().len() - before) as u64;
        if self.overhead.fetch_add(read, Ordering::Relaxed) + read > MAX_OVERHEAD_BYTES {
            return Poll::Ready(Err(IoError::other("too many bytes without content")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountingSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.count(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.count(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
