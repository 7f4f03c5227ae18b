//! Bodies of requests and responses.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Debug, Display, Error},
    http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody},
    hyper::body::{Frame, SizeHint},
    model::Reason,
    std::{
        convert::Infallible,
        error::Error as StdError,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep_until, timeout, timeout_at},
};

/// The size of the chunks of a [`paced`] body, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// The error type of a streamed body.
pub type BodyError = Box<dyn StdError + Send + Sync>;

/// The body type of all responses and of the requests of [`Client`](crate::Client).
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of the given bytes.
pub fn full<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(|it: Infallible| match it {}).boxed_unsync()
}

/// Returns a body of the given bytes that is handed to the connection in chunks, at most `bytes_per_ms` bytes a
/// millisecond.
///
/// `on_end` is called once with the number of bytes that the connection took, when the body ends or is dropped.
///
/// # Panics
///
/// If called outside of a `tokio` runtime.
pub fn paced<F>(bytes: Bytes, bytes_per_ms: f64, on_end: F) -> Body
where
    F: FnOnce(usize) + Send + Unpin + 'static,
{
    let next_chunk = Box::pin(sleep_until(Instant::now()));
    let body = Paced { rest: bytes, taken: 0, bytes_per_ms, next_chunk, on_end: Some(on_end) };
    body.map_err(|it: Infallible| match it {}).boxed_unsync()
}

/// The body of [`paced`].
struct Paced<F>
where
    F: FnOnce(usize),
{
    rest: Bytes,
    taken: usize,
    bytes_per_ms: f64,
    next_chunk: Pin<Box<Sleep>>,
    on_end: Option<F>,
}

impl<F> hyper::body::Body for Paced<F>
where
    F: FnOnce(usize) + Unpin,
{
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        ready!(self.next_chunk.as_mut().poll(cx));
        let len = self.rest.len().min(CHUNK_BYTES);
        self.taken += len;
        let pause = Duration::from_secs_f64(len as f64 / self.bytes_per_ms / 1_000.0);
        self.next_chunk.as_mut().reset(Instant::now() + pause);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(len)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

impl<F> Drop for Paced<F>
where
    F: FnOnce(usize),
{
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(self.taken);
        }
    }
}

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|it: Infallible| match it {}).boxed_unsync()
}

/// Why a body could not be read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ReadError {
    /// The body exceeds the limit.
    #[display("too-large")]
    TooLarge,
    /// The body made no progress in time. Nothing is wrong with the part that arrived.
    #[display("stalled")]
    Stalled,
    /// The body is malformed, or its connection failed.
    #[display("bad-request")]
    Broken,
    /// There is too little memory for the body at the moment.
    #[display("overloaded")]
    NoMemory,
}

impl From<ReadError> for Reason {
    fn from(it: ReadError) -> Reason {
        match it {
            ReadError::TooLarge => Reason::TooLarge,
            ReadError::Stalled | ReadError::Broken => Reason::BadRequest,
            ReadError::NoMemory => Reason::Overloaded,
        }
    }
}

/// Reads a complete body of at most `limit` bytes. Each frame must arrive within `frame_timeout` of
/// the previous one.
///
/// # Errors
///
/// [`ReadError`].
pub async fn read_all<B>(
    mut body: B,
    limit: usize,
    frame_timeout: Duration,
) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(frame_timeout, body.frame()).await.map_err(|_| ReadError::Stalled)?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Some(data) = frame.data_ref() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        bytes.extend_from_slice(data);
    }
}

/// Reads a body and drops it, until it ends or fails, after `limit` bytes, or at `deadline`.
pub async fn discard<B>(mut body: B, limit: usize, deadline: Instant)
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut left = limit;
    while left > 0 {
        let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await else { return };
        left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
    }
}
