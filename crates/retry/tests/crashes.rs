//! A request that crashes every endpoint that runs it, resent by its caller through any routers, among bystanders.

use {
    fakes::Net,
    model::{AttemptNo, Digest, EndpointId, Epoch, Outcome, Reason, Refusal, RequestId, Time},
    proptest::{collection::vec, prelude::*},
    retry::{
        Action, Actions, Admission, AdmitDecision, Attempts, Event, Isolation, Reply, RequestSpec,
        RetryBudget, RetryLimits, SuspectLimits, SuspectTable,
    },
    smallvec::SmallVec,
    std::collections::{BTreeMap, BTreeSet},
};

const ROUTERS: u32 = 4;
const ENDPOINTS: u32 = 8;
const CONTROL: u32 = 99;
const NOW: Time = Time(1);
const DEADLINE: Time = Time(1_000_000);
const CRASHER: u8 = 0;
/// The home of the crashing request.
const HOME: u32 = 0;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A message arrives.
    Deliver(usize),
    /// A message to or from control arrives.
    Control(usize),
    /// Something that runs comes to its end, or crashes its endpoint.
    Run(usize),
    /// The caller sends the crashing request again through a router, if it has its answer.
    Resend(u32),
    /// An endpoint has no room for the next request, which may go to another.
    Full(u32, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::Control),
        6 => any::<usize>().prop_map(Step::Run),
        3 => (0..ROUTERS).prop_map(Step::Resend),
        1 => (0..ENDPOINTS, 0..ENDPOINTS).prop_map(|(at, to)| Step::Full(at, to)),
        3 => (0..ENDPOINTS).prop_map(|to| Step::Full(HOME, to)),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Forward {
        copy: usize,
        attempt: AttemptNo,
        endpoint: u32,
        admission: Admission,
        strikes: Vec<EndpointId>,
    },
    Reply {
        copy: usize,
        attempt: AttemptNo,
        reply: Reply,
    },
    /// The whole answer.
    Whole {
        copy: usize,
        attempt: AttemptNo,
    },
    Cancel {
        copy: usize,
        attempt: AttemptNo,
        endpoint: u32,
    },
    Quarantine(Digest),
    Quarantined(Digest),
}

/// One sending of a request.
struct Copy {
    kind: u8,
    entry: u32,
    attempts: Attempts,
    finished: bool,
}

struct Fleet {
    net: Net<u32, Message>,
    /// What is on its way to and from control.
    control: Net<u32, Message>,
    budget: RetryBudget,
    suspects: Vec<SuspectTable>,
    isolation: Vec<Isolation>,
    copies: Vec<Copy>,
    running: BTreeMap<(u32, usize), AttemptNo>,
    full: BTreeMap<u32, u32>,
    crashed: BTreeSet<u32>,
}

fn digest(kind: u8) -> Digest {
    Digest::of(&[kind])
}

fn owner(endpoint: u32) -> u32 {
    endpoint % ROUTERS
}

fn id(copy: usize) -> RequestId {
    RequestId(copy as u128 + 1)
}

impl Fleet {
    fn new(entry: u32, bystanders: &[u32]) -> Fleet {
        let mut fleet = Fleet {
            net: Net::default(),
            control: Net::default(),
            budget: RetryBudget::new(1_000, 1_000),
            suspects: (0..ROUTERS).map(|_| SuspectTable::new(SuspectLimits::default())).collect(),
            isolation: (0..ROUTERS).map(|_| Isolation::default()).collect(),
            copies: Vec::new(),
            running: BTreeMap::new(),
            full: BTreeMap::new(),
            crashed: BTreeSet::new(),
        };
        fleet.send(CRASHER, entry, HOME);
        for (at, &home) in bystanders.iter().enumerate() {
            fleet.send(at as u8 + 1, at as u32 % ROUTERS, home);
        }
        fleet
    }

