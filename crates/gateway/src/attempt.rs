//! A single attempt to send a request to an endpoint.

use {
    crate::{
        call::Call,
        crash,
        headers::{
            ForwardHeaders, ResponseProof, implies_not_run, is_event_stream, is_framed,
            request_headers, response_headers, verify_response,
        },
        notices,
        shared::{RunningRequest, Shared},
        sse::EventBuffer,
        upstream::{IdleConnection, ResponseBody, SendError},
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    dispatch::{Assignment, AttemptOutcome},
    edge::{Payload, Reservation},
    http::{Request, Response, Uri, response},
    model::{MILLISECOND, Time},
    std::sync::Arc,
    tokio::time::{sleep_until, timeout_at},
};

/// The maximum size of a non-streaming response, in bytes. Such a response is buffered in full, so
/// that a truncated one can be retried on another endpoint.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;

/// The maximum number of parts, such as chunks, of a non-streaming response. A response in tiny parts
/// takes far more time than its size suggests.
const MAX_BUFFERED_RESPONSE_PARTS: usize = 1 << 16;

/// Another endpoint is sought for a retryable request after this multiple of its route's target
/// time, but not before [`MIN_SILENCE_MS`].
const SLOW_FACTOR: u64 = 3;

/// The minimum time before another endpoint is sought for a retryable request, in milliseconds. It
/// leaves time for the retransmission of a few lost packets.
const MIN_SILENCE_MS: u64 = 450;

/// The minimum time without a response after which an endpoint counts as stalled, in milliseconds.
const MIN_STALL_MS: u64 = 1_500;

/// How long after its first event an answer is taken to have begun for good, in microseconds. What an
/// endpoint wrote just before it crashed may still arrive.
const ESTABLISHED_TIME: u64 = 250 * MILLISECOND;

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
    /// Whether the end of the body is marked, rather than being that of the connection.
    is_framed: bool,
    /// When the first events were received.
    pub(crate) begun_at: Option<Time>,
    /// Whether the answer has gone on for a while, so that beginning it crashed nothing.
    pub(crate) is_established: bool,
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
    /// The endpoint responded with a server error, or with a status that claims without proof that it
    /// did not run the request.
    #[display("endpoint answered {}", _0.0.status)]
    #[debug("Failed")]
    Failed(Box<(response::Parts, Bytes)>),
    /// The deadline has passed.
    #[display("deadline exceeded")]
    DeadlineExceeded,
    /// The request must not be sent, as it may crash endpoints.
    #[display("request is quarantined")]
    Quarantined,
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
    /// A connection to the endpoint, if one has been established.
    connection: Option<Box<IdleConnection>>,
}

impl Attempt {
    pub(crate) fn new(shared: &Arc<Shared>, pick: Assignment) -> Attempt {
        Attempt { running: RunningRequest::new(shared, pick), connection: None }
    }

    pub(crate) fn pick(&self) -> &Assignment {
        &self.running.pick
    }

    /// Connects to the endpoint for a request. The slot is released if that fails.
    pub(crate) async fn connect(mut self, call: &Call) -> Option<Attempt> {
        match call.connect(&self.running.pick).await {
            Ok(connection) => {
                self.connection = Some(Box::new(connection));
                Some(self)
            }
            Err(SendError::Withheld { .. }) => None,
            Err(_) => {
                self.running.ending = AttemptOutcome::Unreachable;
                None
            }
        }
    }

