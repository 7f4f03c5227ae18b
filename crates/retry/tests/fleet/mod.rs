//! Simulates one entry router, three owners with one endpoint each, and the failures between them.

use {
    bytes::Bytes,
    fakes::Network,
    model::{AttemptNo, EndpointId, Epoch, Outcome, Reason, Refusal, Time},
    proptest::prelude::*,
    retry::{
        Action, Actions, Admission, Attempts, Event, Reply, RequestSpec, RetryBudget, RetryLimits,
    },
    std::collections::BTreeMap,
};

/// Retries that a thousand first attempts earn.
pub(crate) const RETRY_PERMILLE: u32 = 100;

const ENDPOINTS: u32 = 3;
const CHUNK_BYTES: u64 = 5;
const ENTRY: u32 = 0;
const DEADLINE: Time = Time(100_000_000);

/// One step of the simulation; the `usize` selects the message, request or endpoint that it applies to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Delivers any message.
    Deliver(usize),
    /// Delivers the oldest message.
    DeliverOldest,
    /// Sends the next frame of a request that runs on an endpoint.
    SendFrame(usize),
    /// Drops a message, and with it the stream that carried it.
    Drop(usize),
    /// Duplicates a reply.
    Duplicate(usize),
    /// Breaks the stream from a request to its owner; the owner may not notice.
    BreakStream(usize),
    /// Breaks the connections to an endpoint, which stops running their requests.
    BreakConnections(usize),
    /// Crashes an endpoint, which restarts.
    Crash(usize),
    /// Sets how an owner handles the next request; 0 runs it.
    SetBehavior(usize, u8),
    /// Advances the time.
    Tick,
    /// Lets the deadline of a request pass.
    PassDeadline(usize),
    /// Publishes a new roster.
    ChangeRoster,
}

/// A violation of a property under test.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fault {
    /// Response bytes are missing, duplicated, out of order or of another response.
    Body,
    /// A request was reported as not run, but ran.
    Outcome,
    /// A non-idempotent request ran twice.
    Reran,
    /// A request did not complete, or completed twice.
    Completion,
}

/// Generates any step; more messages are delivered than dropped.
pub(crate) fn any_step() -> impl Strategy<Value = Step> {
    let index = any::<usize>();
    prop_oneof![
        8 => index.prop_map(Step::Deliver),
        12 => Just(Step::DeliverOldest),
        12 => index.prop_map(Step::SendFrame),
        1 => index.prop_map(Step::Drop),
        2 => index.prop_map(Step::Duplicate),
        1 => index.prop_map(Step::BreakStream),
        1 => index.prop_map(Step::BreakConnections),
        1 => index.prop_map(Step::Crash),
        3 => (index, 0u8..8).prop_map(|(index, behavior)| Step::SetBehavior(index, behavior)),
        1 => Just(Step::Tick),
        1 => index.prop_map(Step::PassDeadline),
        1 => Just(Step::ChangeRoster),
    ]
}

/// Generates steps without failures, with messages delivered in order.
pub(crate) fn calm_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::DeliverOldest),
        6 => any::<usize>().prop_map(Step::SendFrame),
        1 => (any::<usize>(), 1u8..4)
            .prop_map(|(index, behavior)| Step::SetBehavior(index, behavior)),
        1 => Just(Step::ChangeRoster),
    ]
}

/// Generates a failure that a request survives.
pub(crate) fn survivable_failure() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<usize>().prop_map(Step::BreakStream),
        any::<usize>().prop_map(Step::BreakConnections)
    ]
}

type Key = (usize, AttemptNo);

#[derive(Clone, Debug)]
enum Message {
    Forward { key: Key, offset: u64 },
    Reply { key: Key, reply: Reply },
    Unreachable { key: Key },
    Cancel { key: Key },
}

struct Request {
    attempts: Attempts,
    idempotent: bool,
    /// Whether every attempt would produce the same response.
    resumable: bool,
    body: Vec<u8>,
    heads: u32,
    /// Number of times that an endpoint started the request.
    started: u32,
    completions: Vec<Option<Refusal>>,
    forwards: BTreeMap<AttemptNo, EndpointId>,
}

