//! One entry router, three owners each with an endpoint, and everything that may go wrong between them.

use {
    bytes::Bytes,
    fakes::Net,
    model::{AttemptNo, EndpointId, Epoch, Outcome, Reason, Refusal, Time},
    proptest::prelude::*,
    retry::{
        Action, Actions, Admission, Attempts, Event, Reply, RequestSpec, RetryBudget, RetryLimits,
    },
    std::collections::BTreeMap,
};

/// Thousandths of a retry that a first attempt earns.
pub(crate) const SHARE: u32 = 100;

const ENDPOINTS: u32 = 3;
const CHUNK: u64 = 5;
const ENTRY: u32 = 0;
const DEADLINE: Time = Time(100_000_000);

/// One thing that happens, with a number that picks where.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// A message arrives, whichever it is.
    Deliver(usize),
    /// The oldest message arrives.
    Oldest,
    /// An endpoint sends one more frame of something that it runs.
    Run(usize),
    /// A message is lost, and with it the stream that carried it.
    Lose(usize),
    /// An answer's frame arrives twice.
    Double(usize),
    /// The stream of a request to its owner breaks; the owner may not notice.
    Cut(usize),
    /// The connections to an endpoint break; it goes on running nothing of theirs.
    Break(usize),
    /// An endpoint dies and comes back.
    Crash(usize),
    /// What an owner does with the next request: 0 is to run it.
    Mood(usize, u8),
    /// Time passes.
    Tick,
    /// The deadline of a request passes.
    Late(usize),
    /// A new roster is in force.
    Roster,
}

/// What a property forbids.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fault {
    /// Bytes are missing, doubled, out of order or of another answer.
    Answer,
    /// A request was said not to have run, and ran.
    Outcome,
    /// A request that is not idempotent ran twice.
    Twice,
    /// A request has no end, or two.
    End,
}

/// Draws a step; more messages arrive than are lost.
pub(crate) fn step() -> impl Strategy<Value = Step> {
    let at = any::<usize>();
    prop_oneof![
        8 => at.prop_map(Step::Deliver),
        12 => Just(Step::Oldest),
        12 => at.prop_map(Step::Run),
        1 => at.prop_map(Step::Lose),
        2 => at.prop_map(Step::Double),
        1 => at.prop_map(Step::Cut),
        1 => at.prop_map(Step::Break),
        1 => at.prop_map(Step::Crash),
        3 => (at, 0u8..8).prop_map(|(at, mood)| Step::Mood(at, mood)),
        1 => Just(Step::Tick),
        1 => at.prop_map(Step::Late),
        1 => Just(Step::Roster),
    ]
}

/// Draws a step of a network that keeps the order of messages, without failures.
pub(crate) fn calm() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Oldest),
        6 => any::<usize>().prop_map(Step::Run),
        1 => (any::<usize>(), 1u8..4).prop_map(|(at, mood)| Step::Mood(at, mood)),
        1 => Just(Step::Roster),
    ]
}

/// Draws a failure that a request survives.
pub(crate) fn failure() -> impl Strategy<Value = Step> {
    prop_oneof![any::<usize>().prop_map(Step::Cut), any::<usize>().prop_map(Step::Break)]
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
    /// Whether every attempt would give the same answer.
    resumable: bool,
    got: Vec<u8>,
    heads: u32,
    /// Times that an endpoint began with it.
    begun: u32,
    ends: Vec<Option<Refusal>>,
    forwards: BTreeMap<AttemptNo, EndpointId>,
}

impl Request {
    /// Whether the answer of one of the attempts is like that.
    fn is_given<F>(&self, at: usize, fits: F) -> bool
    where
        F: Fn(Vec<u8>) -> bool,
    {
        self.forwards.keys().any(|it| fits(answer((at, *it), self.resumable)))
    }
}

/// The answer to a request; an answer that cannot be resumed differs from attempt to attempt.
fn answer((at, attempt): Key, resumable: bool) -> Vec<u8> {
    let shift = if resumable { 0 } else { attempt.0 as usize };
    (0..13 + 9 * at + shift % 4).map(|it| (at * 50 + it + shift * 7) as u8).collect()
}

/// The fleet.
pub(crate) struct Fleet {
    now: Time,
    epoch: Epoch,
    net: Net<u32, Message>,
    budget: RetryBudget,
    requests: Vec<Request>,
    /// What each endpoint runs: the offset of the next frame, nothing before the head.
    running: BTreeMap<(u32, Key), (u64, bool)>,
    moods: [u8; ENDPOINTS as usize + 1],
    wrong: Vec<(usize, Fault)>,
    retries: u64,
}

