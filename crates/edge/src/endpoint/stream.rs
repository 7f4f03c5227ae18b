//! An attempt at a request to an endpoint, over one or more connections.

use {
    crate::endpoint::{
        client::EndpointClient,
        connection::EndpointConnection,
        error::{EndpointError, EndpointErrorKind, ExchangeError, ExchangeErrorKind},
        request::{EndpointEvent, EndpointRequest, end_to_end_headers, is_not_run},
    },
    http::{HeaderMap, Response, StatusCode, header},
    hyper::body::Incoming,
    model::{Outcome, ServiceKind},
    std::time::Duration,
    tokio::{runtime::Handle, time::Instant},
};

/// The number of times that a request is resumed after a connection reset. A second reset means
/// that the endpoint has crashed.
const MAX_RESETS: u32 = 1;

/// The response to an attempt.
///
/// Dropping it before its end closes its connection and cancels the attempt at the endpoint.
pub struct EndpointStream {
    client: EndpointClient,
    request: EndpointRequest,
    state: State,
    /// The position in the response body up to which it was delivered.
    offset: u64,
    /// The length of the complete body, according to the first head.
    expected_length: Option<u64>,
    /// Whether the head was delivered.
    head_delivered: bool,
    /// The number of exchanges of which a byte was sent.
    sent_exchanges: u32,
    /// Whether the attempt has ended at the endpoint, so that it need not be cancelled.
    ended_at_endpoint: bool,
    resumes: u32,
    resets: u32,
}

enum State {
    /// The next exchange has to be started, on a new connection if `fresh`.
    Connecting { fresh: bool },
    /// The body is being received.
    Body { connection: Box<EndpointConnection>, body: Incoming },
    /// The response is complete.
    Ended,
    /// The attempt failed.
    Failed,
}

impl EndpointStream {
    pub(crate) fn new(client: EndpointClient, request: EndpointRequest) -> EndpointStream {
        let offset = request.offset;
        // If the endpoint closes an idle connection while a request is being sent on it, the
        // outcome of the request is unknown, so a request that must not be repeated is sent on a
        // new connection.
        let state = State::Connecting { fresh: !request.idempotent };
        EndpointStream {
            client,
            request,
            state,
            offset,
            expected_length: None,
            head_delivered: false,
            sent_exchanges: 0,
            ended_at_endpoint: false,
            resumes: 0,
            resets: 0,
        }
    }

    /// Returns whether a byte of the request may have reached the endpoint.
    pub fn sent(&self) -> bool {
        self.sent_exchanges > 0
    }

    /// Waits for the next event. [`EndpointEvent::End`] is the last one.
    ///
    /// If the returned future is dropped, the stream must be dropped as well.
    ///
    /// # Errors
    ///
    /// The attempt failed and cannot be resumed. If it may still run at the endpoint, it is
    /// cancelled when the stream is dropped.
    pub async fn next(&mut self) -> Result<EndpointEvent, EndpointError> {
        loop {
            match self.advance().await {
                Ok(Some(event)) => return Ok(event),
                Ok(None) => {}
                Err(err) => self.recover(err).await?,
            }
        }
    }

    async fn advance(&mut self) -> Result<Option<EndpointEvent>, ExchangeError> {
        match std::mem::replace(&mut self.state, State::Failed) {
            State::Connecting { fresh } => self.start_exchange(fresh).await,
            State::Body { connection, body } => self.read_body(connection, body).await.map(Some),
            State::Ended => {
                self.state = State::Ended;
                Ok(Some(EndpointEvent::End { length: self.offset }))
            }
            State::Failed => Err(ExchangeError::new(
                ExchangeErrorKind::Malformed,
                "the stream has already failed",
            )),
        }
    }

    async fn start_exchange(
        &mut self,
        fresh: bool,
    ) -> Result<Option<EndpointEvent>, ExchangeError> {
        if Instant::now() >= self.request.deadline {
            return Err(ExchangeError::deadline());
        }
        let request = self.request.build(self.client.peer(), self.offset)?;
        let mut connection = Box::new(self.client.acquire(fresh).await?);
        let before = connection.written();
        let deadline = self.timeout_at(self.client.limits().head_ms);
        let result = connection.send(request, deadline).await;
        let sent = connection.written() > before;
        self.sent_exchanges += u32::from(sent);
        match result {
            Ok(response) => self.on_head(connection, response),
            Err(_) if !sent && connection.reused => {
                self.state = State::Connecting { fresh: false };
                Ok(None)
            }
            Err(err) => Err(err),
        }
    }

    fn on_head(
        &mut self,
        connection: Box<EndpointConnection>,
        response: Response<Incoming>,
    ) -> Result<Option<EndpointEvent>, ExchangeError> {
        let (head, body) = response.into_parts();
        if !(200..600).contains(&head.status.as_u16()) {
            return Err(ExchangeError::new(
                ExchangeErrorKind::Malformed,
                format!("invalid status {}", head.status.as_u16()),
            ));
        }
        if !self.is_delimited(head.status, &head.headers) {
            return Err(ExchangeError::new(
                ExchangeErrorKind::Malformed,
                "response without a content length or transfer encoding",
            ));
        }
        if is_not_run(head.status, &head.headers) {
            return Err(ExchangeError::new(
                ExchangeErrorKind::Refused,
                format!("status {}", head.status),
            ));
        }
        let resumed = self.head_delivered || self.offset > 0;
        if resumed && !head.status.is_success() {
            let status = head.status.as_u16();
            let reason = format!("resuming at byte {} failed with status {status}", self.offset);
            return Err(ExchangeError::new(ExchangeErrorKind::Malformed, reason));
        }
        self.state = State::Body { connection, body };
        if self.head_delivered {
            return Ok(None);
        }
        self.head_delivered = true;
        self.expected_length = content_length(&head.headers).map(|it| it + self.offset);
        let headers = end_to_end_headers(&head.headers);
        Ok(Some(EndpointEvent::Head { status: head.status.as_u16(), headers }))
    }

