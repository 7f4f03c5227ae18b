//! One request of a caller, from its head to the last byte of its answer.

use {
    crate::{
        attempt::{Answer, Attempt, Failure},
        message::Head,
        refusal::Refusal,
        shared::{Refused, Shared},
        stream::StreamAnswer,
    },
    bytes::Bytes,
    dispatch::{Assignment, DispatchRequest, EndpointHandle},
    edge::{Body, full, read_all},
    http::{Request, Response, StatusCode, request},
    hyper::body::Incoming,
    model::{MILLISECOND, Name, Reason, Time, hash64, mix2},
    route::{RouteMatch, RouteTable},
    smallvec::SmallVec,
    std::{sync::Arc, time::Duration},
};

/// A request may wait for room for this part of its target time: what is left must still serve it in time.
const PATIENCE_PERCENT: u64 = 60;

/// And for this part of the time until its deadline.
const DEADLINE_PERCENT: u64 = 30;

/// A request without a target may wait for room so many milliseconds.
const DEFAULT_PATIENCE_MS: u64 = 500;

/// How long after its start a gateway usually knows its configuration, in milliseconds, if control restarts too.
const CONFIGURATION_MS: u64 = 2_000;

/// The shortest time after which a caller may come back, in milliseconds.
const LEAST_RETRY_MS: u64 = 300;

/// How often a request may be sent beyond its attempts while each endpoint proves that it did not run it.
const EXTRA_SENDS: u32 = 2;

/// Answers one request.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = shared.now();
    let (parts, body) = request.into_parts();
    let head = Head::read(&shared.names, &parts);
    let admitted = match admit(&shared, &head, &parts) {
        Ok(it) => it,
        Err(refusal) => return refuse(&shared, &head, refusal),
    };
    let timeout_ms = admitted.found.route.timeout_ms;
    let left_ms = head.deadline_ms.unwrap_or(timeout_ms).min(timeout_ms);
    let stall = Duration::from_millis(left_ms);
    let body = match read_all(body, admitted.body_limit, stall).await {
        Ok(body) => body,
        Err(reason) => return refuse(&shared, &head, Refusal::of_body(reason)),
    };
    let deadline = arrived + left_ms.saturating_mul(MILLISECOND);
    let caller = CallerRequest { parts, head, body, arrived, deadline };
    Call::new(shared, admitted, caller).run().await
}

/// What the configuration says of a request.
struct Admitted {
    found: RouteMatch,
    team: Option<Name>,
    priority: u8,
    body_limit: usize,
    version: u64,
}

/// What a caller sent.
struct CallerRequest {
    parts: request::Parts,
    head: Head,
    body: Bytes,
    arrived: Time,
    deadline: Time,
}

/// Finds the route of a request, and the team that sends it.
fn admit(shared: &Shared, head: &Head, parts: &request::Parts) -> Result<Admitted, Refusal> {
    let table = shared.table.load_full().ok_or_else(|| no_configuration(shared))?;
    let path = parts.uri.path();
    let found = table.find(&head.host, path, rand::random()).ok_or(Refusal::NoRoute)?;
    let team = team_of(&table, &found, head)?;
    if shared.is_too_late(found.route.timeout_ms) {
        return Err(Refusal::Stopping);
    }
    let priority = team.as_ref().and_then(|it| it.1).unwrap_or(found.route.priority);
    let body_limit = table.config().limits.body_bytes as usize;
    let team = team.map(|it| it.0);
    Ok(Admitted { found, team, priority, body_limit, version: table.config().version })
}

/// A caller should come back when a process that has just started is expected to know its configuration.
fn no_configuration(shared: &Shared) -> Refusal {
    let age_ms = shared.now().since(shared.started) / MILLISECOND;
    let left_ms = CONFIGURATION_MS.saturating_sub(age_ms);
    Refusal::NoConfiguration { retry_ms: left_ms.max(LEAST_RETRY_MS) }
}

fn team_of(
    table: &RouteTable,
    found: &RouteMatch,
    head: &Head,
) -> Result<Option<(Name, Option<u8>)>, Refusal> {
    if !table.requires_keys() {
        return Ok(None);
    }
    let team = head.key.as_ref().and_then(|it| table.team_by_key(it.as_bytes()));
    match team {
        Some(team) => Ok(Some((team.name.clone(), team.priority))),
        None if found.route.open => Ok(None),
        None => Err(Refusal::UnknownKey),
    }
}

