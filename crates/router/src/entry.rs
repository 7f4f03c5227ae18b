//! Handling of callers' requests: authentication, limits, and the response.

use {
    crate::{
        call::Call,
        driver::{self, BodyPart, ResponseHead},
        idempotency,
        shared::Shared,
        view::ClusterView,
    },
    bytes::Bytes,
    edge::{Body, BodyError, Payload, ReadError, refusal_response},
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header, request},
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, Incoming},
    model::{Digest, MILLISECOND, Outcome, Reason, Refusal, RequestId, Team, TeamId, Time},
    rand::random,
    std::{
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{sync::mpsc, time::timeout_at},
    wire::msg::Header,
};

/// Response header with the name of the endpoint that ran the request.
const ENDPOINT_HEADER: &str = "jasminefront-endpoint";

/// Response header with the ID of the request.
const REQUEST_HEADER: &str = "jasminefront-request";

/// Request header with the caller's deadline, in milliseconds from now.
const DEADLINE_HEADER: &str = "jasminefront-deadline-ms";

/// Maximum time between two chunks of a caller's request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry delay that a router without a configuration suggests to callers, in milliseconds.
const UNCONFIGURED_RETRY_MS: u32 = 1_000;

/// Retry delay that a router suggests whose memory other bodies take, in milliseconds.
const NO_MEMORY_RETRY_MS: u32 = 1_000;

/// The refusal sent to a caller if the driver of its request ended without a response.
const DRIVER_ENDED: Refusal =
    Refusal { outcome: Outcome::Unknown, reason: Reason::EndpointFailed, retry_ms: 0 };

/// A refusal with a message for the caller.
type RefusalWithMessage = (Refusal, &'static str);

/// Handles one request from a caller.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let id = RequestId(random());
    let mut response = match process(&shared, request, id).await {
        Ok(response) => response,
        Err((refusal, text)) => {
            shared.metrics.record_refused(&refusal);
            refusal_response(&refusal, text)
        }
    };
    if let Ok(value) = HeaderValue::try_from(id.to_string()) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    if shared.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn process(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    id: RequestId,
) -> Result<Response<Body>, RefusalWithMessage> {
    let view = shared.view();
    let team = authenticate(&view, request.headers())?;
    let (parts, body) = request.into_parts();
    let deadline = request_deadline(shared, &parts.headers)?;
    let body = receive_body(shared, &parts, body, deadline).await?;
    let permit = TeamPermit::acquire(shared, &team)?;
    let call = Call::new(&view, team, &parts, body, id, deadline)
        .map_err(|(reason, text)| not_run(reason, text))?;
    if let Some(retry_ms) = shared.quarantined(call.fingerprint) {
        return Err((
            Refusal::not_run(Reason::Quarantined, retry_ms),
            "this request crashed endpoints and is quarantined",
        ));
    }
    shared.metrics.record_started();
    let call = Arc::new(call);
    let head = match call.idempotency_key {
        Some(_) => idempotency::start(shared, call).await,
        None => driver::start(shared, call).await,
    };
    let head = head.map_err(|it| (it, "no endpoint completed the request"))?;
    Ok(build_response(&view, head, permit))
}

/// Receives the body of a request, which must be complete by the deadline.
async fn receive_body(
    shared: &Shared,
    parts: &request::Parts,
    body: Incoming,
    deadline: Time,
) -> Result<Bytes, RefusalWithMessage> {
    let limit = shared.settings.limits.body_bytes;
    let received = shared.upload_memory.receive_request(parts, body, limit, BODY_READ_TIMEOUT);
    let received = timeout_at(shared.clock.deadline(deadline), received).await;
    let received = received.unwrap_or(Err(ReadError::Stalled));
    received.and_then(Payload::join).map_err(|err| match err {
        ReadError::NoMemory => {
            let refusal = Refusal::not_run(err.into(), NO_MEMORY_RETRY_MS);
            (refusal, "there is too little memory for the request body at the moment")
        }
        _ => not_run(err.into(), "request body is too large or incomplete"),
    })
}

fn not_run(reason: Reason, text: &'static str) -> RefusalWithMessage {
    (Refusal::not_run(reason, 0), text)
}

fn authenticate(view: &ClusterView, headers: &HeaderMap) -> Result<Arc<Team>, RefusalWithMessage> {
    let value = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let token = value
        .and_then(|it| it.strip_prefix("Bearer "))
        .ok_or(not_run(Reason::Unauthorized, "missing bearer token"))?;
    // The lookup is by digest, so its timing reveals nothing about the token.
    let team = view.team_by_token(&Digest::of(token.trim().as_bytes()));
    team.cloned().ok_or_else(|| match view.config.revision.0 {
        0 => (Refusal::not_run(Reason::Unavailable, UNCONFIGURED_RETRY_MS), "no configuration yet"),
        _ => not_run(Reason::Unauthorized, "unknown token"),
    })
}

fn request_deadline(shared: &Shared, headers: &HeaderMap) -> Result<Time, RefusalWithMessage> {
    let limits = &shared.settings.limits;
    let requested_ms = match headers.get(DEADLINE_HEADER) {
        None => limits.deadline_default_ms,
        Some(value) => {
            let parsed = value.to_str().ok().and_then(|it| it.parse::<u64>().ok());
            parsed
                .ok_or(not_run(Reason::BadRequest, "deadline must be a number of milliseconds"))?
        }
    };
    Ok(shared.clock.now() + requested_ms.min(limits.deadline_max_ms) * MILLISECOND)
}

/// Counts a request against its team's limits until the response ends.
struct TeamPermit {
    shared: Arc<Shared>,
    team: TeamId,
}

impl TeamPermit {
    fn acquire(shared: &Arc<Shared>, team: &Team) -> Result<TeamPermit, RefusalWithMessage> {
        let now = shared.clock.now();
        let acquired = shared.team_limiter.lock().try_acquire(now, team.id, &team.limits);
        acquired.map_err(|it| (it, "the team exceeded its limit"))?;
        Ok(TeamPermit { shared: shared.clone(), team: team.id })
    }
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        self.shared.team_limiter.lock().release(self.team);
    }
}

