//! One attempt at an endpoint, over as many connections as it takes.

use {
    crate::endpoint::{
        client::EndpointClient,
        error::{EndpointError, EndpointErrorKind, LinkError, LinkErrorKind},
        link::Link,
        request::{EndpointEvent, EndpointRequest, is_not_run, pass_on},
    },
    http::{HeaderMap, Response, StatusCode, header},
    hyper::body::Incoming,
    model::{Outcome, ServiceKind},
    std::time::Duration,
    tokio::{runtime::Handle, time::Instant},
};

/// Times that a request goes on after its connection was reset: a second reset means that the endpoint died.
const RESETS: u32 = 1;

/// The answer to one attempt.
///
/// Dropping it unfinished closes its connection and cancels the attempt at the endpoint.
pub struct EndpointStream {
    client: EndpointClient,
    request: EndpointRequest,
    state: State,
    /// Bytes of the body that were delivered, those before the first offset included.
    offset: u64,
    /// The length that the first head promised.
    length: Option<u64>,
    begun: bool,
    /// Exchanges of which a byte was sent.
    sent: u32,
    /// Whether nothing of the attempt is left at the endpoint.
    over: bool,
    resumes: u32,
    resets: u32,
}

enum State {
    /// An exchange is to begin, on a new connection if `fresh`.
    Opening { fresh: bool },
    /// The body is coming.
    Body { link: Box<Link>, body: Incoming },
    /// The answer is whole.
    Ended,
    /// The attempt failed.
    Failed,
}

impl EndpointStream {
    pub(crate) fn new(client: EndpointClient, request: EndpointRequest) -> EndpointStream {
        let offset = request.offset;
        // A connection that the other end is about to close for idleness would leave the outcome unknown.
        let state = State::Opening { fresh: !request.idempotent };
        EndpointStream {
            client,
            request,
            state,
            offset,
            length: None,
            begun: false,
            sent: 0,
            over: false,
            resumes: 0,
            resets: 0,
        }
    }

    /// Whether a byte of the request may have reached the endpoint.
    pub fn sent(&self) -> bool {
        self.sent > 0
    }

    /// Waits for what comes next; the end is the last.
    ///
    /// When the returned future is dropped, the stream must be dropped too.
    ///
    /// # Errors
    ///
    /// The attempt failed for good; it was cancelled where it may still run.
    pub async fn next(&mut self) -> Result<EndpointEvent, EndpointError> {
        loop {
            match self.step().await {
                Ok(Some(event)) => return Ok(event),
                Ok(None) => {}
                Err(err) => self.recover(err).await?,
            }
        }
    }

    async fn step(&mut self) -> Result<Option<EndpointEvent>, LinkError> {
        match std::mem::replace(&mut self.state, State::Failed) {
            State::Opening { fresh } => self.open(fresh).await,
            State::Body { link, body } => self.read(link, body).await.map(Some),
            State::Ended => {
                self.state = State::Ended;
                Ok(Some(EndpointEvent::End { length: self.offset }))
            }
            State::Failed => Err(LinkError::new(LinkErrorKind::Malformed, "the stream has failed")),
        }
    }

    async fn open(&mut self, fresh: bool) -> Result<Option<EndpointEvent>, LinkError> {
        if Instant::now() >= self.request.deadline {
            return Err(LinkError::deadline());
        }
        let request = self.request.build(self.client.peer(), self.offset)?;
        let mut link = Box::new(self.client.link(fresh).await?);
        let before = link.written();
        let limit = self.limit(self.client.limits().head_ms);
        let answered = link.send(request, limit).await;
        let moved = link.written() > before;
        self.sent += u32::from(moved);
        match answered {
            Ok(response) => self.head(link, response),
            Err(_) if !moved && link.pooled => {
                self.state = State::Opening { fresh: false };
                Ok(None)
            }
            Err(err) => Err(err),
        }
    }

    fn head(
        &mut self,
        link: Box<Link>,
        response: Response<Incoming>,
    ) -> Result<Option<EndpointEvent>, LinkError> {
        let (head, body) = response.into_parts();
        if !self.is_delimited(head.status, &head.headers) {
            return Err(LinkError::new(
                LinkErrorKind::Malformed,
                "the answer's length is not stated",
            ));
        }
        if is_not_run(head.status, &head.headers) {
            return Err(LinkError::new(LinkErrorKind::Refused, format!("status {}", head.status)));
        }
        let resumed = self.begun || self.offset > 0;
        if resumed && !head.status.is_success() {
            let status = head.status.as_u16();
            let text = format!("resume at {} refused with {status}", self.offset);
            return Err(LinkError::new(LinkErrorKind::Malformed, text));
        }
        self.state = State::Body { link, body };
        if self.begun {
            return Ok(None);
        }
        self.begun = true;
        self.length = length(&head.headers).map(|it| it + self.offset);
        let headers = pass_on(&head.headers);
        Ok(Some(EndpointEvent::Head { status: head.status.as_u16(), headers }))
    }

