//! One send of a request to one endpoint.

use {
    crate::{
        call::Call,
        crash,
        events::Events,
        message::{Proof, Sending, answer_headers, is_events, prove, request_headers, told_load},
        shared::{Running, Shared},
        upstream::{self, Connection, SendError},
    },
    bytes::Bytes,
    derive_more::{Debug, Display},
    dispatch::{Assignment, AttemptOutcome},
    http::{Request, Response, Uri, response},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    model::{MILLISECOND, Time},
    std::sync::Arc,
    tokio::time::{sleep_until, timeout_at},
};

/// The longest answer that is not a stream, in bytes: it is held until it is whole, so that one that is cut off can be
/// had again elsewhere.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// An answer that may be repeated elsewhere is late once it took so many times its target, and not less than
/// [`LEAST_PATIENCE_MS`].
const SLOW_FACTOR: u64 = 3;

/// The shortest time after which a repeatable request is tried elsewhere, in milliseconds: a few packets may be lost
/// and sent again.
const LEAST_PATIENCE_MS: u64 = 450;

/// The shortest time after which an endpoint that has not begun to answer counts as stalled, in milliseconds.
const STALL_MS: u64 = 1_500;

/// An answer.
pub(crate) enum Answer {
    /// It is here.
    Whole(response::Parts, Bytes),
    /// It goes on.
    Stream(response::Parts, Box<Opened>),
}

/// A stream whose first events are here.
pub(crate) struct Opened {
    pub(crate) running: Running,
    /// Closed when this is dropped.
    pub(crate) _connection: Connection,
    pub(crate) incoming: Incoming,
    pub(crate) events: Events,
    /// Events to pass on before those of `incoming`.
    pub(crate) first: Bytes,
    /// Whether `incoming` has ended.
    pub(crate) ended: bool,
}

/// Why an attempt has no answer for the caller.
#[derive(Debug, Display)]
pub(crate) enum Failure {
    /// Nothing was sent.
    #[display("{reason}")]
    NotSent { reason: String },
    /// The endpoint proved that it did not run the request.
    #[display("endpoint answered {status}, not run")]
    NotRun { status: u16 },
    /// The request may have run.
    #[display("{reason}")]
    Unknown { reason: String },
    /// The endpoint's own failure.
    #[display("endpoint answered {}", _0.0.status)]
    #[debug("Failed")]
    Failed(Box<(response::Parts, Bytes)>),
    /// The deadline has passed.
    #[display("deadline passed")]
    Late,
}

/// A place at an endpoint that is not used yet.
pub(crate) struct Attempt {
    running: Running,
}

impl Attempt {
    pub(crate) fn new(shared: &Arc<Shared>, pick: Assignment) -> Attempt {
        Attempt { running: Running::new(shared, pick) }
    }

    /// Sends the request and waits for the whole answer, or for the first events of a stream.
    pub(crate) async fn run(self, call: &mut Call) -> Result<Answer, Failure> {
        self.send(call, Events::default()).await
    }

    /// As [`Attempt::run`], for a stream that goes on after `events`.
    pub(crate) async fn send(self, call: &mut Call, events: Events) -> Result<Answer, Failure> {
        let shared = call.shared.clone();
        let left_ms = call.left_ms();
        if left_ms == 0 {
            return Err(Failure::Late);
        }
        call.tried.push(self.running.pick.handle);
        let request = self.request(call, left_ms, events.last());
        let limit = self.limit(call);
        let addr = self.running.pick.addr;
        self.log_send(call, left_ms, events.last());
        // Until the endpoint says otherwise, a request that was handed to a connection may run.
        call.sends += 1;
        call.runs += 1;
        let sent = self.watch(call, upstream::send(addr, request), limit).await;
        let (response, connection) = match sent {
            Some(Ok(it)) => it,
            Some(Err(SendError::NotSent { reason })) => {
                call.sends -= 1;
                call.runs -= 1;
                return Err(self.fail(AttemptOutcome::Unreachable, Failure::NotSent { reason }));
            }
            Some(Err(SendError::Broken { reason })) => {
                crash::suspect(&shared, &self.running.pick, call.fingerprint);
                return Err(self.fail(AttemptOutcome::Broken, Failure::Unknown { reason }));
            }
            None => return Err(self.silent(call)),
        };
        let waited = shared.now().since(self.running.started);
        shared.metrics.first_byte(waited as f64 / MILLISECOND as f64);
        if call.first_ms == 0 {
            call.first_ms = shared.now().since(call.arrived) / MILLISECOND;
        }
        self.read(call, response, connection, events, limit).await
    }

    fn request(&self, call: &Call, left_ms: u64, after: Option<u64>) -> Request<Full<Bytes>> {
        let sending = Sending {
            pick: &self.running.pick,
            team: call.team.as_ref(),
            left_ms,
            priority: call.head.prompt.as_ref().map(|_| call.priority),
            after,
        };
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.parts.method.clone();
        let path = call.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
        *request.headers_mut() = request_headers(&call.shared.names, &call.parts.headers, &sending);
        request
    }