    /// Returns whether the end of the body can be distinguished from a failed connection.
    fn is_delimited(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let has_no_body = self.request.method == http::Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        has_no_body
            || headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    async fn read_body(
        &mut self,
        mut connection: Box<EndpointConnection>,
        mut body: Incoming,
    ) -> Result<EndpointEvent, ExchangeError> {
        let deadline = self.timeout_at(self.client.limits().progress_ms);
        if let Some(bytes) = connection.bytes(&mut body, deadline).await? {
            let offset = self.offset;
            self.offset += bytes.len() as u64;
            self.state = State::Body { connection, body };
            return Ok(EndpointEvent::Chunk { offset, bytes });
        }
        let expected = self.expected_length.filter(|_| self.request.method != http::Method::HEAD);
        if expected.is_some_and(|it| it != self.offset) {
            return Err(ExchangeError::new(
                ExchangeErrorKind::Malformed,
                "length of the response body differs from the announced length",
            ));
        }
        self.state = State::Ended;
        self.ended_at_endpoint = true;
        drop(body);
        self.client.release(*connection).await;
        Ok(EndpointEvent::End { length: self.offset })
    }

    /// Returns the instant at which the current connection times out. The timeout doubles with each
    /// new connection, because the endpoint may only be slow.
    fn timeout_at(&self, millis: u64) -> Instant {
        let timeout = Duration::from_millis(millis) * 2u32.saturating_pow(self.resumes);
        (Instant::now() + timeout).min(self.request.deadline)
    }

    /// Prepares to resume the stream over a new connection, or returns the final error.
    async fn recover(&mut self, err: ExchangeError) -> Result<(), EndpointError> {
        self.state = State::Failed;
        if Instant::now() >= self.request.deadline {
            return Err(self.error(EndpointErrorKind::Deadline, err));
        }
        if self.sent_exchanges == 0 {
            let kind = match err.kind {
                ExchangeErrorKind::Malformed => EndpointErrorKind::Malformed,
                _ => EndpointErrorKind::Unreachable,
            };
            return Err(self.error(kind, err));
        }
        match err.kind {
            ExchangeErrorKind::Malformed => {
                return Err(self.error(EndpointErrorKind::Malformed, err));
            }
            ExchangeErrorKind::Refused => {
                self.ended_at_endpoint = true;
                return Err(self.error(EndpointErrorKind::Refused, err));
            }
            ExchangeErrorKind::Deadline => return Err(self.error(EndpointErrorKind::Deadline, err)),
            ExchangeErrorKind::Connect => return Err(self.error(EndpointErrorKind::Crashed, err)),
            ExchangeErrorKind::Reset => self.resets += 1,
            ExchangeErrorKind::Timeout => {}
        }
        self.client.retire_connections();
        if let Err(probe_error) =
            self.client.probe(self.request.request, self.request.attempt).await
        {
            match probe_error.kind {
                ExchangeErrorKind::Connect | ExchangeErrorKind::Reset => {
                    return Err(self.error(EndpointErrorKind::Crashed, probe_error));
                }
                ExchangeErrorKind::Timeout | ExchangeErrorKind::Deadline => {
                    return Err(self.error(EndpointErrorKind::Stalled, probe_error));
                }
                // The endpoint responded, so it is alive.
                ExchangeErrorKind::Malformed | ExchangeErrorKind::Refused => {}
            }
        }
        if self.resets > MAX_RESETS {
            return Err(self.error(EndpointErrorKind::Crashed, err));
        }
        if !self.may_repeat() {
            return Err(self.error(EndpointErrorKind::Connection, err));
        }
        if self.resumes >= self.client.limits().max_resumes {
            return Err(self.error(EndpointErrorKind::Stalled, err));
        }
        self.resumes += 1;
        self.state = State::Connecting { fresh: true };
        Ok(())
    }

    /// Returns whether the request can be sent again without running twice or duplicating a part of
    /// the response.
    fn may_repeat(&self) -> bool {
        let resumable = self.client.kind() == ServiceKind::Model;
        self.request.idempotent && (!self.head_delivered || resumable)
    }

    fn error(&self, kind: EndpointErrorKind, err: ExchangeError) -> EndpointError {
        // A refusal says nothing about earlier exchanges, so it proves that the request did not run
        // only if it answers the first one.
        let not_run = self.sent_exchanges == 0
            || (kind == EndpointErrorKind::Refused && self.sent_exchanges == 1);
        let outcome = if not_run { Outcome::NotRun } else { Outcome::Unknown };
        let (offset, peer) = (self.offset, self.client.peer());
        EndpointError { kind, outcome, offset, peer, source: err.source }
    }
}

impl Drop for EndpointStream {
    fn drop(&mut self) {
        // A plain service has no cancellation. Closing the connection is all that can be done.
        if self.sent_exchanges == 0
            || self.ended_at_endpoint
            || self.client.kind() == ServiceKind::Plain
        {
            return;
        }
        let Ok(runtime) = Handle::try_current() else { return };
        let client = self.client.clone();
        let (request, attempt) = (self.request.request, self.request.attempt);
        runtime.spawn(async move {
            if let Err(err) = client.cancel(request, attempt).await {
                tracing::debug!("edge: failed to cancel {request} {attempt}: {err}");
            }
        });
    }
}

/// Returns the length of a body according to its headers.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}
