//! Bodies of requests and responses.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody},
    model::Reason,
    std::{convert::Infallible, error::Error as StdError, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

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

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|it: Infallible| match it {}).boxed_unsync()
}

/// Reads a complete body of at most `limit` bytes. Each frame must arrive within `frame_timeout` of
/// the previous one.
///
/// # Errors
///
/// Returns [`Reason::TooLarge`] if the body exceeds the limit, and [`Reason::BadRequest`] if
/// reading it fails or times out.
pub async fn read_all<B>(
    mut body: B,
    limit: usize,
    frame_timeout: Duration,
) -> Result<Bytes, Reason>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(frame_timeout, body.frame()).await.map_err(|_| Reason::BadRequest)?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|_| Reason::BadRequest)?;
        let Some(data) = frame.data_ref() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(Reason::TooLarge);
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
