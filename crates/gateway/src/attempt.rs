//! A single attempt to send a request to an endpoint.

use {
    crate::{
        call::Call,
        crash,
        headers::{
            ForwardHeaders, ResponseProof, is_event_stream, is_leaving, reported_load,
            request_headers, response_headers, retry_after, verify_response,
        },
        response_memory::{BufferedBody, Reservation},
        shared::{RunningRequest, Shared},
        sse::EventBuffer,
        upstream::{self, ResponseBody, SendError},
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    dispatch::{Assignment, AttemptOutcome},
    http::{Request, Response, Uri, response},
    http_body_util::Full,
    model::{MILLISECOND, Time},
    std::sync::Arc,
    tokio::time::{sleep_until, timeout_at},
};

/// The maximum size of a non-streaming response, in bytes. Such a response is buffered in full, so
/// that a truncated one can be retried on another endpoint.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;

/// The maximum number of parts, such as chunks, of a non-streaming response. A
/// response in tiny parts takes far more time than its size suggests.
const MAX_BUFFERED_RESPONSE_PARTS: usize = 1 << 16;

/// A retryable request times out after this multiple of its route's target time, but not before
/// [`MIN_RESPONSE_TIMEOUT_MS`].
const SLOW_FACTOR: u64 = 3;

/// The minimum time before a retryable request is tried on another endpoint, in milliseconds. It
/// leaves time for the retransmission of a few lost packets.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 450;

/// The minimum time without a response after which an endpoint counts as stalled, in milliseconds.
const MIN_STALL_MS: u64 = 1_500;

/// A response from an endpoint, to be forwarded to the client.
pub(crate) enum UpstreamResponse {
    /// The complete response.
    Buffered(response::Parts, Bytes),
    /// The head of a response whose events are still arriving.
    Streaming(response::Parts, Box<EventStream>),
}

/// An event stream whose first events have been received.
pub(crate) struct EventStream {
    pub(crate) running: RunningRequest,
    pub(crate) body: ResponseBody,
    pub(crate) events: EventBuffer,
    /// The memory of the incomplete event in `events`.
    pub(crate) memory: Reservation,
    /// Events to forward before those read from `body`.
    pub(crate) buffered: Bytes,
    /// Whether `body` has ended.
    pub(crate) ended: bool,
}

/// Why an attempt produced no response for the client.
#[derive(Debug, Display)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    #[display("{reason}")]
    NotSent { reason: String },
    /// The endpoint proved that it did not run the request.
    #[display("endpoint answered {status}, not run")]
    NotRun { status: u16 },
    /// The request may have run.
    #[display("{reason}")]
    Indeterminate { reason: String },
    /// The endpoint responded with a server error.
    #[display("endpoint answered {}", _0.0.status)]
    #[debug("Failed")]
    Failed(Box<(response::Parts, Bytes)>),
    /// The deadline has passed.
    #[display("deadline exceeded")]
    DeadlineExceeded,
}

/// Why a response was not read in full.
#[derive(Debug, Display, Error)]
enum BodyError {
    /// It exceeds the maximum size.
    #[display("longer than {MAX_BUFFERED_RESPONSE_BYTES} bytes")]
    TooLong,
    /// It exceeds the maximum number of parts.
    #[display("more than {MAX_BUFFERED_RESPONSE_PARTS} parts")]
    TooManyParts,
    /// It exceeds the memory left for responses.
    #[display("no memory left for a response of {bytes} bytes")]
    NoMemory { bytes: usize },
    /// The connection failed.
    #[display("{reason}")]
    Broken { reason: String },
}

/// A slot at an endpoint, acquired but not used yet.
pub(crate) struct Attempt {
    running: RunningRequest,
}

impl Attempt {
    pub(crate) fn new(shared: &Arc<Shared>, pick: Assignment) -> Attempt {
        Attempt { running: RunningRequest::new(shared, pick) }
    }