fn refuse(shared: &Shared, head: &Head, refusal: Refusal) -> Response<Body> {
    tracing::info!(event = "refused", request = head.id(), reason = %refusal, "gateway: refused");
    shared.metrics.request(refusal.label());
    refusal.answer()
}

/// A request with all that is known of it.
pub(crate) struct Call {
    pub(crate) shared: Arc<Shared>,
    pub(crate) found: RouteMatch,
    pub(crate) team: Option<Name>,
    pub(crate) priority: u8,
    pub(crate) parts: request::Parts,
    pub(crate) head: Head,
    pub(crate) body: Bytes,
    pub(crate) arrived: Time,
    /// When its answer must have ended.
    pub(crate) deadline: Time,
    /// What makes it the same request when it is sent again.
    pub(crate) fingerprint: u64,
    pub(crate) tried: SmallVec<[EndpointHandle; 2]>,
    pub(crate) sends: u32,
    /// Sends after which the request may have run.
    pub(crate) runs: u32,
    /// The version of the configuration by which it was routed.
    version: u64,
    /// Where it was sent last.
    last: Option<Assignment>,
    /// How long it waited for room, in milliseconds.
    waited_ms: u64,
    /// When its answer began, in milliseconds after it arrived.
    pub(crate) first_ms: u64,
}

impl Call {
    fn new(shared: Arc<Shared>, admitted: Admitted, request: CallerRequest) -> Call {
        let Admitted { found, team, priority, version, .. } = admitted;
        let CallerRequest { parts, head, body, arrived, deadline } = request;
        let path = parts.uri.path_and_query().map_or("", |it| it.as_str());
        let caller = team.as_deref().unwrap_or_default();
        let named = mix2(hash64(path.as_bytes()), hash64(caller.as_bytes()));
        let prompt = head.prompt.iter().flat_map(|it| &it.parts);
        let prompt = prompt.fold(0, |hash, it| mix2(hash, it.id));
        let fingerprint = mix2(mix2(named, hash64(&body)), prompt);
        let tried = SmallVec::new();
        Call {
            shared,
            found,
            team,
            priority,
            parts,
            head,
            body,
            arrived,
            deadline,
            fingerprint,
            tried,
            sends: 0,
            runs: 0,
            version,
            last: None,
            waited_ms: 0,
            first_ms: 0,
        }
    }

    async fn run(mut self) -> Response<Body> {
        self.shared.earn(&self.found.service.name);
        if self.shared.crashes.lock().is_blocked(self.shared.now(), self.fingerprint) {
            return self.refuse(Refusal::Quarantined);
        }
        loop {
            let attempt = match self.attempt().await {
                Ok(it) => it,
                Err(refusal) => return self.refuse(refusal),
            };
            match attempt.run(&mut self).await {
                Ok(answer) => return self.answer(answer),
                Err(failure) => {
                    if !self.may_send_again(&failure) {
                        return self.fail(failure);
                    }
                    self.log_retry(&failure);
                }
            }
        }
    }

    /// Waits for a place for the next attempt.
    pub(crate) async fn attempt(&mut self) -> Result<Attempt, Refusal> {
        let now = self.shared.now();
        let ask = DispatchRequest {
            service: self.found.service.name.clone(),
            prompt: self.head.prompt.clone(),
            priority: self.priority,
            wait_until: self.patience(now),
            excluded: self.tried.clone(),
        };
        let no_endpoint = !self.shared.dispatcher.lock().has_endpoints(&ask.service);
        let placed = self.shared.place(ask).await;
        match placed {
            Ok(pick) => {
                self.waited_ms += self.shared.now().since(now) / MILLISECOND;
                self.last = Some(pick.clone());
                Ok(Attempt::new(&self.shared, pick))
            }
            Err(Refused { .. }) if self.runs > 0 => Err(Refusal::Broken),
            Err(Refused { .. }) if no_endpoint => Err(Refusal::NoEndpoint),
            Err(Refused { retry_ms }) => Err(Refusal::NoRoom { retry_ms }),
        }
    }

    /// Until when this request may wait for room.
    fn patience(&self, now: Time) -> Time {
        let target = match self.found.route.target_ms {
            0 => DEFAULT_PATIENCE_MS,
            target => target * PATIENCE_PERCENT / 100,
        };
        let by_target = (self.arrived + target * MILLISECOND).max(now);
        let by_deadline = now + self.deadline.since(now) * DEADLINE_PERCENT / 100;
        by_target.min(by_deadline)
    }

    /// Milliseconds until the deadline.
    pub(crate) fn left_ms(&self) -> u64 {
        self.deadline.since(self.shared.now()) / MILLISECOND
    }

