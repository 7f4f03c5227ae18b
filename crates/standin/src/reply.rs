//! Bodies of answers, and reading those of requests.

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

/// The header by which an endpoint proves that it did not run a request that it refused.
pub(crate) const OUTCOME_HEADER: &str = "x-outcome";

const MAX_BODY_BYTES: usize = 64 << 20;
const STALL: Duration = Duration::from_millis(30_000);

/// A body whose parts arrive over a channel; it breaks off if the sender is dropped before an empty part.
struct Parts {
    parts: UnboundedReceiver<Bytes>,
    done: bool,
}

impl HttpBody for Parts {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.done {
            return Poll::Ready(None);
        }
        match std::task::ready!(self.parts.poll_recv(cx)) {
            Some(bytes) if bytes.is_empty() => {
                self.done = true;
                Poll::Ready(None)
            }
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None => Poll::Ready(Some(Err("cancelled".into()))),
        }
    }
}

/// Returns a body whose parts arrive over a channel, an empty part last.
pub(crate) fn parts(receiver: UnboundedReceiver<Bytes>) -> Body {
    Parts { parts: receiver, done: false }.boxed_unsync()
}

/// Returns an answer in JSON.
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

/// A refusal that proves that the request did not run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Refused {
    status: StatusCode,
    message: String,
}

impl Refused {
    pub(crate) fn new(status: StatusCode, message: &str) -> Refused {
        Refused { status, message: message.to_owned() }
    }
}

impl From<Refused> for Response<Body> {
    fn from(it: Refused) -> Response<Body> {
        let text = serde_json::json!({ "error": { "message": it.message } });
        let mut response = json(it.status, &text);
        response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
        response
    }
}

/// Reads a whole body.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Refused> {
    let whole = read_all(body, MAX_BODY_BYTES, STALL).await;
    whole.map_err(|it| Refused::new(StatusCode::BAD_REQUEST, &it.to_string()))
}

/// Reads a whole body as JSON.
pub(crate) async fn read_json<T>(body: Incoming) -> Result<T, Refused>
where
    T: DeserializeOwned,
{
    let whole = read(body).await?;
    let parsed = serde_json::from_slice(&whole);
    parsed.map_err(|it| Refused::new(StatusCode::BAD_REQUEST, &it.to_string()))
}