fn build_response(view: &ClusterView, head: ResponseHead, permit: TeamPermit) -> Response<Body> {
    let body = ResponseBody { parts: head.body, ended: false, _permit: permit };
    let mut response = Response::new(body.boxed_unsync());
    // Another router may have forwarded a status that does not exist.
    *response.status_mut() = head.status.try_into().unwrap_or(StatusCode::BAD_GATEWAY);
    copy_headers(&head.headers, response.headers_mut());
    let endpoint = view.endpoint(head.endpoint).map(|it| it.name.clone());
    if let Some(value) = endpoint.and_then(|it| HeaderValue::try_from(&*it).ok()) {
        response.headers_mut().insert(ENDPOINT_HEADER, value);
    }
    response
}

/// The response body, received from the driver. Only [`BodyPart::End`] ends it without an error.
///
/// Data and the end marker share one channel, so that the end cannot overtake the last data. Dropping the body tells
/// the driver that the caller disconnected.
struct ResponseBody {
    parts: mpsc::Receiver<BodyPart>,
    ended: bool,
    _permit: TeamPermit,
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let part = ready!(self.parts.poll_recv(cx));
        if let Some(BodyPart::Bytes(bytes)) = part {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.ended = true;
        match part {
            Some(BodyPart::End) => Poll::Ready(None),
            Some(BodyPart::Abort(refusal)) => Poll::Ready(Some(Err(Box::new(refusal)))),
            _ => Poll::Ready(Some(Err(Box::new(DRIVER_ENDED)))),
        }
    }
}

fn copy_headers(from: &[Header], to: &mut HeaderMap) {
    for Header { name, value } in from {
        let name = HeaderName::try_from(&**name);
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}
