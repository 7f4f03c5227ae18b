//! The history of requests, executions and responses of a run, and the invariants that are checked against it.

mod check;
mod cuts;
mod incidents;

pub use cuts::{Cuts, Excuse};

use {
    self::incidents::Incidents,
    crate::{
        disturbances::{Cause, DisturbanceLog},
        plan::Component,
    },
    bytes::Bytes,
    derive_more::{Debug, Display},
    parking_lot::Mutex,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long after its deadline a response may still arrive.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(1_000);

/// How long after its acknowledgement a configuration must be in effect on every gateway.
pub(crate) const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

/// Tolerance for messages in flight, such as a request sent while the gateway closes the connection.
const IN_FLIGHT_TOLERANCE: Duration = Duration::from_millis(500);

/// Allowed retries per request within the retry window.
pub(crate) const RETRY_RATIO: f64 = 0.2;

/// Allowed retries beyond [`RETRY_RATIO`] within the retry window, over all gateways.
pub(crate) const RETRY_SLACK: f64 = 50.0;

/// Maximum number of violations whose text is kept.
const MAX_VIOLATIONS: usize = 200;

/// The kind of a request, which determines its route.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display)]
pub enum RequestKind {
    /// Idempotent: it may be retried.
    #[display("read")]
    Read,
    /// Not idempotent: it may run at most once.
    #[display("write")]
    Write,
    /// An event stream that may be resumed on another endpoint.
    #[display("stream")]
    Stream,
    /// Like [`RequestKind::Stream`], with the prompt part that crashes endpoints.
    #[display("stream")]
    Crashing,
    /// Routed only by the configuration with this version.
    #[display("only-{_0}")]
    VersionOnly(u64),
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its kind.
    pub kind: RequestKind,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// How often that gateway had been restarted.
    pub incarnation: u32,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// When it was sent.
    pub at: Instant,
    /// Its deadline.
    pub deadline: Instant,
}

/// The outcome of a request as seen by its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// A complete response arrived.
    Completed {
        /// The status code.
        status: u16,
        /// The signature of the endpoint, if the response comes from one.
        signature: Option<String>,
        /// The response body.
        body: Bytes,
    },
    /// The connection closed before the response was complete.
    Disconnected {
        /// The part of the event stream that arrived.
        events: Bytes,
    },
    /// The caller cancelled the request.
    Cancelled,
    /// No complete response arrived until long after the deadline.
    TimedOut,
}

/// A request as received by an endpoint.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The index of the endpoint, which is part of its signature.
    pub endpoint: usize,
    /// The service of the endpoint.
    pub service: &'static str,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The team header set by the gateway.
    pub team: Option<String>,
    /// Whether the gateway forwarded the caller's team key, which it must not.
    pub has_team_key: bool,
    /// The remaining time according to the gateway.
    pub time_left: Duration,
    /// When the endpoint must have stopped receiving requests, if it is listed as draining.
    pub drain_deadline: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Execution {
    endpoint: usize,
    began: Instant,
    ended: Option<Instant>,
}

#[derive(Debug)]
struct RequestEntry {
    sent: SentRequest,
    executions: SmallVec<[Execution; 2]>,
    outcome: Option<(Outcome, Instant)>,
}

/// Everything observed in a run so far.
#[derive(Default, Debug)]
pub struct History(Mutex<Inner>);

#[derive(Default, Debug)]
struct Inner {
    entries: HashMap<String, RequestEntry>,
    disturbances: DisturbanceLog,
    /// When each configuration version was first published, and when it was acknowledged.
    versions: BTreeMap<u64, (Instant, Option<Instant>)>,
    /// The highest version that each incarnation of a gateway used, and when it first did.
    used_versions: HashMap<(usize, u32), (u64, Instant)>,
    cuts: Cuts,
    incidents: Incidents,
    violations: Vec<String>,
    /// Number of violations whose text was not kept.
    omitted: usize,
}

/// The number of requests with one outcome.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Tally {
    /// The number of requests.
    pub count: usize,
    /// The id of one of them.
    pub example: String,
}

/// The requests of a run by kind and outcome, such as `write 504`.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct OutcomeCounts(pub BTreeMap<String, Tally>);

/// Returns the service that handles a kind of request.
pub(crate) fn service_for(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Stream | RequestKind::Crashing => "model",
        RequestKind::Read | RequestKind::Write | RequestKind::VersionOnly(_) => "plain",
    }
}

impl History {
    /// Records a request that is being sent.
    pub fn record_sent(&self, id: &str, sent: SentRequest) {
        let entry = RequestEntry { sent, executions: SmallVec::new(), outcome: None };
        self.0.lock().entries.insert(id.to_owned(), entry);
    }