    /// Sends the request and waits for the complete response, or for the first events of a stream.
    pub(crate) async fn run(self, call: &mut Call) -> Result<UpstreamResponse, Failure> {
        self.run_from(call, EventBuffer::default()).await
    }

    /// Like [`Attempt::run`], but resumes a stream after the events in `events`.
    pub(crate) async fn run_from(
        self,
        call: &mut Call,
        events: EventBuffer,
    ) -> Result<UpstreamResponse, Failure> {
        let shared = call.shared.clone();
        let left_ms = call.left_ms();
        if left_ms == 0 {
            return Err(Failure::DeadlineExceeded);
        }
        call.tried.push(self.running.pick.handle);
        let request = self.to_request(call, left_ms, events.last_id());
        let limit = self.response_deadline(call);
        let addr = self.running.pick.addr;
        self.log_send(call, left_ms, events.last_id());
        // Once handed to a connection, the request may run unless the endpoint proves otherwise.
        call.sends += 1;
        call.runs += 1;
        let sent = self.wait_until(call, upstream::send(addr, request), limit).await;
        let response = match sent {
            Some(Ok(it)) => it,
            Some(Err(SendError::NotSent { reason })) => {
                call.sends -= 1;
                call.runs -= 1;
                return Err(self.fail(AttemptOutcome::Unreachable, Failure::NotSent { reason }));
            }
            Some(Err(SendError::Broken { reason })) => {
                crash::probe(&shared, &self.running.pick, call.fingerprint);
                return Err(self.fail(AttemptOutcome::Broken, Failure::Indeterminate { reason }));
            }
            None => return Err(self.time_out(call)),
        };
        let waited = shared.now().since(self.running.started);
        shared.metrics.record_first_byte(waited as f64 / MILLISECOND as f64);
        if call.first_ms == 0 {
            call.first_ms = shared.now().since(call.arrived) / MILLISECOND;
        }
        self.read_response(call, response, events, limit).await
    }

    fn to_request(&self, call: &Call, left_ms: u64, last_id: Option<u64>) -> Request<Full<Bytes>> {
        let added = ForwardHeaders {
            pick: &self.running.pick,
            team: call.team.as_ref(),
            left_ms,
            priority: call.head.prompt.as_ref().map(|_| call.priority),
            last_id,
        };
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.parts.method.clone();
        let path = call.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
        *request.headers_mut() = request_headers(&call.shared.names, &call.parts.headers, &added);
        request
    }

    /// Returns the time by which the response must have started. For retryable requests it leaves
    /// time for another endpoint.
    fn response_deadline(&self, call: &Call) -> Time {
        let route = &call.found.route;
        if !route.is_retryable() || call.runs + 1 >= route.attempts {
            return call.deadline;
        }
        let timeout_ms = (route.target_ms * SLOW_FACTOR).max(MIN_RESPONSE_TIMEOUT_MS);
        (call.shared.now() + timeout_ms * MILLISECOND).min(call.deadline)
    }

    /// Waits for a future until `limit`. If it takes long, the dispatcher is told that the endpoint
    /// stalled.
    async fn wait_until<F>(&self, call: &Call, future: F, limit: Time) -> Option<F::Output>
    where
        F: Future,
    {
        let shared = &call.shared;
        let stall_ms = (call.found.route.target_ms * SLOW_FACTOR).max(MIN_STALL_MS);
        let stalled = shared.clock.deadline(shared.now() + stall_ms * MILLISECOND);
        let limit = shared.clock.deadline(limit);
        tokio::pin!(future);
        tokio::select! {
            output = &mut future => return Some(output),
            () = sleep_until(stalled.min(limit)) => {}
        }
        shared.dispatcher.lock().record_stall(shared.now(), self.running.pick.handle);
        timeout_at(limit, future).await.ok()
    }

