//! One connection to an endpoint, driven by the task that uses it.

use {
    crate::endpoint::error::{LinkError, LinkErrorKind},
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
        io::{IoSlice, Result as IoResult},
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Instant, timeout, timeout_at},
    },
};

/// Bytes of headers that an endpoint may send.
const HEADER_BYTES: usize = 64 << 10;

type Conn = Connection<TokioIo<Metered>, Full<Bytes>>;

/// A connection that carries one exchange at a time.
///
/// The connection makes no progress unless an exchange on it is awaited, and dropping it closes the socket. So when an
/// exchange failed, [`Link::written`] says for good what may have left.
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    conn: Option<Conn>,
    written: Arc<AtomicU64>,
    /// When it was made.
    pub(crate) born: Instant,
    /// When it was last used.
    pub(crate) used: Instant,
    /// Whether it carried an exchange before.
    pub(crate) pooled: bool,
}

impl Link {
    /// Connects; no byte is sent.
    pub(crate) async fn open(peer: SocketAddr, connect_ms: u64) -> Result<Link, LinkError> {
        let fail = |it| LinkError::new(LinkErrorKind::Connect, it);
        let born = Instant::now();
        let limit = Duration::from_millis(connect_ms);
        let dialed = timeout(limit, TcpStream::connect(peer)).await;
        let socket =
            dialed.map_err(|it| LinkError::new(LinkErrorKind::Connect, it))?.map_err(fail)?;
        let _ = socket.set_nodelay(true);
        let written = Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(Metered { inner: socket, written: written.clone() });
        let shaken = http1::Builder::new().max_buf_size(HEADER_BYTES).handshake(io).await;
        let (sender, conn) = shaken.map_err(|it| LinkError::new(LinkErrorKind::Connect, it))?;
        Ok(Link { sender, conn: Some(conn), written, born, used: born, pooled: false })
    }

    /// Bytes that the socket took since the connection was made.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Whether another exchange can begin; notices that the other end closed the connection.
    pub(crate) async fn is_ready(&mut self) -> bool {
        poll_fn(|cx| {
            poll_conn(&mut self.conn, cx);
            Poll::Ready(())
        })
        .await;
        self.conn.is_some() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Instant,
    ) -> Result<Response<Incoming>, LinkError> {
        self.used = Instant::now();
        let answered = self.sender.send_request(request);
        let waited = timeout_at(limit, drive(&mut self.conn, answered)).await;
        waited.map_err(|it| LinkError::new(LinkErrorKind::Silent, it))?.map_err(classify)
    }

    /// Waits for the next bytes of a body; nothing at its end.
    pub(crate) async fn bytes(
        &mut self,
        body: &mut Incoming,
        limit: Instant,
    ) -> Result<Option<Bytes>, LinkError> {
        loop {
            let waited = timeout_at(limit, drive(&mut self.conn, body.frame())).await;
            let frame = waited.map_err(|it| LinkError::new(LinkErrorKind::Silent, it))?;
            let Some(frame) = frame else { return Ok(None) };
            match frame.map_err(classify)?.into_data() {
                Ok(bytes) if !bytes.is_empty() => return Ok(Some(bytes)),
                _ => {}
            }
        }
    }
}

fn classify(err: hyper::Error) -> LinkError {
    let kind = if err.is_parse() || err.is_user() {
        LinkErrorKind::Malformed
    } else {
        LinkErrorKind::Reset
    };
    LinkError::new(kind, err)
}

fn poll_conn(conn: &mut Option<Conn>, cx: &mut Context<'_>) {
    if let Some(open) = conn
        && Pin::new(open).poll(cx).is_ready()
    {
        *conn = None;
    }
}

/// Waits for `work` while driving the connection that it depends on.
async fn drive<F>(conn: &mut Option<Conn>, work: F) -> F::Output
where
    F: Future,
{
    let mut work = pin!(work);
    poll_fn(|cx| {
        poll_conn(conn, cx);
        work.as_mut().poll(cx)
    })
    .await
}

/// A socket that counts the bytes that it took.
struct Metered {
    inner: TcpStream,
    written: Arc<AtomicU64>,
}

impl Metered {
    fn count(&self, polled: Poll<IoResult<usize>>) -> Poll<IoResult<usize>> {
        if let Poll::Ready(Ok(written)) = &polled {
            self.written.fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<IoResult<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Metered {
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