    /// Sends the request and waits for the complete response, or for the first events of a stream
    /// after those in `events`.
    pub(crate) async fn run(
        mut self,
        call: &Call,
        events: EventBuffer,
    ) -> Result<UpstreamResponse, Failure> {
        let shared = call.shared.clone();
        let left_ms = call.left_ms();
        if left_ms == 0 {
            return Err(Failure::DeadlineExceeded);
        }
        let request = self.to_request(call, left_ms, events.last_id());
        let pick = self.running.pick.clone();
        self.log_send(call, left_ms, events.last_id());
        let connection = self.connection.take();
        let exchange = async {
            let connection = match connection {
                Some(it) => *it,
                None => call.connect(&pick).await?,
            };
            if !call.may_run_in(&pick.domain) {
                let reason = "endpoint is not in an allowed region any more".to_owned();
                return Err(SendError::Withheld { reason });
            }
            if call.is_unwanted(&pick) {
                let reason = "endpoint asked for no requests after it was chosen".to_owned();
                return Err(SendError::Withheld { reason });
            }
            *call.peer.lock() = connection.peer();
            connection.send(request).await
        };
        let sent = self.wait(call, exchange).await;
        let response = match sent {
            Some(Ok(it)) => it,
            Some(Err(SendError::NotSent { reason })) => {
                return Err(self.fail(AttemptOutcome::Unreachable, Failure::NotSent { reason }));
            }
            Some(Err(SendError::Withheld { reason })) => {
                return Err(self.fail(AttemptOutcome::Abandoned, Failure::NotSent { reason }));
            }
            Some(Err(err @ SendError::PathBroken { .. })) => {
                let reason = err.to_string();
                return Err(self.fail(AttemptOutcome::Abandoned, Failure::Indeterminate { reason }));
            }
            Some(Err(SendError::Broken { reason })) => {
                crash::probe(call, &self.running.pick);
                return Err(self.fail(AttemptOutcome::Broken, Failure::Indeterminate { reason }));
            }
            None => return Err(self.time_out()),
        };
        let waited = shared.now().since(self.running.started);
        shared.metrics.record_first_byte(waited as f64 / MILLISECOND as f64);
        self.read_response(call, response, events).await
    }

    fn to_request(&self, call: &Call, left_ms: u64, last_id: Option<u64>) -> Request<Payload> {
        let added = ForwardHeaders {
            pick: &self.running.pick,
            team: call.team.as_ref(),
            left_ms,
            priority: call.head.prompt.as_ref().map(|_| call.priority),
            last_id,
        };
        let mut request = Request::new(call.body.clone());
        *request.method_mut() = call.parts.method.clone();
        let path = call.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
        *request.headers_mut() = request_headers(&call.shared.names, &call.parts.headers, &added);
        request
    }

    /// Waits for a future until the deadline of the call. If it takes long, the dispatcher is told
    /// that the endpoint stalled.
    async fn wait<F>(&self, call: &Call, future: F) -> Option<F::Output>
    where
        F: Future,
    {
        let shared = &call.shared;
        let min_ms = if call.may_run_again() { MIN_SILENCE_MS } else { MIN_STALL_MS };
        let stall_ms = (call.found.route.target_ms * SLOW_FACTOR).max(min_ms);
        let stalled = shared.clock.deadline(shared.now() + stall_ms * MILLISECOND);
        let limit = shared.clock.deadline(call.deadline);
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
        call: &Call,
        response: Response<ResponseBody>,
        events: EventBuffer,
    ) -> Result<UpstreamResponse, Failure> {
        let names = &call.shared.names;
        let (mut parts, mut body) = response.into_parts();
        let proof = verify_response(names, call.head.attempt_id.as_ref(), &parts);
        notices::record(&call.shared, &self.running.pick, proof, &parts);
        match proof {
            ResponseProof::Valid => {}
            ResponseProof::Full => {
                let status = parts.status.as_u16();
                return Err(self.fail(AttemptOutcome::Full, Failure::NotRun { status }));
            }
            ResponseProof::Misdirected => {
                let status = parts.status.as_u16();
                return Err(self.fail(AttemptOutcome::Misdirected, Failure::NotRun { status }));
            }
            ResponseProof::Unverified => {
                let reason = format!("response {} does not belong to this request", parts.status);
                return Err(self.fail(AttemptOutcome::Broken, Failure::Indeterminate { reason }));
            }
        }
        let is_framed = is_framed(&parts.headers);
        parts.headers = response_headers(&parts.headers);
        if parts.status.is_success() && is_event_stream(&parts.headers) {
            let running = self.running;
            let buffered = Bytes::new();
            let memory = Reservation::new(&running.shared.response_memory);
            let stream = EventStream {
                running,
                body,
                events,
                memory,
                buffered,
                ended: false,
                is_framed,
                begun_at: None,
                is_established: false,
            };
            return stream.start(call, parts).await;
        }
        let memory = Reservation::new(&call.shared.response_memory);
        match self.wait(call, read_all(&mut body, memory)).await {
            Some(Ok(body)) => {
                if parts.status.is_server_error() || implies_not_run(parts.status) {
                    let failure = Failure::Failed(Box::new((parts, body)));
                    return Err(self.fail(AttemptOutcome::Failed, failure));
                }
                self.running.ending = AttemptOutcome::Served;
                call.shared.metrics.record_send("served");
                if parts.status.is_success() && is_framed {
                    call.record_answer();
                }
                Ok(UpstreamResponse::Buffered(parts, body))
            }
            Some(Err(err)) => {
                crash::probe(call, &self.running.pick);
                let reason = format!("response body is incomplete: {err}");
                Err(self.fail(body.broken_outcome(), Failure::Indeterminate { reason }))
            }
            None => Err(self.time_out()),
        }
    }

