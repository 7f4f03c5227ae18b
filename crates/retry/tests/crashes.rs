//! Simulates a request that crashes every endpoint that runs it and that its caller resends through any router,
//! together with requests of other callers.

use {
    fakes::Network,
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
const CRASHING: u8 = 0;
/// The home endpoint of the crashing request.
const HOME: u32 = 0;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Delivers a message between routers.
    Deliver(usize),
    /// Delivers a message to or from the control service.
    DeliverControl(usize),
    /// Completes a running request, or crashes its endpoint if it is the crashing one.
    Run(usize),
    /// Resends the crashing request through a router, if all earlier copies are finished.
    Resend(u32),
    /// Leaves an endpoint without capacity for the next request, for which its owner suggests another endpoint.
    FillEndpoint(u32, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::DeliverControl),
        6 => any::<usize>().prop_map(Step::Run),
        3 => (0..ROUTERS).prop_map(Step::Resend),
        1 => (0..ENDPOINTS, 0..ENDPOINTS)
            .prop_map(|(endpoint, other)| Step::FillEndpoint(endpoint, other)),
        3 => (0..ENDPOINTS).prop_map(|other| Step::FillEndpoint(HOME, other)),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Forward {
        copy: usize,
        attempt: AttemptNo,
        endpoint: u32,
        admission: Admission,
        crashed_endpoints: Vec<EndpointId>,
    },
    Reply {
        copy: usize,
        attempt: AttemptNo,
        reply: Reply,
    },
    /// The complete response.
    Complete {
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

/// One copy of a request that a caller sent.
struct Copy {
    request_kind: u8,
    entry: u32,
    attempts: Attempts,
    finished: bool,
}

struct Fleet {
    net: Network<u32, Message>,
    /// Messages in transit to and from the control service.
    control: Network<u32, Message>,
    budget: RetryBudget,
    suspects: Vec<SuspectTable>,
    isolation: Vec<Isolation>,
    copies: Vec<Copy>,
    running: BTreeMap<(u32, usize), AttemptNo>,
    full: BTreeMap<u32, u32>,
    crashed: BTreeSet<u32>,
}

fn fingerprint_of(request_kind: u8) -> Digest {
    Digest::of(&[request_kind])
}

fn owner(endpoint: u32) -> u32 {
    endpoint % ROUTERS
}

fn request_id(copy: usize) -> RequestId {
    RequestId(copy as u128 + 1)
}

impl Fleet {
    fn new(entry: u32, bystanders: &[u32]) -> Fleet {
        let mut fleet = Fleet {
            net: Network::default(),
            control: Network::default(),
            budget: RetryBudget::new(1_000, 1_000),
            suspects: (0..ROUTERS).map(|_| SuspectTable::new(SuspectLimits::default())).collect(),
            isolation: (0..ROUTERS).map(|_| Isolation::default()).collect(),
            copies: Vec::new(),
            running: BTreeMap::new(),
            full: BTreeMap::new(),
            crashed: BTreeSet::new(),
        };
        fleet.send(CRASHING, entry, HOME);
        for (index, &home) in bystanders.iter().enumerate() {
            fleet.send(index as u8 + 1, index as u32 % ROUTERS, home);
        }
        fleet
    }

    /// Sends a request through a router.
    fn send(&mut self, request_kind: u8, entry: u32, home: u32) {
        let candidates = (0..ENDPOINTS).map(|it| EndpointId((home + it) % ENDPOINTS)).collect();
        let spec =
            RequestSpec { idempotent: true, resumable: true, deadline: DEADLINE, candidates };
        let (attempts, actions) =
            Attempts::start(NOW, spec, RetryLimits::default(), Epoch(1), &self.budget);
        self.copies.push(Copy { request_kind, entry, attempts, finished: false });
        self.execute(self.copies.len() - 1, actions);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deliver(pick) => {
                let envelope = self.net.deliver(pick);
                envelope.into_iter().for_each(|it| self.on_message(it.to, it.message));
            }
            Step::DeliverControl(pick) => {
                let envelope = self.control.deliver(pick);
                envelope.into_iter().for_each(|it| self.on_message(it.to, it.message));
            }
            Step::Run(pick) if !self.running.is_empty() => {
                let running = *self.running.keys().nth(pick % self.running.len()).unwrap();
                self.finish_or_crash(running);
            }
            Step::Run(_) => {}
            Step::Resend(entry) => {
                let mut copies = self.copies.iter().filter(|it| it.request_kind == CRASHING);
                if copies.all(|it| it.attempts.is_over()) {
                    self.send(CRASHING, entry, HOME);
                }
            }
            Step::FillEndpoint(endpoint, other) => drop(self.full.insert(endpoint, other)),
        }
    }

    /// Delivers all messages and completes all running requests.
    fn settle(&mut self) {
        for _ in 0..4_000 {
            self.step(Step::Deliver(0));
            self.step(Step::Run(0));
            self.step(Step::DeliverControl(0));
        }
    }

    fn on_message(&mut self, to: u32, message: Message) {
        match message {
            Message::Forward { .. } => self.on_forward(to, message),
            Message::Reply { copy, attempt, reply } => {
                self.handle_event(copy, Event::Reply { attempt, reply });
            }
            Message::Complete { copy, attempt } => {
                for reply in [Reply::Head { status: 200 }, Reply::End { length: 0 }] {
                    self.handle_event(copy, Event::Reply { attempt, reply });
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

    fn on_forward(&mut self, to: u32, message: Message) {
        let Message::Forward { copy, attempt, endpoint, admission, crashed_endpoints } =
            message.clone()
        else {
            return;
        };
        let fingerprint = fingerprint_of(self.copies[copy].request_kind);
        let suspects = &mut self.suspects[to as usize];
        let decision =
            suspects.admit(NOW, fingerprint, request_id(copy), &crashed_endpoints, DEADLINE);
        self.report_quarantines(to);
        let refuse = |reason| Reply::Refused(Refusal::not_run(reason, 10));
        let endpoint_id = EndpointId(endpoint);
        let reply = match decision {
            AdmitDecision::Quarantined { .. } => refuse(Reason::Quarantined),
            AdmitDecision::Busy { .. } => refuse(Reason::InProgress),
            AdmitDecision::Trial
                if !self.isolation[to as usize].try_acquire(endpoint_id, request_id(copy)) =>
            {
                if admission == Admission::Queue {
                    return self.net.send(to, to, message);
                }
                Reply::NoCapacity { endpoints: SmallVec::new() }
            }
            AdmitDecision::Allow | AdmitDecision::Trial => match self.full.remove(&endpoint) {
                Some(other) if admission == Admission::Home => {
                    self.isolation[to as usize].release(endpoint_id, request_id(copy));
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

    fn finish_or_crash(&mut self, (endpoint, copy): (u32, usize)) {
        if self.copies[copy].request_kind == CRASHING {
            return self.crash(endpoint);
        }
        if let Some(attempt) = self.stop(endpoint, copy) {
            let entry = self.copies[copy].entry;
            self.net.send(owner(endpoint), entry, Message::Complete { copy, attempt });
        }
    }

    fn stop(&mut self, endpoint: u32, copy: usize) -> Option<AttemptNo> {
        self.isolation[owner(endpoint) as usize].release(EndpointId(endpoint), request_id(copy));
        self.running.remove(&(endpoint, copy))
    }

    /// Crashes an endpoint with all requests that run on it; it restarts at once.
    fn crash(&mut self, endpoint: u32) {
        self.crashed.insert(endpoint);
        let affected: Vec<_> = self.running.keys().filter(|it| it.0 == endpoint).copied().collect();
        for (_, copy) in affected {
            let Some(attempt) = self.stop(endpoint, copy) else { continue };
            let fingerprint = fingerprint_of(self.copies[copy].request_kind);
            let to = owner(endpoint);
            let suspects = &mut self.suspects[to as usize];
            suspects.record_local_crash(
                NOW,
                fingerprint,
                request_id(copy),
                EndpointId(endpoint),
                DEADLINE,
            );
            self.report_quarantines(to);
            let (outcome, reason) = (Outcome::Unknown, Reason::EndpointFailed);
            let refusal = Refusal { outcome, reason, retry_ms: 10 };
            let reply = Reply::Failed { refusal, crashed: true };
            self.net.send(to, self.copies[copy].entry, Message::Reply { copy, attempt, reply });
        }
    }

    /// Reports the fingerprints that a router quarantined to the control service.
    fn report_quarantines(&mut self, router: u32) {
        for fingerprint in self.suspects[router as usize].take_quarantined() {
            self.control.send(router, CONTROL, Message::Quarantine(fingerprint));
        }
    }

    fn handle_event(&mut self, copy: usize, event: Event) {
        let actions = self.copies[copy].attempts.handle(NOW, event, &self.budget);
        self.execute(copy, actions);
    }

    fn execute(&mut self, copy: usize, actions: Actions) {
        let (entry, request_kind) = (self.copies[copy].entry, self.copies[copy].request_kind);
        let crashed_endpoints = self.copies[copy].attempts.crashed_endpoints().to_vec();
        for action in actions {
            match action {
                Action::Forward { endpoint: EndpointId(endpoint), attempt, admission, .. } => {
                    let crashed_endpoints = crashed_endpoints.clone();
                    let message =
                        Message::Forward { copy, attempt, endpoint, admission, crashed_endpoints };
                    self.net.send(entry, owner(endpoint), message);
                }
                Action::Cancel { attempt, endpoint: EndpointId(endpoint) } => {
                    let message = Message::Cancel { copy, attempt, endpoint };
                    self.net.send(entry, owner(endpoint), message);
                }
                Action::Quarantine => {
                    self.suspects[entry as usize].quarantine(
                        NOW,
                        fingerprint_of(request_kind),
                        Time::NEVER,
                    );
                    self.control.send(
                        entry,
                        CONTROL,
                        Message::Quarantine(fingerprint_of(request_kind)),
                    );
                }
                Action::Finish => self.copies[copy].finished = true,
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However often it is resent, the request crashes at most two endpoints, and all other requests complete.
    #[test]
    fn a_crashing_request_crashes_at_most_two_endpoints(
        entry in 0..ROUTERS,
        bystanders in vec(0..ENDPOINTS, 0..5),
        steps in vec(step(), 0..250),
    ) {
        let mut fleet = Fleet::new(entry, &bystanders);
        steps.iter().for_each(|it| fleet.step(*it));
        fleet.settle();
        prop_assert!(fleet.crashed.len() <= 2, "crashed {:?}", fleet.crashed);
        let incomplete =
            fleet.copies.iter().filter(|it| it.request_kind != CRASHING && !it.finished);
        prop_assert_eq!(incomplete.count(), 0);
        prop_assert!(fleet.copies.iter().all(|it| it.attempts.is_over()));
    }

    /// A quarantine lasts until it expires and no longer, and the table stays within its capacity.
    #[test]
    fn the_suspect_table_is_bounded(
        events in vec((0u8..40, 0u32..3, 0u64..50, any::<bool>()), 0..200),
    ) {
        let limits = SuspectLimits { max_entries: 8, retention: 30 };
        let mut suspects = SuspectTable::new(limits);
        let mut now = NOW;
        for (kind, endpoint, pause, quarantined) in events {
            now = now + pause;
            match quarantined {
                true => suspects.quarantine(now, fingerprint_of(kind), now + 30),
                false => suspects.record_crash(now, fingerprint_of(kind), EndpointId(endpoint)),
            }
            prop_assert!(suspects.len() <= limits.max_entries);
            prop_assert_eq!(suspects.quarantined(now, fingerprint_of(kind)).is_some(),
                suspects.admit(now, fingerprint_of(kind), request_id(0), &[], now)
                    != AdmitDecision::Trial);
            prop_assert_eq!(suspects.quarantined(now + 31, fingerprint_of(kind)), None);
        }
    }
}
