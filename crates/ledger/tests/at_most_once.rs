//! A key runs at most once despite several routers, lost and duplicated messages, crashes and
//! leader changes.

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    fakes::Network,
    ledger::{ClaimKey, ClaimStep, Ledger, LedgerCall, LedgerReply, RecordedAnswer},
    model::{Digest, EndpointId, RequestId, RouterId, ServiceId, TeamId},
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, any, prop_oneof},
        prop_assert, prop_assert_eq, proptest,
        test_runner::TestCaseResult,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

const ROUTERS: usize = 3;
const KEYS: usize = 2;
const RETENTION_MS: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a request with a key through a router.
    Start(usize, usize),
    /// A router resends its calls that got no reply.
    ResendClaims(usize),
    /// A router sends a granted request to the endpoint, which runs it.
    Run(usize),
    /// A granted request provably did not run.
    NotRun(usize),
    /// A router records the outcome of a request that ran, or that it is unknown.
    Finish(usize, bool),
    /// A router abandons its outstanding claims.
    AbandonClaim(usize),
    /// A router process crashes and a new one starts.
    Crash(usize),
    /// A router is removed from the roster, either because it crashed or because it is partitioned.
    LeaveRoster(usize),
    /// A partitioned router rejoins the roster.
    RejoinRoster(usize),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    /// A new leader starts from a snapshot.
    LeaderChange,
}