    /// Whether a request that failed like this may go to another endpoint, and takes it from the budget.
    pub(crate) fn may_send_again(&self, failure: &Failure) -> bool {
        let route = &self.found.route;
        let in_time = self.left_ms() > 0;
        let allowed = match failure {
            Failure::NotSent { .. } => return in_time && self.tried.len() < 6,
            Failure::NotRun { .. } => self.sends < route.attempts + EXTRA_SENDS,
            Failure::Unknown { .. } | Failure::Failed(_) => {
                route.is_retryable() && self.runs < route.attempts
            }
            Failure::Late => false,
        };
        allowed && in_time && self.shared.spend(&self.found.service.name)
    }

    fn log_retry(&self, failure: &Failure) {
        tracing::info!(
            event = "retry",
            request = self.head.id(),
            sends = self.sends,
            endpoint = %self.last.as_ref().map_or("", |it| &it.id),
            cause = %failure,
            "gateway: sent again"
        );
    }

    fn answer(self, answer: Answer) -> Response<Body> {
        self.shared.metrics.request("answered");
        if matches!(answer, Answer::Whole(..)) {
            self.log_served();
        }
        match answer {
            Answer::Whole(parts, body) => Response::from_parts(parts, full(body)),
            Answer::Stream(parts, first) => {
                Response::from_parts(parts, StreamAnswer::body(self, first))
            }
        }
    }

    /// Gives up on a request, and says what is known.
    fn fail(self, failure: Failure) -> Response<Body> {
        let cause = failure.to_string();
        let refusal = match failure {
            Failure::Failed(answer) => {
                self.log_end("failed", &cause);
                self.shared.metrics.request("failed");
                let (parts, body) = *answer;
                // These statuses would say that the request has not run.
                if says_not_run(parts.status) {
                    return Refusal::Broken.answer();
                }
                return Response::from_parts(parts, full(body));
            }
            Failure::Late if self.runs > 0 => Refusal::Late,
            Failure::Unknown { .. } if self.left_ms() == 0 => Refusal::Late,
            Failure::Unknown { .. } => Refusal::Broken,
            _ if self.runs > 0 => Refusal::Broken,
            Failure::NotSent { .. } | Failure::Late => Refusal::NoRoom { retry_ms: 300 },
            Failure::NotRun { .. } => Refusal::NoRoom { retry_ms: 300 },
        };
        self.log_end(refusal.label(), &cause);
        self.shared.metrics.request(refusal.label());
        refusal.answer()
    }

    /// Logs a request that was served: each one that was late or sent again, and some of the others.
    pub(crate) fn log_served(&self) {
        let now = self.shared.now();
        let after_ms = now.since(self.arrived) / MILLISECOND;
        let eventful = self.sends > 1 || self.first_ms > self.found.route.target_ms;
        if !eventful && !self.shared.sampler.take(now) {
            return;
        }
        tracing::info!(
            event = "served",
            request = self.head.id(),
            route = %self.found.route.name,
            team = self.team.as_deref(),
            endpoint = %self.last.as_ref().map_or("", |it| &it.id),
            load = self.last.as_ref().map(|it| it.load),
            fetch = ?self.last.as_ref().and_then(|it| it.fetch_from),
            version = self.version,
            sends = self.sends,
            waited_ms = self.waited_ms,
            first_ms = self.first_ms,
            after_ms,
            "gateway: served"
        );
    }

    fn refuse(&self, refusal: Refusal) -> Response<Body> {
        self.log_end(refusal.label(), &refusal.to_string());
        self.shared.metrics.request(refusal.label());
        refusal.answer()
    }

    fn log_end(&self, outcome: &str, reason: &str) {
        tracing::info!(
            event = "ended",
            request = self.head.id(),
            route = %self.found.route.name,
            outcome,
            reason,
            sends = self.sends,
            runs = self.runs,
            version = self.version,
            endpoint = %self.last.as_ref().map_or("", |it| &it.id),
            waited_ms = self.waited_ms,
            left_ms = self.left_ms(),
            after_ms = self.shared.now().since(self.arrived) / MILLISECOND,
            "gateway: not served"
        );
    }
}

/// Whether a status means that the request has not run and will not.
pub(crate) fn says_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl Refusal {
    fn of_body(reason: Reason) -> Refusal {
        match reason {
            Reason::TooLarge => Refusal::TooLarge,
            _ => Refusal::BadBody,
        }
    }
}
