//! Requests of callers: checks, limits, and the answer.

use {
    crate::{
        call::Call,
        drive::{self, Head, Part},
        keyed,
        shared::Shared,
        view::View,
    },
    bytes::Bytes,
    edge::{Body, BodyError, read_all, refusal_response},
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header},
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
    tokio::sync::mpsc,
    wire::msg::Header,
};

/// The header that says where an answer ran.
const ENDPOINT_HEADER: &str = "jasminefront-endpoint";

/// The header that says under which id a request ran.
const REQUEST_HEADER: &str = "jasminefront-request";

/// The header by which a caller sets its deadline, in milliseconds.
const DEADLINE_HEADER: &str = "jasminefront-deadline-ms";

/// Seconds that two parts of a caller's body may be apart.
const BODY_STALL: Duration = Duration::from_secs(10);

/// When to come back to a router that has no configuration yet, in milliseconds.
const START_RETRY_MS: u32 = 1_000;

/// What a caller is told when the driver of its request ended without a word.
const DRIVER_LOST: Refusal =
    Refusal { outcome: Outcome::Unknown, reason: Reason::EndpointFailed, retry_ms: 0 };

/// A refusal with a text for the caller.
type Refused = (Refusal, &'static str);

/// Answers one request of a caller.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let id = RequestId(random());
    let mut response = match take(&shared, request, id).await {
        Ok(response) => response,
        Err((refusal, text)) => {
            shared.metrics.refused(&refusal);
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

async fn take(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    id: RequestId,
) -> Result<Response<Body>, Refused> {
    let view = shared.view();
    let team = authenticate(&view, request.headers())?;
    let (parts, body) = request.into_parts();
    let deadline = deadline(shared, &parts.headers)?;
    let limit = shared.settings.limits.body_bytes;
    let body = read_all(body, limit, BODY_STALL)
        .await
        .map_err(|it| refused(it, "body is too large or broke off"))?;
    let permit = Permit::take(shared, &team)?;
    let call = Call::new(&view, team, &parts, body, id, deadline)
        .map_err(|(reason, text)| refused(reason, text))?;
    if let Some(retry_ms) = shared.quarantined(call.fingerprint) {
        return Err((
            Refusal::not_run(Reason::Quarantined, retry_ms),
            "this request crashed endpoints",
        ));
    }
    shared.metrics.started();
    let call = Arc::new(call);
    let head = match call.key {
        Some(_) => keyed::start(shared, call).await,
        None => drive::start(shared, call).await,
    };
    let head = head.map_err(|it| (it, "no endpoint answered"))?;
    Ok(respond(&view, head, permit))
}

fn refused(reason: Reason, text: &'static str) -> Refused {
    (Refusal::not_run(reason, 0), text)
}

fn authenticate(view: &View, headers: &HeaderMap) -> Result<Arc<Team>, Refused> {
    let value = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let token = value
        .and_then(|it| it.strip_prefix("Bearer "))
        .ok_or(refused(Reason::Unauthorized, "no bearer token"))?;
    // The table is searched by digest, so the time of the search says nothing about the token.
    let team = view.team(&Digest::of(token.trim().as_bytes()));
    team.cloned().ok_or_else(|| match view.config.revision.0 {
        0 => (Refusal::not_run(Reason::Unavailable, START_RETRY_MS), "no configuration yet"),
        _ => refused(Reason::Unauthorized, "unknown token"),
    })
}

fn deadline(shared: &Shared, headers: &HeaderMap) -> Result<Time, Refused> {
    let limits = &shared.settings.limits;
    let asked = match headers.get(DEADLINE_HEADER) {
        None => limits.deadline_default_ms,
        Some(value) => {
            let parsed = value.to_str().ok().and_then(|it| it.parse::<u64>().ok());
            parsed.ok_or(refused(Reason::BadRequest, "deadline is not a number of milliseconds"))?
        }
    };
    Ok(shared.clock.now() + asked.min(limits.deadline_max_ms) * MILLISECOND)
}

/// A request counted in its team's limits until its answer ends.
struct Permit {
    shared: Arc<Shared>,
    team: TeamId,
}

impl Permit {
    fn take(shared: &Arc<Shared>, team: &Team) -> Result<Permit, Refused> {
        let now = shared.clock.now();
        let taken = shared.limits.lock().try_acquire(now, team.id, &team.limits);
        taken.map_err(|it| (it, "the team is over its limit"))?;
        Ok(Permit { shared: shared.clone(), team: team.id })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.limits.lock().release(self.team);
    }
}

fn respond(view: &View, head: Head, permit: Permit) -> Response<Body> {
    let body = AnswerBody { parts: head.body, ended: false, _permit: permit };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = head.status.try_into().unwrap_or_default();
    copy_headers(&head.headers, response.headers_mut());
    let endpoint = view.endpoint(head.endpoint).map(|it| it.name.clone());
    if let Some(value) = endpoint.and_then(|it| HeaderValue::try_from(&*it).ok()) {
        response.headers_mut().insert(ENDPOINT_HEADER, value);
    }
    response
}

/// The body of an answer, as its driver sends it; it ends in order by [`Part::End`] alone.
///
/// Parts and end come over one channel, so that the end cannot overtake the last part. Dropping the body tells the
/// driver that the caller is gone.
struct AnswerBody {
    parts: mpsc::Receiver<Part>,
    ended: bool,
    _permit: Permit,
}

impl HttpBody for AnswerBody {
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
        if let Some(Part::Bytes(bytes)) = part {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.ended = true;
        match part {
            Some(Part::End) => Poll::Ready(None),
            Some(Part::Abort(refusal)) => Poll::Ready(Some(Err(Box::new(refusal)))),
            _ => Poll::Ready(Some(Err(Box::new(DRIVER_LOST)))),
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