    /// A caller sends a request of this kind through a router.
    fn send(&mut self, kind: u8, entry: u32, home: u32) {
        let candidates = (0..ENDPOINTS).map(|it| EndpointId((home + it) % ENDPOINTS)).collect();
        let spec =
            RequestSpec { idempotent: true, resumable: true, deadline: DEADLINE, candidates };
        let (attempts, actions) =
            Attempts::start(NOW, spec, RetryLimits::default(), Epoch(1), &self.budget);
        self.copies.push(Copy { kind, entry, attempts, finished: false });
        self.carry_out(self.copies.len() - 1, actions);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(pick) => {
                let envelope = self.net.deliver(pick);
                envelope.into_iter().for_each(|it| self.arrive(it.to, it.message));
            }
            Step::Control(pick) => {
                let envelope = self.control.deliver(pick);
                envelope.into_iter().for_each(|it| self.arrive(it.to, it.message));
            }
            Step::Run(pick) if !self.running.is_empty() => {
                let place = *self.running.keys().nth(pick % self.running.len()).unwrap();
                self.run(place);
            }
            Step::Run(_) => {}
            Step::Resend(entry) => {
                let mut sent = self.copies.iter().filter(|it| it.kind == CRASHER);
                if sent.all(|it| it.attempts.is_over()) {
                    self.send(CRASHER, entry, HOME);
                }
            }
            Step::Full(at, to) => drop(self.full.insert(at, to)),
        }
    }

    /// Lets everything happen that is under way.
    fn settle(&mut self) {
        for _ in 0..4_000 {
            self.step(Step::Deliver(0));
            self.step(Step::Run(0));
            self.step(Step::Control(0));
        }
    }

    fn arrive(&mut self, to: u32, message: Message) {
        match message {
            Message::Forward { .. } => self.serve(to, message),
            Message::Reply { copy, attempt, reply } => {
                self.tell(copy, Event::Reply { attempt, reply });
            }
            Message::Whole { copy, attempt } => {
                for reply in [Reply::Head { status: 200 }, Reply::End { length: 0 }] {
                    self.tell(copy, Event::Reply { attempt, reply });
                }
            }
            Message::Cancel { copy, attempt, endpoint } => {
                if self.running.get(&(endpoint, copy)) == Some(&attempt) {
                    self.stop(endpoint, copy);
                }
            }
            Message::Quarantine(fingerprint) => {
                (0..ROUTERS).for_each(|it| {
                    self.control.send(CONTROL, it, Message::Quarantined(fingerprint))
                });
            }
            Message::Quarantined(fingerprint) => {
                self.suspects[to as usize].quarantine(NOW, fingerprint, Time::NEVER);
            }
        }
    }

    fn serve(&mut self, to: u32, message: Message) {
        let Message::Forward { copy, attempt, endpoint, admission, strikes } = message.clone()
        else {
            return;
        };
        let fingerprint = digest(self.copies[copy].kind);
        let suspects = &mut self.suspects[to as usize];
        let verdict = suspects.admit(NOW, fingerprint, id(copy), &strikes, DEADLINE);
        self.report(to);
        let refuse = |reason| Reply::Refused(Refusal::not_run(reason, 10));
        let at = EndpointId(endpoint);
        let reply = match verdict {
            AdmitDecision::Quarantined { .. } => refuse(Reason::Quarantined),
            AdmitDecision::Busy { .. } => refuse(Reason::InProgress),
            AdmitDecision::Trial if !self.isolation[to as usize].try_acquire(at, id(copy)) => {
                if admission == Admission::Queue {
                    return self.net.send(to, to, message);
                }
                Reply::NoCapacity { endpoints: SmallVec::new() }
            }
            AdmitDecision::Allow | AdmitDecision::Trial => match self.full.remove(&endpoint) {
                Some(other) if admission == Admission::Home => {
                    self.isolation[to as usize].release(at, id(copy));
                    Reply::NoCapacity { endpoints: [EndpointId(other)].into_iter().collect() }
                }
                _ => {
                    self.running.insert((endpoint, copy), attempt);
                    return;
                }
            },
        };
        self.net.send(to, self.copies[copy].entry, Message::Reply { copy, attempt, reply });
    }

    fn run(&mut self, (endpoint, copy): (u32, usize)) {
        if self.copies[copy].kind == CRASHER {
            return self.crash(endpoint);
        }
        if let Some(attempt) = self.stop(endpoint, copy) {
            let entry = self.copies[copy].entry;
            self.net.send(owner(endpoint), entry, Message::Whole { copy, attempt });
        }
    }

    fn stop(&mut self, endpoint: u32, copy: usize) -> Option<AttemptNo> {
        self.isolation[owner(endpoint) as usize].release(EndpointId(endpoint), id(copy));
        self.running.remove(&(endpoint, copy))
    }

    /// The endpoint dies with all that it runs, and is back at once.
    fn crash(&mut self, endpoint: u32) {
        self.crashed.insert(endpoint);
        let here: Vec<_> = self.running.keys().filter(|it| it.0 == endpoint).copied().collect();
        for (_, copy) in here {
            let Some(attempt) = self.stop(endpoint, copy) else { continue };
            let fingerprint = digest(self.copies[copy].kind);
            let to = owner(endpoint);
            let suspects = &mut self.suspects[to as usize];
            suspects.record_local_crash(NOW, fingerprint, id(copy), EndpointId(endpoint), DEADLINE);
            self.report(to);
            let (outcome, reason) = (Outcome::Unknown, Reason::EndpointFailed);
            let refusal = Refusal { outcome, reason, retry_ms: 10 };
            let reply = Reply::Failed { refusal, crashed: true };
            self.net.send(to, self.copies[copy].entry, Message::Reply { copy, attempt, reply });
        }
    }

    /// A router tells control what it quarantined.
    fn report(&mut self, router: u32) {
        for fingerprint in self.suspects[router as usize].take_quarantined() {
            self.control.send(router, CONTROL, Message::Quarantine(fingerprint));
        }
    }

    fn tell(&mut self, copy: usize, event: Event) {
        let actions = self.copies[copy].attempts.handle(NOW, event, &self.budget);
        self.carry_out(copy, actions);
    }

    fn carry_out(&mut self, copy: usize, actions: Actions) {
        let (entry, kind) = (self.copies[copy].entry, self.copies[copy].kind);
        let strikes = self.copies[copy].attempts.crashed_endpoints().to_vec();
        for action in actions {
            match action {
                Action::Forward { endpoint: EndpointId(endpoint), attempt, admission, .. } => {
                    let strikes = strikes.clone();
                    let message = Message::Forward { copy, attempt, endpoint, admission, strikes };
                    self.net.send(entry, owner(endpoint), message);
                }
                Action::Cancel { attempt, endpoint: EndpointId(endpoint) } => {
                    let message = Message::Cancel { copy, attempt, endpoint };
                    self.net.send(entry, owner(endpoint), message);
                }
                Action::Quarantine => {
                    self.suspects[entry as usize].quarantine(NOW, digest(kind), Time::NEVER);
                    self.control.send(entry, CONTROL, Message::Quarantine(digest(kind)));
                }
                Action::Finish => self.copies[copy].finished = true,
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However often it is resent, the request takes down two endpoints at most, and every bystander is answered.
    #[test]
    fn a_crashing_request_takes_down_two_endpoints_at_most(
        entry in 0..ROUTERS,
        bystanders in vec(0..ENDPOINTS, 0..5),
        steps in vec(step(), 0..250),
    ) {
        let mut fleet = Fleet::new(entry, &bystanders);
        steps.iter().for_each(|it| fleet.step(*it));
        fleet.settle();
        prop_assert!(fleet.crashed.len() <= 2, "crashed {:?}", fleet.crashed);
        let unanswered = fleet.copies.iter().filter(|it| it.kind != CRASHER && !it.finished);
        prop_assert_eq!(unanswered.count(), 0);
        prop_assert!(fleet.copies.iter().all(|it| it.attempts.is_over()));
    }

    /// A quarantine lasts until its deadline and no longer, and the table stays inside its capacity.
    #[test]
    fn the_table_of_suspects_is_bounded(
        events in vec((0u8..40, 0u32..3, 0u64..50, any::<bool>()), 0..200),
    ) {
        let limits = SuspectLimits { entries: 8, retention: 30 };
        let mut suspects = SuspectTable::new(limits);
        let mut now = NOW;
        for (kind, endpoint, pause, quarantined) in events {
            now = now + pause;
            match quarantined {
                true => suspects.quarantine(now, digest(kind), now + 30),
                false => suspects.record_crash(now, digest(kind), EndpointId(endpoint)),
            }
            prop_assert!(suspects.len() <= limits.entries);
            prop_assert_eq!(suspects.quarantined(now, digest(kind)).is_some(),
                suspects.admit(now, digest(kind), id(0), &[], now) != AdmitDecision::Trial);
            prop_assert_eq!(suspects.quarantined(now + 31, digest(kind)), None);
        }
    }
}
