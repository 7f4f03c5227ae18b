//! Response bodies and reading of request bodies.

use {
    bytes::Bytes,
    derive_more::Debug,
    edge::{Body, BodyError, full, read_all},
    http::{HeaderValue, Response, StatusCode, header},
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, Incoming},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// The response header by which an endpoint guarantees that it did not run a rejected request.
pub(crate) const OUTCOME_HEADER: &str = "x-outcome";

const MAX_BODY_BYTES: usize = 64 << 20;
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(30_000);

/// A body streamed from a channel. An empty chunk ends it; it fails if the sender is dropped before that.
struct ChannelBody {
    receiver: UnboundedReceiver<Bytes>,
    done: bool,
}

impl HttpBody for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.done {
            return Poll::Ready(None);
        }
        match std::task::ready!(self.receiver.poll_recv(cx)) {
            Some(bytes) if bytes.is_empty() => {
                self.done = true;
                Poll::Ready(None)
            }
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None => Poll::Ready(Some(Err("cancelled".into()))),
        }
    }
}

/// Returns a body streamed from a channel, which ends at an empty chunk.
pub(crate) fn channel_body(chunks: UnboundedReceiver<Bytes>) -> Body {
    ChannelBody { receiver: chunks, done: false }.boxed_unsync()
}

/// Returns a JSON response.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize + ?Sized,
{
    let mut response = Response::new(full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// An error response that guarantees that the request did not run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Rejection {
    status: StatusCode,
    message: String,
}

impl Rejection {
    pub(crate) fn new(status: StatusCode, message: &str) -> Rejection {
        Rejection { status, message: message.to_owned() }
    }
}

impl From<Rejection> for Response<Body> {
    fn from(it: Rejection) -> Response<Body> {
        let body = serde_json::json!({ "error": { "message": it.message } });
        let mut response = json(it.status, &body);
        response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
        response
    }
}

/// Reads a complete body.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Rejection> {
    let bytes = read_all(body, MAX_BODY_BYTES, BODY_STALL_TIMEOUT).await;
    bytes.map_err(|it| Rejection::new(StatusCode::BAD_REQUEST, &it.to_string()))
}

/// Reads a complete body and parses it as JSON.
pub(crate) async fn read_json<T>(body: Incoming) -> Result<T, Rejection>
where
    T: DeserializeOwned,
{
    let bytes = read_body(body).await?;
    let parsed = serde_json::from_slice(&bytes);
    parsed.map_err(|it| Rejection::new(StatusCode::BAD_REQUEST, &it.to_string()))
}