impl Fleet {
    /// Starts one request for each (idempotent, resumable), with answers of different lengths.
    pub(crate) fn new(kinds: &[(bool, bool)], reserve: u32) -> Fleet {
        let mut fleet = Fleet {
            now: Time(1),
            epoch: Epoch(1),
            net: Net::default(),
            budget: RetryBudget::new(SHARE, reserve),
            requests: Vec::new(),
            running: BTreeMap::new(),
            moods: [0; ENDPOINTS as usize + 1],
            wrong: Vec::new(),
            retries: 0,
        };
        for (at, &(idempotent, resumable)) in kinds.iter().enumerate() {
            let candidates = (0..ENDPOINTS).map(|it| EndpointId((at as u32 + it) % ENDPOINTS + 1));
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
                got: Vec::new(),
                heads: 0,
                begun: 0,
                ends: Vec::new(),
                forwards: BTreeMap::new(),
            });
            fleet.carry_out(at, actions);
        }
        fleet
    }

    /// Carries out one step.
    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(pick) => {
                let envelope = self.net.deliver(pick);
                envelope.into_iter().for_each(|it| self.arrive(it.to, it.message));
            }
            Step::Oldest => {
                let envelope = self.net.deliver_oldest();
                envelope.into_iter().for_each(|it| self.arrive(it.to, it.message));
            }
            Step::Run(pick) => self.run(pick),
            Step::Lose(pick) => {
                if let Some(it) = self.net.deliver(pick) {
                    self.lost(it.message);
                }
            }
            Step::Double(pick) => {
                if let Some(it) = self.net.deliver(pick) {
                    let copies = if matches!(it.message, Message::Reply { .. }) { 2 } else { 1 };
                    (0..copies).for_each(|_| self.net.send(it.from, it.to, it.message.clone()));
                }
            }
            Step::Cut(pick) => {
                let at = pick % self.requests.len();
                let last = self.requests[at].forwards.last_key_value().map(|it| *it.0);
                last.into_iter().for_each(|attempt| self.tell(at, Event::StreamLost { attempt }));
            }
            Step::Break(pick) => self.fail(pick as u32 % ENDPOINTS + 1, false),
            Step::Crash(pick) => self.fail(pick as u32 % ENDPOINTS + 1, true),
            Step::Mood(pick, mood) => self.moods[pick % ENDPOINTS as usize + 1] = mood,
            Step::Tick => {
                self.now = self.now + 200_000;
                (0..self.requests.len()).for_each(|at| self.tell(at, Event::Tick));
            }
            Step::Late(pick) => {
                let at = pick % self.requests.len();
                let now = std::mem::replace(&mut self.now, DEADLINE);
                self.tell(at, Event::Tick);
                self.now = now;
            }
            Step::Roster => {
                self.epoch = self.epoch.next();
                let epoch = self.epoch;
                (0..self.requests.len())
                    .for_each(|at| self.tell(at, Event::RosterChanged { epoch }));
            }
        }
    }

    /// Lets everything on its way arrive, then the deadline pass, then whatever comes still later.
    pub(crate) fn settle(&mut self) {
        for _ in 0..2 {
            for _ in 0..2_000 {
                self.step(Step::Oldest);
                self.step(Step::Run(0));
            }
            self.now = DEADLINE;
            (0..self.requests.len()).for_each(|at| self.tell(at, Event::Tick));
        }
        for at in 0..self.requests.len() {
            let request = &self.requests[at];
            let not_run = |it: &Option<Refusal>| it.is_some_and(|it| it.outcome == Outcome::NotRun);
            let (claimed, begun) = (request.ends.iter().any(not_run), request.begun);
            let (ends, idempotent) = (request.ends.len(), request.idempotent);
            if claimed && begun > 0 {
                self.wrong.push((at, Fault::Outcome));
            }
            if !idempotent && begun > 1 {
                self.wrong.push((at, Fault::Twice));
            }
            if ends != 1 {
                self.wrong.push((at, Fault::End));
            }
        }
    }

    /// Lets everything happen that is under way, within the deadline; returns the requests that did not get their
    /// whole answer.
    pub(crate) fn finish(&mut self) -> Vec<usize> {
        for _ in 0..50 {
            for _ in 0..100 {
                self.step(Step::Oldest);
                self.step(Step::Run(0));
            }
            self.step(Step::Tick);
        }
        let whole = |it: &Request| it.ends.as_slice() == [None];
        (0..self.requests.len()).filter(|it| !whole(&self.requests[*it])).collect()
    }

    /// The faults of these kinds that were seen.
    pub(crate) fn faults(&self, kinds: &[Fault]) -> Vec<(usize, Fault)> {
        self.wrong.iter().filter(|it| kinds.contains(&it.1)).copied().collect()
    }

    /// Attempts after one that may have run.
    pub(crate) fn retries(&self) -> u64 {
        self.retries
    }

    fn arrive(&mut self, to: u32, message: Message) {
        match message {
            Message::Forward { key, offset } => self.serve(to, key, offset),
            Message::Reply { key: (at, attempt), reply } => {
                self.tell(at, Event::Reply { attempt, reply });
            }
            Message::Unreachable { key: (at, attempt) } => {
                self.tell(at, Event::Unreachable { attempt });
            }
            Message::Cancel { key } => drop(self.running.remove(&(to, key))),
        }
    }

    /// A lost message means that its stream is gone, which the entry router notices.
    fn lost(&mut self, message: Message) {
        match message {
            Message::Forward { key: (at, attempt), .. }
            | Message::Reply { key: (at, attempt), .. }
            | Message::Unreachable { key: (at, attempt) } => {
                self.tell(at, Event::StreamLost { attempt });
            }
            Message::Cancel { .. } => {}
        }
    }

    fn serve(&mut self, to: u32, key: Key, offset: u64) {
        let refused = |reason| Reply::Refused(Refusal::not_run(reason, 10));
        let reply = match std::mem::take(&mut self.moods[to as usize]) {
            0 => {
                self.requests[key.0].begun += 1;
                self.running.insert((to, key), (offset, false));
                return;
            }
            1 => Reply::NotOwner { epoch: self.epoch },
            2 => Reply::NoCapacity {
                endpoints: [EndpointId(to % ENDPOINTS + 1)].into_iter().collect(),
            },
            3 => Reply::NoCapacity { endpoints: Default::default() },
            4 => refused(Reason::Overloaded),
            5 => refused(Reason::Unavailable),
            6 => {
                // It ran, and its answer was given up.
                self.requests[key.0].begun += 1;
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

    fn run(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let place = *self.running.keys().nth(pick % self.running.len()).unwrap();
        let (to, key) = place;
        let (offset, begun) = self.running[&place];
        let answer = answer(key, self.requests[key.0].resumable);
        let length = answer.len() as u64;
        let reply = if !begun {
            Reply::Head { status: 200 }
        } else if offset >= length {
            Reply::End { length }
        } else {
            let end = (offset + CHUNK).min(length);
            let bytes = Bytes::copy_from_slice(&answer[offset as usize..end as usize]);
            Reply::Chunk { offset, bytes }
        };
        let next = match &reply {
            Reply::Head { .. } => Some((offset, true)),
            Reply::Chunk { bytes, .. } => Some((offset + bytes.len() as u64, true)),
            _ => None,
        };
        match next {
            Some(next) => drop(self.running.insert(place, next)),
            None => drop(self.running.remove(&place)),
        }
        self.net.send(to, ENTRY, Message::Reply { key, reply });
    }

    fn fail(&mut self, endpoint: u32, crashed: bool) {
        let here: Vec<_> = self.running.keys().filter(|it| it.0 == endpoint).copied().collect();
        for (to, key) in here {
            self.running.remove(&(to, key));
            let refusal =
                Refusal { outcome: Outcome::Unknown, reason: Reason::EndpointFailed, retry_ms: 10 };
            let reply = Reply::Failed { refusal, crashed };
            self.net.send(to, ENTRY, Message::Reply { key, reply });
        }
    }

    fn tell(&mut self, at: usize, event: Event) {
        let failed = match &event {
            Event::StreamLost { .. } => true,
            Event::Reply { reply, .. } => !matches!(
                reply,
                Reply::NotOwner { .. } | Reply::NoCapacity { .. } | Reply::Refused(_)
            ),
            _ => false,
        };
        let actions = self.requests[at].attempts.handle(self.now, event, &self.budget);
        let forwards = actions.iter().filter(|it| matches!(it, Action::Forward { .. })).count();
        if failed {
            self.retries += forwards as u64;
        }
        self.carry_out(at, actions);
    }

    fn carry_out(&mut self, at: usize, actions: Actions) {
        for action in actions {
            if !self.requests[at].ends.is_empty() && !matches!(action, Action::Cancel { .. }) {
                self.wrong.push((at, Fault::End));
            }
            let request = &mut self.requests[at];
            match action {
                Action::Forward { endpoint, attempt, offset, admission } => {
                    request.forwards.insert(attempt, endpoint);
                    let key = (at, attempt);
                    // Every seventh owner cannot be reached at first.
                    if (attempt.0 as usize + at) % 7 == 6 && admission != Admission::Queue {
                        self.net.send(ENTRY, ENTRY, Message::Unreachable { key });
                    } else {
                        self.net.send(ENTRY, endpoint.0, Message::Forward { key, offset });
                    }
                }
                Action::Head { .. } => {
                    request.heads += 1;
                    if request.heads > 1 || !request.got.is_empty() {
                        self.wrong.push((at, Fault::Answer));
                    }
                }
                Action::Deliver(bytes) => {
                    request.got.extend_from_slice(&bytes);
                    if request.heads != 1
                        || !request.is_given(at, |it| it.starts_with(&request.got))
                    {
                        self.wrong.push((at, Fault::Answer));
                    }
                }
                Action::Finish => {
                    request.ends.push(None);
                    if !request.is_given(at, |it| it == request.got) {
                        self.wrong.push((at, Fault::Answer));
                    }
                }
                Action::Refuse(refusal) => {
                    request.ends.push(Some(refusal));
                    if request.heads > 0 {
                        self.wrong.push((at, Fault::Answer));
                    }
                }
                Action::Abort(refusal) => request.ends.push(Some(refusal)),
                Action::Cancel { attempt, endpoint } => {
                    let key = (at, attempt);
                    self.net.send(ENTRY, endpoint.0, Message::Cancel { key });
                }
                Action::Quarantine | Action::WakeAt(_) => {}
            }
        }
    }
}