impl Request {
    /// Whether the response body of one of the attempts fulfils a predicate.
    fn matches_any_attempt<F>(&self, index: usize, fits: F) -> bool
    where
        F: Fn(Vec<u8>) -> bool,
    {
        self.forwards.keys().any(|it| fits(response_body((index, *it), self.resumable)))
    }
}

/// The response body of an attempt; unless the request is resumable, each attempt has another one.
fn response_body((index, attempt): Key, resumable: bool) -> Vec<u8> {
    let shift = if resumable { 0 } else { attempt.0 as usize };
    (0..13 + 9 * index + shift % 4).map(|it| (index * 50 + it + shift * 7) as u8).collect()
}

/// The simulated routers and endpoints, and the requests of one entry router.
pub(crate) struct Fleet {
    now: Time,
    epoch: Epoch,
    net: Network<u32, Message>,
    budget: RetryBudget,
    requests: Vec<Request>,
    /// What runs on each endpoint: the body offset of the next frame, and whether the head was sent.
    running: BTreeMap<(u32, Key), (u64, bool)>,
    behaviors: [u8; ENDPOINTS as usize + 1],
    faults: Vec<(usize, Fault)>,
    retries: u64,
}

impl Fleet {
    /// Starts one request per `(idempotent, resumable)` pair, with responses of different lengths.
    pub(crate) fn new(kinds: &[(bool, bool)], reserve: u32) -> Fleet {
        let mut fleet = Fleet {
            now: Time(1),
            epoch: Epoch(1),
            net: Network::default(),
            budget: RetryBudget::new(RETRY_PERMILLE, reserve),
            requests: Vec::new(),
            running: BTreeMap::new(),
            behaviors: [0; ENDPOINTS as usize + 1],
            faults: Vec::new(),
            retries: 0,
        };
        for (index, &(idempotent, resumable)) in kinds.iter().enumerate() {
            let candidates =
                (0..ENDPOINTS).map(|it| EndpointId((index as u32 + it) % ENDPOINTS + 1));
            let spec = RequestSpec {
                idempotent,
                resumable,
                deadline: DEADLINE,
                candidates: candidates.collect(),
            };
            let (attempts, actions) = Attempts::start(
                fleet.now,
                spec,
                RetryLimits::default(),
                fleet.epoch,
                &fleet.budget,
            );
            fleet.requests.push(Request {
                attempts,
                idempotent,
                resumable,
                body: Vec::new(),
                heads: 0,
                started: 0,
                completions: Vec::new(),
                forwards: BTreeMap::new(),
            });
            fleet.execute(index, actions);
        }
        fleet
    }