    /// Whether the end of the body can be told from a broken connection.
    fn is_delimited(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let bodiless = self.request.method == http::Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        bodiless
            || headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    async fn read(
        &mut self,
        mut link: Box<Link>,
        mut body: Incoming,
    ) -> Result<EndpointEvent, LinkError> {
        let limit = self.limit(self.client.limits().progress_ms);
        if let Some(bytes) = link.bytes(&mut body, limit).await? {
            let offset = self.offset;
            self.offset += bytes.len() as u64;
            self.state = State::Body { link, body };
            return Ok(EndpointEvent::Chunk { offset, bytes });
        }
        let promised = self.length.filter(|_| self.request.method != http::Method::HEAD);
        if promised.is_some_and(|it| it != self.offset) {
            return Err(LinkError::new(
                LinkErrorKind::Malformed,
                "the answer's length has changed",
            ));
        }
        self.state = State::Ended;
        self.over = true;
        drop(body);
        self.client.give_back(*link).await;
        Ok(EndpointEvent::End { length: self.offset })
    }

    /// When the connection is suspected; each new one is given twice as long, for the endpoint may only be slow.
    fn limit(&self, millis: u64) -> Instant {
        let patience = Duration::from_millis(millis) * 2u32.saturating_pow(self.resumes);
        (Instant::now() + patience).min(self.request.deadline)
    }

    /// Makes the stream go on over a new connection, or says for good what failed.
    async fn recover(&mut self, err: LinkError) -> Result<(), EndpointError> {
        self.state = State::Failed;
        if Instant::now() >= self.request.deadline {
            return Err(self.error(EndpointErrorKind::Deadline, err));
        }
        if self.sent == 0 {
            let kind = match err.kind {
                LinkErrorKind::Malformed => EndpointErrorKind::Malformed,
                _ => EndpointErrorKind::Unreachable,
            };
            return Err(self.error(kind, err));
        }
        match err.kind {
            LinkErrorKind::Malformed => return Err(self.error(EndpointErrorKind::Malformed, err)),
            LinkErrorKind::Refused => {
                self.over = true;
                return Err(self.error(EndpointErrorKind::Refused, err));
            }
            LinkErrorKind::Deadline => return Err(self.error(EndpointErrorKind::Deadline, err)),
            LinkErrorKind::Connect => return Err(self.error(EndpointErrorKind::Crashed, err)),
            LinkErrorKind::Reset => self.resets += 1,
            LinkErrorKind::Silent => {}
        }
        self.client.suspect();
        if let Err(failed) = self.client.probe(self.request.request, self.request.attempt).await {
            match failed.kind {
                LinkErrorKind::Connect | LinkErrorKind::Reset => {
                    return Err(self.error(EndpointErrorKind::Crashed, failed));
                }
                LinkErrorKind::Silent | LinkErrorKind::Deadline => {
                    return Err(self.error(EndpointErrorKind::Stalled, failed));
                }
                // It answered something, so it is there.
                LinkErrorKind::Malformed | LinkErrorKind::Refused => {}
            }
        }
        if self.resets > RESETS {
            return Err(self.error(EndpointErrorKind::Crashed, err));
        }
        if !self.may_repeat() {
            return Err(self.error(EndpointErrorKind::Connection, err));
        }
        if self.resumes >= self.client.limits().max_resumes {
            return Err(self.error(EndpointErrorKind::Stalled, err));
        }
        self.resumes += 1;
        self.state = State::Opening { fresh: true };
        Ok(())
    }

    /// Whether another exchange cannot double the work or the answer.
    fn may_repeat(&self) -> bool {
        let resumable = self.client.kind() == ServiceKind::Model;
        self.request.idempotent && (!self.begun || resumable)
    }

    fn error(&self, kind: EndpointErrorKind, err: LinkError) -> EndpointError {
        // A refusal proves nothing about the exchange before it.
        let proved = self.sent == 0 || (kind == EndpointErrorKind::Refused && self.sent == 1);
        let outcome = if proved { Outcome::NotRun } else { Outcome::Unknown };
        let (offset, peer) = (self.offset, self.client.peer());
        EndpointError { kind, outcome, offset, peer, source: err.source }
    }
}

impl Drop for EndpointStream {
    fn drop(&mut self) {
        // A plain service has no cancellation; its connection is closed.
        if self.sent == 0 || self.over || self.client.kind() == ServiceKind::Plain {
            return;
        }
        let Ok(runtime) = Handle::try_current() else { return };
        let client = self.client.clone();
        let (request, attempt) = (self.request.request, self.request.attempt);
        runtime.spawn(async move {
            if let Err(err) = client.cancel(request, attempt).await {
                tracing::debug!("edge: cancelling {request} {attempt}: {err}");
            }
        });
    }
}

/// The stated length of a body.
fn length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}