    async fn read_response(
        mut self,
        call: &mut Call,
        response: Response<ResponseBody>,
        events: EventBuffer,
        limit: Time,
    ) -> Result<UpstreamResponse, Failure> {
        let names = &call.shared.names;
        let (mut parts, mut body) = response.into_parts();
        if let Some(load) = reported_load(names, &parts.headers) {
            let no = self.running.pick.handle;
            call.shared.dispatcher.lock().record_reported_load(call.shared.now(), no, load);
        }
        let proof = verify_response(names, call.head.attempt_id.as_ref(), &parts);
        if proof != ResponseProof::Unverified {
            self.record_notices(call, &parts);
        }
        match proof {
            ResponseProof::Valid => {}
            ResponseProof::Full => {
                call.runs -= 1;
                let status = parts.status.as_u16();
                return Err(self.fail(AttemptOutcome::Full, Failure::NotRun { status }));
            }
            ResponseProof::Misdirected => {
                call.runs -= 1;
                let status = parts.status.as_u16();
                return Err(self.fail(AttemptOutcome::Misdirected, Failure::NotRun { status }));
            }
            ResponseProof::Unverified => {
                let reason = format!("response {} does not belong to this request", parts.status);
                return Err(self.fail(AttemptOutcome::Broken, Failure::Indeterminate { reason }));
            }
        }
        parts.headers = response_headers(&parts.headers);
        if parts.status.is_success() && is_event_stream(&parts.headers) {
            let running = self.running;
            let buffered = Bytes::new();
            let memory = Reservation::new(&running.shared.response_memory);
            let stream = EventStream { running, body, events, memory, buffered, ended: false };
            return stream.start(call, parts, limit).await;
        }
        let memory = Reservation::new(&call.shared.response_memory);
        match self.wait_until(call, read_all(&mut body, memory), limit).await {
            Some(Ok(body)) => {
                if parts.status.is_server_error() {
                    let failure = Failure::Failed(Box::new((parts, body)));
                    return Err(self.fail(AttemptOutcome::Failed, failure));
                }
                self.running.ending = AttemptOutcome::Served;
                call.shared.metrics.record_send("served");
                call.shared.crashes.lock().clear(call.fingerprint);
                Ok(UpstreamResponse::Buffered(parts, body))
            }
            Some(Err(err)) => {
                let reason = format!("response body is incomplete: {err}");
                Err(self.fail(AttemptOutcome::Broken, Failure::Indeterminate { reason }))
            }
            None => Err(self.time_out(call)),
        }
    }

    /// Records whether the endpoint wants no further requests, or none for some time.
    fn record_notices(&self, call: &Call, response: &response::Parts) {
        let shared = &call.shared;
        let Assignment { handle, id, .. } = &self.running.pick;
        if is_leaving(&shared.names, &response.headers)
            && shared.dispatcher.lock().record_leaving(*handle)
        {
            tracing::info!(event = "endpoint-leaving", endpoint = %id, "gateway: endpoint is leaving");
        }
        match retry_after(response) {
            Ok(None) => {}
            Ok(Some(delay)) => {
                shared.dispatcher.lock().record_closed(*handle, shared.now() + delay);
                tracing::info!(
                    event = "endpoint-closed",
                    endpoint = %id,
                    for_ms = delay / MILLISECOND,
                    "gateway: endpoint wants no requests for some time"
                );
            }
            Err(value) => {
                shared.metrics.record_send("invalid-retry-after");
                tracing::info!(
                    event = "invalid-retry-after",
                    endpoint = %id,
                    ?value,
                    "gateway: ignored invalid retry delay of endpoint"
                );
            }
        }
    }

    fn time_out(self, call: &Call) -> Failure {
        if call.left_ms() == 0 {
            return self.fail(AttemptOutcome::Abandoned, Failure::DeadlineExceeded);
        }
        let reason = "response timed out".to_owned();
        self.fail(AttemptOutcome::Broken, Failure::Indeterminate { reason })
    }