fn event() -> impl Strategy<Value = Event> {
    let router = || 0..ROUTERS;
    prop_oneof![
        4 => (router(), 0..KEYS).prop_map(|(router, key)| Event::Start(router, key)),
        1 => router().prop_map(Event::ResendClaims),
        4 => router().prop_map(Event::Run),
        1 => router().prop_map(Event::NotRun),
        2 => (router(), any::<bool>()).prop_map(|(router, known)| Event::Finish(router, known)),
        1 => router().prop_map(Event::AbandonClaim),
        1 => router().prop_map(Event::Crash),
        1 => any::<usize>().prop_map(Event::LeaveRoster),
        1 => router().prop_map(Event::RejoinRoster),
        10 => any::<usize>().prop_map(Event::Deliver),
        1 => any::<usize>().prop_map(Event::Duplicate),
        1 => any::<usize>().prop_map(Event::Drop),
        1 => Just(Event::LeaderChange),
    ]
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Addr {
    Ledger,
    Router(RouterId),
}

#[derive(Clone, Debug)]
enum Message {
    Call(LedgerCall),
    Reply(RequestId, LedgerReply),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Claiming,
    Granted,
    Ran,
}

#[derive(Clone, Debug)]
struct Job {
    key: usize,
    phase: Phase,
}

/// A router process.
struct Router {
    id: RouterId,
    jobs: BTreeMap<RequestId, Job>,
}

struct Simulation {
    ledger: Ledger,
    routers: Vec<Router>,
    live: BTreeSet<RouterId>,
    last_router: u32,
    last_request: u128,
    net: Network<Addr, Message>,
    runs: [u32; KEYS],
    /// The router to which the ledger last granted each key.
    holder: [RouterId; KEYS],
}

fn key(key: usize) -> ClaimKey {
    ClaimKey::new(TeamId(1), ServiceId(1), &[key as u8])
}

fn answer(key: usize) -> Arc<RecordedAnswer> {
    Arc::new(RecordedAnswer::new(200, [], vec![key as u8; 3].into()))
}

impl Simulation {
    fn new() -> Simulation {
        let mut simulation = Simulation {
            ledger: Ledger::default(),
            routers: Vec::new(),
            live: BTreeSet::new(),
            last_router: 0,
            last_request: 0,
            net: Network::default(),
            runs: [0; KEYS],
            holder: [RouterId(0); KEYS],
        };
        for _ in 0..ROUTERS {
            let router = simulation.start_router();
            simulation.routers.push(router);
        }
        simulation
    }

    fn start_router(&mut self) -> Router {
        self.last_router += 1;
        let id = RouterId(self.last_router);
        self.live.insert(id);
        Router { id, jobs: BTreeMap::new() }
    }

    fn run(&mut self, event: &Event) -> TestCaseResult {
        match *event {
            Event::Start(router, key) => {
                self.last_request += 1;
                let id = RequestId(self.last_request);
                self.routers[router].jobs.insert(id, Job { key, phase: Phase::Claiming });
                self.send_claim(router, id, key);
            }
            Event::ResendClaims(router) => {
                let waiting = self.jobs(router, Phase::Claiming);
                waiting.into_iter().for_each(|(id, key)| self.send_claim(router, id, key));
            }
            Event::Run(router) => {
                for (id, key) in self.jobs(router, Phase::Granted) {
                    self.send_call(
                        router,
                        id,
                        key,
                        ClaimStep::Dispatched { endpoint: EndpointId(1) },
                    );
                    self.routers[router].jobs.get_mut(&id).unwrap().phase = Phase::Ran;
                    self.runs[key] += 1;
                }
            }
            Event::NotRun(router) => self.end_jobs(router, Phase::Granted, |_| ClaimStep::Release),
            Event::Finish(router, true) => {
                self.end_jobs(router, Phase::Ran, |key| ClaimStep::Done { answer: answer(key) });
            }
            Event::Finish(router, false) => {
                self.end_jobs(router, Phase::Ran, |_| ClaimStep::Unknown)
            }
            Event::AbandonClaim(router) => {
                self.end_jobs(router, Phase::Claiming, |_| ClaimStep::Release)
            }
            Event::Crash(router) => {
                self.net.drop_all_to(Addr::Router(self.routers[router].id));
                self.routers[router] = self.start_router();
            }
            Event::LeaveRoster(index) => {
                let id = RouterId(index as u32 % self.last_router + 1);
                self.live.remove(&id);
                self.ledger.mark_router_lost(id);
            }
            Event::RejoinRoster(router) => drop(self.live.insert(self.routers[router].id)),
            Event::Deliver(pick) => self.deliver(pick)?,
            Event::Duplicate(pick) => self.net.duplicate(pick),
            Event::Drop(pick) => self.net.drop_message(pick),
            Event::LeaderChange => {
                let bytes = encode_to_vec(&self.ledger, standard()).unwrap();
                self.ledger = decode_from_slice(&bytes, standard()).unwrap().0;
            }
        }
        self.check_invariants()
    }

    fn jobs(&self, router: usize, phase: Phase) -> Vec<(RequestId, usize)> {
        let jobs = self.routers[router].jobs.iter().filter(|it| it.1.phase == phase);
        jobs.map(|it| (*it.0, it.1.key)).collect()
    }

    fn send_claim(&mut self, router: usize, id: RequestId, key: usize) {
        self.send_call(router, id, key, ClaimStep::Claim { request: Digest::of(&[key as u8]) });
    }

    fn send_call(&mut self, router: usize, id: RequestId, key_no: usize, step: ClaimStep) {
        let router = self.routers[router].id;
        let call = LedgerCall { key: key(key_no), router, id, step };
        self.net.send(Addr::Router(router), Addr::Ledger, Message::Call(call));
    }

    /// Ends all jobs of a router that are in a phase, each with a final call.
    fn end_jobs<F>(&mut self, router: usize, phase: Phase, step: F)
    where
        F: Fn(usize) -> ClaimStep,
    {
        for (id, key) in self.jobs(router, phase) {
            self.routers[router].jobs.remove(&id);
            self.send_call(router, id, key, step(key));
        }
    }

    fn deliver(&mut self, pick: usize) -> TestCaseResult {
        let Some(envelope) = self.net.deliver(pick) else { return Ok(()) };
        match (envelope.to, envelope.message) {
            (Addr::Ledger, Message::Call(call)) => {
                let live = self.live.contains(&call.router);
                let reply = self.ledger.apply(1, RETENTION_MS, live, &call);
                if reply == LedgerReply::Granted {
                    let at = (0..KEYS).find(|it| key(*it) == call.key).unwrap();
                    self.holder[at] = call.router;
                }
                let to = Addr::Router(call.router);
                self.net.send(Addr::Ledger, to, Message::Reply(call.id, reply));
            }
            (Addr::Router(to), Message::Reply(id, reply)) => self.handle_reply(to, id, &reply)?,
            _ => {}
        }
        Ok(())
    }

    fn handle_reply(&mut self, to: RouterId, id: RequestId, reply: &LedgerReply) -> TestCaseResult {
        let Some(router) = self.routers.iter_mut().find(|it| it.id == to) else { return Ok(()) };
        let Some(job) = router.jobs.get_mut(&id) else { return Ok(()) };
        match (job.phase, reply) {
            (Phase::Claiming, LedgerReply::Granted) => job.phase = Phase::Granted,
            (Phase::Claiming, LedgerReply::Recorded(recorded)) => {
                prop_assert_eq!(recorded, &answer(job.key));
                router.jobs.remove(&id);
            }
            (Phase::Claiming, _) => drop(router.jobs.remove(&id)),
            (Phase::Granted | Phase::Ran, _) => {}
        }
        Ok(())
    }

    fn check_invariants(&self) -> TestCaseResult {
        for at in 0..KEYS {
            prop_assert!(self.runs[at] <= 1, "key {} ran {} times", at, self.runs[at]);
            let step = ClaimStep::Claim { request: Digest::of(&[at as u8]) };
            let probe = LedgerCall { key: key(at), router: RouterId(99), id: RequestId(0), step };
            let reply = self.ledger.clone().apply(1, RETENTION_MS, true, &probe);
            let is_stuck =
                reply == LedgerReply::InProgress && !self.live.contains(&self.holder[at]);
            prop_assert!(
                !is_stuck,
                "key {} is still held by {}, which is not in the roster",
                at,
                self.holder[at]
            );
            prop_assert!(
                self.runs[at] == 0 || reply != LedgerReply::Granted,
                "key {} would be granted again after it ran",
                at
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_key_runs_at_most_once(events in vec(event(), 1..120)) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.run(event)?;
        }
    }
}
