//! What callers sent and got and what endpoints ran, and the promises that are checked against it while a run goes on.

mod check;

use {
    crate::{
        calm::{Calm, Cause},
        plan::Part,
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

/// How long after its deadline an answer may still arrive.
const LATE: Duration = Duration::from_millis(1_000);

/// How long after its acknowledgement a configuration must be in force.
pub(crate) const APPLY: Duration = Duration::from_millis(2_500);

/// How long a request that crosses the end of a connection may stay unanswered.
const CROSSING: Duration = Duration::from_millis(500);

/// Repeated sends for each request in that window.
pub(crate) const BUDGET_RATIO: f64 = 0.2;

/// Repeated sends beyond that in that window, over all gateways.
pub(crate) const BUDGET_SLACK: f64 = 50.0;

/// The violations that are kept with their text.
const MAX_KEPT: usize = 200;

/// What a request asks for.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display)]
pub enum Kind {
    /// It may be repeated.
    #[display("read")]
    Read,
    /// It may run once.
    #[display("write")]
    Write,
    /// A stream of events that may go on at another endpoint.
    #[display("stream")]
    Stream,
    /// Allowed by the configuration of this version alone.
    #[display("only-{_0}")]
    Only(u64),
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// What it asks for.
    pub kind: Kind,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// How often that gateway had been started.
    pub life: u32,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// When its last byte was sent.
    pub at: Instant,
    /// Until when its caller waits.
    pub deadline: Instant,
}

/// How a request ended for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// A whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// What the endpoint signed it with, if an endpoint gave it.
        signature: Option<String>,
        /// Its body.
        body: Bytes,
    },
    /// The connection ended before the answer was whole.
    Cut {
        /// The events of the stream that arrived whole.
        events: Bytes,
    },
    /// The caller left.
    Left,
    /// Nothing arrived until long after the deadline.
    Silence,
}

/// A request as an endpoint got it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The endpoint, and what it signs this run with.
    pub endpoint: usize,
    /// The service that it belongs to.
    pub service: &'static str,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The team that the gateway names.
    pub team: Option<String>,
    /// Whether the caller's key was passed on.
    pub keyed: bool,
    /// What the gateway says is left of its time.
    pub left: Duration,
    /// From when on it should get no requests any more, as it is listed as leaving.
    pub drained: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    endpoint: usize,
    began: Instant,
    ended: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    sent: Sent,
    runs: SmallVec<[Run; 2]>,
    end: Option<(End, Instant)>,
}

/// Everything that is known of a run so far.
#[derive(Default, Debug)]
pub struct Record(Mutex<Inner>);

#[derive(Default, Debug)]
struct Inner {
    entries: HashMap<String, Entry>,
    calm: Calm,
    /// When each version was sent, and when its acknowledgement came.
    versions: BTreeMap<u64, (Instant, Option<Instant>)>,
    /// The highest version that each life of a gateway acted by, and when it first did.
    seen: HashMap<(usize, u32), (u64, Instant)>,
    violations: Vec<String>,
    /// Violations beyond those.
    more: usize,
}

/// The requests that ended in one way.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Tally {
    /// How many there are.
    pub count: usize,
    /// The id of one of them.
    pub example: String,
}

/// The requests of a run by their kind and by how they ended, as in `write 504`.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Counts(pub BTreeMap<String, Tally>);

/// The service that a kind of request goes to.
pub(crate) fn service_of(kind: Kind) -> &'static str {
    match kind {
        Kind::Stream => "model",
        Kind::Read | Kind::Write | Kind::Only(_) => "plain",
    }
}

impl Record {
    /// Notes a request as it is sent.
    pub fn sent(&self, id: &str, sent: Sent) {
        let entry = Entry { sent, runs: SmallVec::new(), end: None };
        self.0.lock().entries.insert(id.to_owned(), entry);
    }

    /// Notes that an endpoint begins to run a request; returns the number of this run.
    pub fn runs(&self, id: &str, arrival: &Arrival, now: Instant) -> usize {
        self.0.lock().runs(id, arrival, now)
    }

    /// Notes that a run ended.
    pub fn ran(&self, id: &str, run: usize, now: Instant) {
        if let Some(entry) = self.0.lock().entries.get_mut(id) {
            entry.runs[run].ended = Some(now);
        }
    }

    /// Notes how a request ended for its caller.
    pub fn ended(&self, id: &str, end: End, now: Instant) {
        self.0.lock().ended(id, end, now);
    }

    /// The status of the answer that a request got, if it got a whole one.
    pub fn status(&self, id: &str) -> Option<u16> {
        match self.0.lock().entries.get(id)?.end {
            Some((End::Answered { status, .. }, _)) => Some(status),
            _ => None,
        }
    }

    /// Notes that an operator sends a version.
    pub fn publishes(&self, version: u64, now: Instant) {
        self.0.lock().versions.insert(version, (now, None));
    }

    /// Notes that a version was acknowledged.
    pub fn published(&self, version: u64, now: Instant) {
        if let Some(it) = self.0.lock().versions.get_mut(&version) {
            it.1.get_or_insert(now);
        }
    }

    /// The highest version that was acknowledged by then.
    pub fn acknowledged(&self, by: Instant) -> Option<u64> {
        self.0.lock().acknowledged(by)
    }

    /// The highest version that was sent.
    pub fn newest(&self) -> Option<u64> {
        self.0.lock().versions.keys().next_back().copied()
    }

    /// Notes that a part is disturbed from now on.
    pub fn disturb(&self, part: Part, cause: Cause, now: Instant) {
        self.0.lock().calm.begin(part, cause, now);
    }