    /// Records that an endpoint starts to run a request; returns the index of this execution.
    pub fn record_start(&self, id: &str, received: &ReceivedRequest, now: Instant) -> usize {
        self.0.lock().record_start(id, received, now)
    }

    /// Records the end of an execution.
    pub fn record_finish(&self, id: &str, run: usize, now: Instant) {
        if let Some(entry) = self.0.lock().entries.get_mut(id) {
            entry.executions[run].ended = Some(now);
        }
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&self, id: &str, outcome: Outcome, now: Instant) {
        self.0.lock().record_outcome(id, outcome, now);
    }

    /// Returns the status of the response to a request, if a complete one arrived.
    pub fn response_status(&self, id: &str) -> Option<u16> {
        match self.0.lock().entries.get(id)?.outcome {
            Some((Outcome::Completed { status, .. }, _)) => Some(status),
            _ => None,
        }
    }

    /// Records that an operator publishes a configuration version.
    pub fn record_publish(&self, version: u64, now: Instant) {
        self.0.lock().versions.insert(version, (now, None));
    }

    /// Records that a configuration version was acknowledged.
    pub fn record_acknowledged(&self, version: u64, now: Instant) {
        if let Some(it) = self.0.lock().versions.get_mut(&version) {
            it.1.get_or_insert(now);
        }
    }

    /// Returns the highest version acknowledged at the time `by`.
    pub fn acknowledged_version(&self, by: Instant) -> Option<u64> {
        self.0.lock().acknowledged_version(by)
    }

    /// Returns the highest version that was published, acknowledged or not.
    pub fn newest_version(&self) -> Option<u64> {
        self.0.lock().versions.keys().next_back().copied()
    }

    /// Records the start of a disturbance.
    pub fn begin_disturbance(&self, component: Component, cause: Cause, now: Instant) {
        self.0.lock().disturbances.begin(component, cause, now);
    }

    /// Records the end of a disturbance.
    pub fn end_disturbance(&self, component: Component, cause: Cause, now: Instant) {
        self.0.lock().disturbances.end(component, cause, now);
    }

    /// Records that an endpoint received a request with the part that crashes endpoints.
    pub fn record_crashing_part(&self, id: &str, now: Instant) {
        self.0.lock().incidents.arrivals.push((id.to_owned(), now));
    }

    /// Records that an endpoint crashed because of that part.
    pub fn record_part_crash(&self, now: Instant) {
        self.0.lock().incidents.crashes.push(now);
    }

    /// Records that an endpoint received a request while it named a limit.
    pub fn record_limited(&self, endpoint: usize, id: &str, now: Instant) {
        let mut inner = self.0.lock();
        inner.incidents.limited.entry(endpoint).or_default().push((id.to_owned(), now));
    }

    /// Records a violated invariant.
    pub fn record_violation(&self, rule: &str, text: &str) {
        self.0.lock().record_violation(rule, text);
    }

    /// Returns the violations so far, and the number of further ones whose text was not kept.
    pub fn violations(&self) -> (Vec<String>, usize) {
        let inner = self.0.lock();
        (inner.violations.clone(), inner.omitted)
    }

    /// Returns the number of requests that were cut off, by whether a violation or why not.
    pub fn cuts(&self) -> Cuts {
        self.0.lock().cuts.clone()
    }

    /// Checks the invariants that need the complete history, and counts the outcomes.
    pub fn finish(&self) -> OutcomeCounts {
        let mut inner = self.0.lock();
        inner.check_cancelled();
        inner.check_cuts();
        inner.check_retry_budget();
        inner.check_crashing_part();
        inner.check_limits();
        inner.counts()
    }
}