    /// Until when an answer must have begun: a request that may be repeated is tried elsewhere in time.
    fn limit(&self, call: &Call) -> Time {
        let route = &call.found.route;
        if !route.is_retryable() || call.runs + 1 >= route.attempts {
            return call.deadline;
        }
        let patience = (route.target_ms * SLOW_FACTOR).max(LEAST_PATIENCE_MS);
        (call.shared.now() + patience * MILLISECOND).min(call.deadline)
    }

    /// Waits for a future until `limit`; meanwhile the endpoint may come to count as stalled.
    async fn watch<F>(&self, call: &Call, future: F, limit: Time) -> Option<F::Output>
    where
        F: Future,
    {
        let shared = &call.shared;
        let stall_ms = (call.found.route.target_ms * SLOW_FACTOR).max(STALL_MS);
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

    async fn read(
        mut self,
        call: &mut Call,
        response: Response<Incoming>,
        connection: Connection,
        events: Events,
        limit: Time,
    ) -> Result<Answer, Failure> {
        let names = &call.shared.names;
        let (mut parts, incoming) = response.into_parts();
        if let Some(load) = told_load(names, &parts.headers) {
            let no = self.running.pick.handle;
            call.shared.dispatcher.lock().record_reported_load(call.shared.now(), no, load);
        }
        match prove(names, call.head.attempt.as_ref(), &parts) {
            Proof::Own => {}
            Proof::Full => {
                call.runs -= 1;
                let status = parts.status.as_u16();
                return Err(self.fail(AttemptOutcome::Full, Failure::NotRun { status }));
            }
            Proof::Misdirected => {
                call.runs -= 1;
                let status = parts.status.as_u16();
                return Err(self.fail(AttemptOutcome::Misdirected, Failure::NotRun { status }));
            }
            Proof::Foreign => {
                let reason = format!("answer {} is not to this request", parts.status);
                return Err(self.fail(AttemptOutcome::Broken, Failure::Unknown { reason }));
            }
        }
        parts.headers = answer_headers(&parts.headers);
        if parts.status.is_success() && is_events(&parts.headers) {
            let running = self.running;
            let first = Bytes::new();
            let opened =
                Opened { running, _connection: connection, incoming, events, first, ended: false };
            return opened.start(call, parts, limit).await;
        }
        let whole = Limited::new(incoming, MAX_ANSWER_BYTES).collect();
        match self.watch(call, whole, limit).await {
            Some(Ok(body)) => {
                let body = body.to_bytes();
                if parts.status.is_server_error() {
                    let failure = Failure::Failed(Box::new((parts, body)));
                    return Err(self.fail(AttemptOutcome::Failed, failure));
                }
                self.running.ending = AttemptOutcome::Served;
                call.shared.metrics.send("served");
                call.shared.crashes.lock().clear(call.fingerprint);
                Ok(Answer::Whole(parts, body))
            }
            Some(Err(err)) => {
                let reason = format!("answer broke off: {err}");
                Err(self.fail(AttemptOutcome::Broken, Failure::Unknown { reason }))
            }
            None => Err(self.silent(call)),
        }
    }

    fn silent(self, call: &Call) -> Failure {
        if call.left_ms() == 0 {
            return self.fail(AttemptOutcome::Abandoned, Failure::Late);
        }
        let reason = "no answer in time".to_owned();
        self.fail(AttemptOutcome::Broken, Failure::Unknown { reason })
    }

    fn fail(mut self, ending: AttemptOutcome, failure: Failure) -> Failure {
        self.running.ending = ending;
        self.running.shared.metrics.send(label(ending));
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
            "gateway: sent"
        );
    }
}

pub(crate) fn label(ending: AttemptOutcome) -> &'static str {
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

impl Opened {
    /// Waits for the first whole events: a stream that breaks before them may start over elsewhere.
    async fn start(
        mut self,
        call: &mut Call,
        parts: response::Parts,
        limit: Time,
    ) -> Result<Answer, Failure> {
        let until = call.shared.clock.deadline(limit);
        while self.first.is_empty() && !self.ended {
            match timeout_at(until, self.next()).await {
                Ok(Ok(Some(events))) => self.first = events,
                Ok(Ok(None)) => self.ended = true,
                Ok(Err(reason)) => {
                    crash::suspect(&call.shared, &self.running.pick, call.fingerprint);
                    self.running.ending = AttemptOutcome::Broken;
                    return Err(Failure::Unknown { reason });
                }
                Err(_) if call.left_ms() == 0 => return Err(Failure::Late),
                Err(_) => {
                    self.running.ending = AttemptOutcome::Broken;
                    let reason = "no event in time".to_owned();
                    return Err(Failure::Unknown { reason });
                }
            }
        }
        Ok(Answer::Stream(parts, Box::new(self)))
    }

    /// Returns the next whole events, or nothing at the end of the stream; an error says why it broke.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let frame = match self.incoming.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(err)) => return Err(format!("stream broke: {err}")),
                None if self.events.is_torn() => return Err("stream ended in an event".to_owned()),
                None => return Ok(None),
            };
            let Some(data) = frame.data_ref() else { continue };
            let events = self.events.push(data).map_err(|it| it.to_string())?;
            if !events.is_empty() {
                return Ok(Some(events));
            }
        }
    }
}