    /// Notes that a disturbance is over.
    pub fn calm(&self, part: Part, cause: Cause, now: Instant) {
        self.0.lock().calm.end(part, cause, now);
    }

    /// Notes a broken promise.
    pub fn violation(&self, rule: &str, text: &str) {
        self.0.lock().violation(rule, text);
    }

    /// The broken promises so far, and how many more were not kept.
    pub fn violations(&self) -> (Vec<String>, usize) {
        let inner = self.0.lock();
        (inner.violations.clone(), inner.more)
    }

    /// Checks what can be told only at the end.
    pub fn close(&self) -> Counts {
        let mut inner = self.0.lock();
        inner.check_left();
        inner.check_budget();
        inner.counts()
    }
}

impl Inner {
    fn violation(&mut self, rule: &str, text: &str) {
        if self.violations.len() < MAX_KEPT {
            self.violations.push(format!("{rule}: {text}"));
        } else {
            self.more += 1;
        }
    }

    fn acknowledged(&self, by: Instant) -> Option<u64> {
        let acked = |it: &(Instant, Option<Instant>)| it.1.is_some_and(|at| at <= by);
        self.versions.iter().rev().find(|it| acked(it.1)).map(|it| *it.0)
    }

    /// Whether a gateway was in touch with control all the time.
    fn in_touch(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let control = |it| matches!(it, Part::Control(_));
        self.calm.holds(Part::Gateway(gateway), from, to, None)
            && self.calm.all_hold(from, to, control)
    }

    fn runs(&mut self, id: &str, arrival: &Arrival, now: Instant) -> usize {
        let Some(entry) = self.entries.get_mut(id) else {
            self.violation("unasked", &format!("{id} runs and was not sent"));
            return 0;
        };
        let sent = entry.sent.clone();
        let before = entry.runs.len();
        let (endpoint, service) = (arrival.endpoint, arrival.service);
        entry.runs.push(Run { endpoint, began: now, ended: None });
        let end = entry.end.clone();
        let changed = arrival.path != sent.path || arrival.body != sent.body;
        if changed || arrival.keyed || arrival.team.as_deref() != Some(crate::site::TEAM) {
            self.violation("unasked", &format!("{id} runs as {arrival:?}, sent as {sent:?}"));
        }
        if service != service_of(sent.kind) {
            self.violation("route", &format!("{id} runs at {service}"));
        }
        if sent.kind == Kind::Write && before > 0 {
            self.violation("twice", &format!("{id} runs {} times", before + 1));
        }
        if let Some((End::Answered { status: 408 | 421 | 429 | 503, .. }, _)) = end {
            self.violation("refused", &format!("{id} runs after it was refused"));
        }
        let left = sent.deadline.saturating_duration_since(now);
        if arrival.left > left + CROSSING
            && self.calm.holds(Part::Gateway(sent.gateway), sent.at, now, None)
            && self.calm.holds(Part::Endpoint(endpoint), sent.at, now, None)
        {
            let text = format!("{id} is handed {:?} of {left:?} that are left", arrival.left);
            self.violation("deadline", &text);
        }
        if let Some(drained) = arrival.drained.filter(|it| *it < now)
            && self.in_touch(sent.gateway, drained, now)
            && self.calm.holds(Part::List, drained, now, None)
        {
            self.violation("drain", &format!("{id} runs at {endpoint}, which leaves"));
        }
        if let Kind::Only(version) = sent.kind {
            self.check_version(id, &sent, version, now);
        }
        before
    }

    fn ended(&mut self, id: &str, end: End, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let (sent, runs) = (entry.sent.clone(), entry.runs.clone());
        entry.end = Some((end.clone(), now));
        let gateway = Part::Gateway(sent.gateway);
        let calm = self.calm.holds(gateway, sent.at, now, None);
        if end != End::Left && calm && now > sent.deadline + LATE {
            let text = format!("{id} to {gateway} ends {:?} after its deadline: {end:?}", {
                now - sent.deadline
            });
            self.violation("late", &text);
        }
        match &end {
            End::Answered { status, signature, body } => {
                self.check_answer(id, &sent, &runs, (*status, signature.as_deref(), body), now);
            }
            End::Cut { events } => {
                self.check_events(id, &sent, events, false);
                self.check_cut(id, &sent, &runs, now);
            }
            End::Left | End::Silence => {}
        }
    }

    fn counts(&self) -> Counts {
        let mut counts: BTreeMap<String, Tally> = BTreeMap::new();
        for (id, entry) in &self.entries {
            let end = match &entry.end {
                Some((End::Answered { status, .. }, _)) => status.to_string(),
                Some((End::Cut { .. }, _)) => "cut".to_owned(),
                Some((End::Left, _)) => "left".to_owned(),
                Some((End::Silence, _)) | None => "silence".to_owned(),
            };
            let kind = match entry.sent.kind {
                Kind::Only(_) => "only".to_owned(),
                kind => kind.to_string(),
            };
            let tally = counts.entry(format!("{kind} {end}")).or_default();
            tally.count += 1;
            tally.example.clone_from(id);
        }
        Counts(counts)
    }
}

/// How many events a whole stream has.
pub(crate) const EVENTS: u64 = 12;

/// An event of a stream: the same whichever endpoint sends it.
pub fn event_of(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

/// The whole answer to a request that is no stream.
pub fn answer_of(id: &str) -> Bytes {
    Bytes::from(format!("answer to {id}"))
}

/// What an endpoint signs the answer to a request with.
pub fn signature_of(endpoint: usize, id: &str) -> String {
    format!("{endpoint}/{id}")
}

/// A record that tasks share.
pub(crate) type Shared = Arc<Record>;