impl Inner {
    fn record_violation(&mut self, rule: &str, text: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{rule}: {text}"));
        } else {
            self.omitted += 1;
        }
    }

    fn acknowledged_version(&self, by: Instant) -> Option<u64> {
        let acked = |it: &(Instant, Option<Instant>)| it.1.is_some_and(|at| at <= by);
        self.versions.iter().rev().find(|it| acked(it.1)).map(|it| *it.0)
    }

    /// Returns whether a gateway and all control replicas were undisturbed in the interval.
    fn connected_to_control(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let control = |it| matches!(it, Component::Control(_));
        self.disturbances.is_undisturbed(Component::Gateway(gateway), from, to)
            && self.disturbances.all_undisturbed(from, to, control)
    }

    fn record_start(&mut self, id: &str, received: &ReceivedRequest, now: Instant) -> usize {
        let Some(entry) = self.entries.get_mut(id) else {
            self.record_violation("unexpected", &format!("{id} runs but was never sent"));
            return 0;
        };
        let sent = entry.sent.clone();
        let before = entry.executions.len();
        let (endpoint, service) = (received.endpoint, received.service);
        entry.executions.push(Execution { endpoint, began: now, ended: None });
        let outcome = entry.outcome.clone();
        let changed = received.path != sent.path || received.body != sent.body;
        if changed || received.has_team_key || received.team.as_deref() != Some(crate::config::TEAM)
        {
            self.record_violation(
                "unexpected",
                &format!("{id} runs as {received:?}, sent as {sent:?}"),
            );
        }
        if service != service_for(sent.kind) {
            self.record_violation("route", &format!("{id} runs on an endpoint of {service}"));
        }
        if sent.kind == RequestKind::Write && before > 0 {
            self.record_violation("duplicate", &format!("{id} runs {} times", before + 1));
        }
        if let Some((Outcome::Completed { status: 408 | 421 | 429 | 503, .. }, _)) = outcome {
            self.record_violation("refused", &format!("{id} runs after it was refused"));
        }
        let time_left = sent.deadline.saturating_duration_since(now);
        if received.time_left > time_left + IN_FLIGHT_TOLERANCE
            && self.disturbances.is_undisturbed(Component::Gateway(sent.gateway), sent.at, now)
            && self.disturbances.is_undisturbed(Component::Endpoint(endpoint), sent.at, now)
        {
            let text =
                format!("{id} is forwarded with {:?} of {time_left:?} left", received.time_left);
            self.record_violation("deadline", &text);
        }
        if let Some(drain_deadline) = received.drain_deadline.filter(|it| *it < now)
            && self.connected_to_control(sent.gateway, drain_deadline, now)
            && self.disturbances.is_undisturbed(Component::Directory, drain_deadline, now)
        {
            self.record_violation(
                "drain",
                &format!("{id} runs on the draining endpoint {endpoint}"),
            );
        }
        if let RequestKind::VersionOnly(version) = sent.kind {
            self.check_version(id, &sent, version, now);
        }
        before
    }

    fn record_outcome(&mut self, id: &str, outcome: Outcome, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let (sent, executions) = (entry.sent.clone(), entry.executions.clone());
        entry.outcome = Some((outcome.clone(), now));
        let gateway = Component::Gateway(sent.gateway);
        let undisturbed = self.disturbances.is_undisturbed(gateway, sent.at, now);
        if outcome != Outcome::Cancelled && undisturbed && now > sent.deadline + DEADLINE_TOLERANCE
        {
            let text =
                format!("{id} to {gateway} finished {:?} after its deadline: {outcome:?}", {
                    now - sent.deadline
                });
            self.record_violation("late", &text);
        }
        match &outcome {
            Outcome::Completed { status, signature, body } => {
                self.check_response(
                    id,
                    &sent,
                    &executions,
                    (*status, signature.as_deref(), body),
                    now,
                );
            }
            Outcome::Disconnected { events } => self.check_events(id, &sent, events, false),
            Outcome::Cancelled | Outcome::TimedOut => {}
        }
    }

    fn counts(&self) -> OutcomeCounts {
        let mut counts: BTreeMap<String, Tally> = BTreeMap::new();
        for (id, entry) in &self.entries {
            let outcome = match &entry.outcome {
                Some((Outcome::Completed { status, .. }, _)) => status.to_string(),
                Some((Outcome::Disconnected { .. }, _)) => "disconnected".to_owned(),
                Some((Outcome::Cancelled, _)) => "cancelled".to_owned(),
                Some((Outcome::TimedOut, _)) | None => "timed out".to_owned(),
            };
            let kind = match entry.sent.kind {
                RequestKind::VersionOnly(_) => "only".to_owned(),
                RequestKind::Crashing => "crashing".to_owned(),
                kind => kind.to_string(),
            };
            let tally = counts.entry(format!("{kind} {outcome}")).or_default();
            tally.count += 1;
            tally.example.clone_from(id);
        }
        OutcomeCounts(counts)
    }
}

/// Number of events of a complete stream.
pub(crate) const STREAM_EVENTS: u64 = 12;

/// Returns an event of the stream for a request, which is the same on every endpoint.
pub fn expected_event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

/// Returns the response body of a request that is not a stream.
pub fn expected_response(id: &str) -> Bytes {
    Bytes::from(format!("answer to {id}"))
}

/// Returns the signature of an endpoint for the response to a request.
pub fn expected_signature(endpoint: usize, id: &str) -> String {
    format!("{endpoint}/{id}")
}

/// A history shared between tasks.
pub(crate) type SharedHistory = Arc<History>;