    fn time_out(self) -> Failure {
        self.fail(AttemptOutcome::Abandoned, Failure::DeadlineExceeded)
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
            build = %pick.build,
            load = pick.load,
            fetch = ?pick.fetch_from,
            left_ms,
            after,
            "gateway: sending request to endpoint"
        );
    }
}

/// Returns the silence after which another endpoint is sought for a retryable request that has no
/// response yet, in milliseconds.
pub(crate) fn max_silence_ms(call: &Call) -> u64 {
    (call.found.route.target_ms * SLOW_FACTOR).max(MIN_SILENCE_MS)
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
    Ok(reservation.hold(bytes))
}

impl EventStream {
    /// Waits for the first complete events. A stream that breaks before them can be restarted on
    /// another endpoint.
    async fn start(
        mut self,
        call: &Call,
        parts: response::Parts,
    ) -> Result<UpstreamResponse, Failure> {
        let until = call.shared.clock.deadline(call.deadline);
        while self.buffered.is_empty() && !self.ended {
            match timeout_at(until, self.next_events()).await {
                Ok(Ok(Some(events))) => self.buffered = events,
                Ok(Ok(None)) if self.is_framed => self.ended = true,
                Ok(Ok(None)) => {
                    crash::probe(call, &self.running.pick);
                    self.running.ending = AttemptOutcome::Broken;
                    let reason = "connection closed before the first event".to_owned();
                    return Err(Failure::Indeterminate { reason });
                }
                Ok(Err(reason)) => {
                    crash::probe(call, &self.running.pick);
                    self.running.ending = self.body.broken_outcome();
                    return Err(Failure::Indeterminate { reason });
                }
                Err(_) => return Err(Failure::DeadlineExceeded),
            }
        }
        Ok(UpstreamResponse::Streaming(parts, Box::new(self)))
    }

    /// Records that events were received. Returns whether the answer has been established by them.
    pub(crate) fn record_events(&mut self, now: Time) -> bool {
        let begun_at = *self.begun_at.get_or_insert(now);
        let is_established = now >= begun_at + ESTABLISHED_TIME;
        is_established && !std::mem::replace(&mut self.is_established, true)
    }

    /// Returns whether the end of the stream proves that it was answered in full.
    pub(crate) fn is_proved_complete(&self) -> bool {
        self.is_framed || self.is_established
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
                    let rest =
                        rest.ok_or_else(|| "stream ended without a whole event".to_owned())?;
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