    fn fail(mut self, ending: AttemptOutcome, failure: Failure) -> Failure {
        self.running.ending = ending;
        self.running.shared.metrics.record_send(ending_label(ending));
        failure
    }

    fn log_send(&self, call: &Call, left_ms: u64, after: Option<u64>) {
        let pick = &self.running.pick;
        tracing::debug!(
            event = "sent",
            request = call.head.id(),
            endpoint = %pick.id,
            load = pick.load,
            fetch = ?pick.fetch_from,
            left_ms,
            after,
            "gateway: sending request to endpoint"
        );
    }
}

pub(crate) fn ending_label(ending: AttemptOutcome) -> &'static str {
    match ending {
        AttemptOutcome::Served => "served",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Full => "full",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::Unreachable => "unreachable",
        AttemptOutcome::Broken => "broken",
        AttemptOutcome::Abandoned => "abandoned",
    }
}

/// Reads a complete body of at most [`MAX_BUFFERED_RESPONSE_BYTES`].
async fn read_all(
    body: &mut ResponseBody,
    mut reservation: Reservation,
) -> Result<Bytes, BodyError> {
    let mut bytes = Vec::new();
    let mut parts = 0;
    while let Some(part) = body.next().await {
        let part = part.map_err(|reason| BodyError::Broken { reason })?;
        parts += 1;
        if parts > MAX_BUFFERED_RESPONSE_PARTS {
            return Err(BodyError::TooManyParts);
        }
        let length = bytes.len() + part.len();
        if length > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(BodyError::TooLong);
        }
        if !reservation.resize(length) {
            return Err(BodyError::NoMemory { bytes: length });
        }
        bytes.extend_from_slice(&part);
    }
    Ok(Bytes::from_owner(BufferedBody { bytes, _reservation: reservation }))
}

impl EventStream {
    /// Waits for the first complete events. A stream that breaks before them can be restarted on
    /// another endpoint.
    async fn start(
        mut self,
        call: &mut Call,
        parts: response::Parts,
        limit: Time,
    ) -> Result<UpstreamResponse, Failure> {
        let until = call.shared.clock.deadline(limit);
        while self.buffered.is_empty() && !self.ended {
            match timeout_at(until, self.next_events()).await {
                Ok(Ok(Some(events))) => self.buffered = events,
                Ok(Ok(None)) => self.ended = true,
                Ok(Err(reason)) => {
                    crash::probe(&call.shared, &self.running.pick, call.fingerprint);
                    self.running.ending = AttemptOutcome::Broken;
                    return Err(Failure::Indeterminate { reason });
                }
                Err(_) if call.left_ms() == 0 => return Err(Failure::DeadlineExceeded),
                Err(_) => {
                    self.running.ending = AttemptOutcome::Broken;
                    let reason = "timed out waiting for an event".to_owned();
                    return Err(Failure::Indeterminate { reason });
                }
            }
        }
        Ok(UpstreamResponse::Streaming(parts, Box::new(self)))
    }

    /// Returns the next complete events, or `None` at the end of the stream. The error says why the
    /// stream broke.
    pub(crate) async fn next_events(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            if let Some(failure) = self.events.failure() {
                return Err(failure.to_string());
            }
            let data = match self.body.next().await {
                Some(Ok(data)) => data,
                Some(Err(err)) => return Err(format!("stream failed: {err}")),
                None => {
                    let rest = self.events.finish();
                    let rest = rest.ok_or_else(|| "stream ended mid-event".to_owned())?;
                    return Ok((!rest.is_empty()).then_some(rest));
                }
            };
            let events = self.events.push(&data).map_err(|it| it.to_string())?;
            let partial = self.events.partial_len();
            // Events that were split off count as forwarded, so they must not be dropped.
            if !self.memory.resize(partial) && events.is_empty() {
                return Err(format!("no memory left for an event of {partial} bytes"));
            }
            if !events.is_empty() {
                return Ok(Some(events));
            }
        }
    }
}
