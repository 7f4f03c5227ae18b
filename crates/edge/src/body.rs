//! Bodies of requests and answers.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody},
    model::Reason,
    std::{convert::Infallible, error::Error as StdError, time::Duration},
    tokio::time::timeout,
};

/// The error type of a body that is being streamed.
pub type BodyError = Box<dyn StdError + Send + Sync>;

/// The body type of all answers.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body of these bytes.
pub fn full<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(|it: Infallible| match it {}).boxed_unsync()
}

/// Returns a body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|it: Infallible| match it {}).boxed_unsync()
}

/// Reads a whole body of at most `limit` bytes whose frames are at most `stall` apart.
///
/// # Errors
///
/// [`Reason::TooLarge`] over the limit, [`Reason::BadRequest`] when the body breaks off or stalls.
pub async fn read_all<B>(mut body: B, limit: usize, stall: Duration) -> Result<Bytes, Reason>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut whole = BytesMut::new();
    loop {
        let frame = timeout(stall, body.frame()).await.map_err(|_| Reason::BadRequest)?;
        let Some(frame) = frame else { return Ok(whole.freeze()) };
        let frame = frame.map_err(|_| Reason::BadRequest)?;
        let Some(data) = frame.data_ref() else { continue };
        if whole.len() + data.len() > limit {
            return Err(Reason::TooLarge);
        }
        whole.extend_from_slice(data);
    }
}