    /// Executes one step.
    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(pick) => {
                let envelope = self.net.deliver(pick);
                envelope.into_iter().for_each(|it| self.on_message(it.to, it.message));
            }
            Step::DeliverOldest => {
                let envelope = self.net.deliver_oldest();
                envelope.into_iter().for_each(|it| self.on_message(it.to, it.message));
            }
            Step::SendFrame(pick) => self.send_frame(pick),
            Step::Drop(pick) => {
                if let Some(it) = self.net.deliver(pick) {
                    self.on_lost_message(it.message);
                }
            }
            Step::Duplicate(pick) => {
                if let Some(it) = self.net.deliver(pick) {
                    let copies = if matches!(it.message, Message::Reply { .. }) { 2 } else { 1 };
                    (0..copies).for_each(|_| self.net.send(it.from, it.to, it.message.clone()));
                }
            }
            Step::BreakStream(pick) => {
                let index = pick % self.requests.len();
                let last = self.requests[index].forwards.last_key_value().map(|it| *it.0);
                last.into_iter()
                    .for_each(|attempt| self.handle_event(index, Event::StreamLost { attempt }));
            }
            Step::BreakConnections(pick) => self.fail_requests(pick as u32 % ENDPOINTS + 1, false),
            Step::Crash(pick) => self.fail_requests(pick as u32 % ENDPOINTS + 1, true),
            Step::SetBehavior(pick, behavior) => {
                self.behaviors[pick % ENDPOINTS as usize + 1] = behavior
            }
            Step::Tick => {
                self.now = self.now + 200_000;
                (0..self.requests.len()).for_each(|index| self.handle_event(index, Event::Tick));
            }
            Step::PassDeadline(pick) => {
                let index = pick % self.requests.len();
                let now = std::mem::replace(&mut self.now, DEADLINE);
                self.handle_event(index, Event::Tick);
                self.now = now;
            }
            Step::ChangeRoster => {
                self.epoch = self.epoch.next();
                let epoch = self.epoch;
                (0..self.requests.len())
                    .for_each(|index| self.handle_event(index, Event::RosterChanged { epoch }));
            }
        }
    }

    /// Delivers all messages, lets the deadline pass, delivers the messages that follow, and checks how requests ended.
    pub(crate) fn settle(&mut self) {
        for _ in 0..2 {
            for _ in 0..2_000 {
                self.step(Step::DeliverOldest);
                self.step(Step::SendFrame(0));
            }
            self.now = DEADLINE;
            (0..self.requests.len()).for_each(|index| self.handle_event(index, Event::Tick));
        }
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            let not_run = |it: &Option<Refusal>| it.is_some_and(|it| it.outcome == Outcome::NotRun);
            let (claimed_not_run, started) =
                (request.completions.iter().any(not_run), request.started);
            let (completions, idempotent) = (request.completions.len(), request.idempotent);
            if claimed_not_run && started > 0 {
                self.faults.push((index, Fault::Outcome));
            }
            if !idempotent && started > 1 {
                self.faults.push((index, Fault::Reran));
            }
            if completions != 1 {
                self.faults.push((index, Fault::Completion));
            }
        }
    }

    /// Delivers all messages within the deadline and returns the requests without a complete response.
    pub(crate) fn finish(&mut self) -> Vec<usize> {
        for _ in 0..50 {
            for _ in 0..100 {
                self.step(Step::DeliverOldest);
                self.step(Step::SendFrame(0));
            }
            self.step(Step::Tick);
        }
        let complete = |it: &Request| it.completions.as_slice() == [None];
        (0..self.requests.len()).filter(|it| !complete(&self.requests[*it])).collect()
    }

    /// The recorded faults of the given kinds.
    pub(crate) fn faults(&self, kinds: &[Fault]) -> Vec<(usize, Fault)> {
        self.faults.iter().filter(|it| kinds.contains(&it.1)).copied().collect()
    }

    /// Number of attempts that followed one that may have run.
    pub(crate) fn retries(&self) -> u64 {
        self.retries
    }

    fn on_message(&mut self, to: u32, message: Message) {
        match message {
            Message::Forward { key, offset } => self.on_forward(to, key, offset),
            Message::Reply { key: (index, attempt), reply } => {
                self.handle_event(index, Event::Reply { attempt, reply });
            }
            Message::Unreachable { key: (index, attempt) } => {
                self.handle_event(index, Event::Unreachable { attempt });
            }
            Message::Cancel { key } => drop(self.running.remove(&(to, key))),
        }
    }

    /// Handles the loss of a message: its stream is broken, which the entry router notices.
    fn on_lost_message(&mut self, message: Message) {
        match message {
            Message::Forward { key: (index, attempt), .. }
            | Message::Reply { key: (index, attempt), .. }
            | Message::Unreachable { key: (index, attempt) } => {
                self.handle_event(index, Event::StreamLost { attempt });
            }
            Message::Cancel { .. } => {}
        }
    }

    fn on_forward(&mut self, to: u32, key: Key, offset: u64) {
        let refuse = |reason| Reply::Refused(Refusal::not_run(reason, 10));
        let reply = match std::mem::take(&mut self.behaviors[to as usize]) {
            0 => {
                self.requests[key.0].started += 1;
                self.running.insert((to, key), (offset, false));
                return;
            }
            1 => Reply::NotOwner { epoch: self.epoch },
            2 => Reply::NoCapacity {
                endpoints: [EndpointId(to % ENDPOINTS + 1)].into_iter().collect(),
            },
            3 => Reply::NoCapacity { endpoints: Default::default() },
            4 => refuse(Reason::Overloaded),
            5 => refuse(Reason::Unavailable),
            6 => {
                // The request ran, and its response was discarded.
                self.requests[key.0].started += 1;
                let outcome = Outcome::Unknown;
                Reply::Refused(Refusal { outcome, reason: Reason::Unavailable, retry_ms: 10 })
            }
            _ => {
                let refusal = Refusal::not_run(Reason::EndpointFailed, 10);
                Reply::Failed { refusal, crashed: false }
            }
        };
        self.net.send(to, ENTRY, Message::Reply { key, reply });
    }

    fn send_frame(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let running = *self.running.keys().nth(pick % self.running.len()).unwrap();
        let (to, key) = running;
        let (offset, head_sent) = self.running[&running];
        let body = response_body(key, self.requests[key.0].resumable);
        let length = body.len() as u64;
        let reply = if !head_sent {
            Reply::Head { status: 200 }
        } else if offset >= length {
            Reply::End { length }
        } else {
            let end = (offset + CHUNK_BYTES).min(length);
            let bytes = Bytes::copy_from_slice(&body[offset as usize..end as usize]);
            Reply::Chunk { offset, bytes }
        };
        let next = match &reply {
            Reply::Head { .. } => Some((offset, true)),
            Reply::Chunk { bytes, .. } => Some((offset + bytes.len() as u64, true)),
            _ => None,
        };
        match next {
            Some(next) => drop(self.running.insert(running, next)),
            None => drop(self.running.remove(&running)),
        }
        self.net.send(to, ENTRY, Message::Reply { key, reply });
    }

    fn fail_requests(&mut self, endpoint: u32, crashed: bool) {
        let affected: Vec<_> = self.running.keys().filter(|it| it.0 == endpoint).copied().collect();
        for (to, key) in affected {
            self.running.remove(&(to, key));
            let refusal =
                Refusal { outcome: Outcome::Unknown, reason: Reason::EndpointFailed, retry_ms: 10 };
            let reply = Reply::Failed { refusal, crashed };
            self.net.send(to, ENTRY, Message::Reply { key, reply });
        }
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let is_failure = match &event {
            Event::StreamLost { .. } => true,
            Event::Reply { reply, .. } => !matches!(
                reply,
                Reply::NotOwner { .. } | Reply::NoCapacity { .. } | Reply::Refused(_)
            ),
            _ => false,
        };
        let actions = self.requests[index].attempts.handle(self.now, event, &self.budget);
        let forwards = actions.iter().filter(|it| matches!(it, Action::Forward { .. })).count();
        if is_failure {
            self.retries += forwards as u64;
        }
        self.execute(index, actions);
    }

    fn execute(&mut self, index: usize, actions: Actions) {
        for action in actions {
            if !self.requests[index].completions.is_empty()
                && !matches!(action, Action::Cancel { .. })
            {
                self.faults.push((index, Fault::Completion));
            }
            let request = &mut self.requests[index];
            match action {
                Action::Forward { endpoint, attempt, offset, admission } => {
                    request.forwards.insert(attempt, endpoint);
                    let key = (index, attempt);
                    // About one attempt in seven finds its owner unreachable.
                    if (attempt.0 as usize + index) % 7 == 6 && admission != Admission::Queue {
                        self.net.send(ENTRY, ENTRY, Message::Unreachable { key });
                    } else {
                        self.net.send(ENTRY, endpoint.0, Message::Forward { key, offset });
                    }
                }
                Action::Head { .. } => {
                    request.heads += 1;
                    if request.heads > 1 || !request.body.is_empty() {
                        self.faults.push((index, Fault::Body));
                    }
                }
                Action::Deliver(bytes) => {
                    request.body.extend_from_slice(&bytes);
                    if request.heads != 1
                        || !request.matches_any_attempt(index, |it| it.starts_with(&request.body))
                    {
                        self.faults.push((index, Fault::Body));
                    }
                }
                Action::Finish => {
                    request.completions.push(None);
                    if !request.matches_any_attempt(index, |it| it == request.body) {
                        self.faults.push((index, Fault::Body));
                    }
                }
                Action::Refuse(refusal) => {
                    request.completions.push(Some(refusal));
                    if request.heads > 0 {
                        self.faults.push((index, Fault::Body));
                    }
                }
                Action::Abort(refusal) => request.completions.push(Some(refusal)),
                Action::Cancel { attempt, endpoint } => {
                    let key = (index, attempt);
                    self.net.send(ENTRY, endpoint.0, Message::Cancel { key });
                }
                Action::Quarantine | Action::WakeAt(_) => {}
            }
        }
    }
}
