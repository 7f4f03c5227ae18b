//! A key runs at most once: several routers, lost and doubled messages, crashes, and changes of leader.

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    fakes::Net,
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
const KEEP_MS: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a key through a router.
    Start(usize, usize),
    /// A router repeats its calls that were not replied to.
    Repeat(usize),
    /// A router sends a granted request to the endpoint, which runs it.
    Run(usize),
    /// A granted request proves not to have run.
    NotRun(usize),
    /// A router records what it knows of a request that ran.
    Finish(usize, bool),
    /// A router gives up waiting for its claim.
    GiveUp(usize),
    /// A router's process dies and another one starts.
    Crash(usize),
    /// The roster loses a router: one that died, or one that is only cut off.
    Lose(usize),
    /// A router that was cut off is in the roster again.
    Return(usize),
    Deliver(usize),
    Double(usize),
    Drop(usize),
    /// Another replica takes over from a snapshot.
    LeaderChange,
}

fn event() -> impl Strategy<Value = Event> {
    let router = || 0..ROUTERS;
    prop_oneof![
        4 => (router(), 0..KEYS).prop_map(|(router, key)| Event::Start(router, key)),
        1 => router().prop_map(Event::Repeat),
        4 => router().prop_map(Event::Run),
        1 => router().prop_map(Event::NotRun),
        2 => (router(), any::<bool>()).prop_map(|(router, known)| Event::Finish(router, known)),
        1 => router().prop_map(Event::GiveUp),
        1 => router().prop_map(Event::Crash),
        1 => any::<usize>().prop_map(Event::Lose),
        1 => router().prop_map(Event::Return),
        10 => any::<usize>().prop_map(Event::Deliver),
        1 => any::<usize>().prop_map(Event::Double),
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

struct Bench {
    ledger: Ledger,
    routers: Vec<Router>,
    live: BTreeSet<RouterId>,
    last_router: u32,
    last_request: u128,
    net: Net<Addr, Message>,
    runs: [u32; KEYS],
    /// The router that the ledger last granted a key to.
    holder: [RouterId; KEYS],
}

fn key(key: usize) -> ClaimKey {
    ClaimKey::new(TeamId(1), ServiceId(1), &[key as u8])
}

fn answer(key: usize) -> Arc<RecordedAnswer> {
    Arc::new(RecordedAnswer::new(200, [], vec![key as u8; 3].into()))
}

impl Bench {
    fn new() -> Bench {
        let mut bench = Bench {
            ledger: Ledger::default(),
            routers: Vec::new(),
            live: BTreeSet::new(),
            last_router: 0,
            last_request: 0,
            net: Net::default(),
            runs: [0; KEYS],
            holder: [RouterId(0); KEYS],
        };
        for _ in 0..ROUTERS {
            let router = bench.process();
            bench.routers.push(router);
        }
        bench
    }

    fn process(&mut self) -> Router {
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
                self.claim(router, id, key);
            }
            Event::Repeat(router) => {
                let waiting = self.jobs(router, Phase::Claiming);
                waiting.into_iter().for_each(|(id, key)| self.claim(router, id, key));
            }
            Event::Run(router) => {
                for (id, key) in self.jobs(router, Phase::Granted) {
                    self.call(router, id, key, ClaimStep::Dispatched { endpoint: EndpointId(1) });
                    self.routers[router].jobs.get_mut(&id).unwrap().phase = Phase::Ran;
                    self.runs[key] += 1;
                }
            }
            Event::NotRun(router) => self.end(router, Phase::Granted, |_| ClaimStep::Release),
            Event::Finish(router, true) => {
                self.end(router, Phase::Ran, |key| ClaimStep::Done { answer: answer(key) });
            }
            Event::Finish(router, false) => self.end(router, Phase::Ran, |_| ClaimStep::Unknown),
            Event::GiveUp(router) => self.end(router, Phase::Claiming, |_| ClaimStep::Release),
            Event::Crash(router) => {
                self.net.lose_to(Addr::Router(self.routers[router].id));
                self.routers[router] = self.process();
            }
            Event::Lose(index) => {
                let id = RouterId(index as u32 % self.last_router + 1);
                self.live.remove(&id);
                self.ledger.mark_router_lost(id);
            }
            Event::Return(router) => drop(self.live.insert(self.routers[router].id)),
            Event::Deliver(pick) => self.deliver(pick)?,
            Event::Double(pick) => self.net.double(pick),
            Event::Drop(pick) => self.net.lose(pick),
            Event::LeaderChange => {
                let bytes = encode_to_vec(&self.ledger, standard()).unwrap();
                self.ledger = decode_from_slice(&bytes, standard()).unwrap().0;
            }
        }
        self.check()
    }

    fn jobs(&self, router: usize, phase: Phase) -> Vec<(RequestId, usize)> {
        let jobs = self.routers[router].jobs.iter().filter(|it| it.1.phase == phase);
        jobs.map(|it| (*it.0, it.1.key)).collect()
    }

    fn claim(&mut self, router: usize, id: RequestId, key: usize) {
        self.call(router, id, key, ClaimStep::Claim { request: Digest::of(&[key as u8]) });
    }

    fn call(&mut self, router: usize, id: RequestId, key_no: usize, step: ClaimStep) {
        let router = self.routers[router].id;
        let call = LedgerCall { key: key(key_no), router, id, step };
        self.net.send(Addr::Router(router), Addr::Ledger, Message::Call(call));
    }

    /// Ends the jobs of a router in a phase with a last call each.
    fn end<F>(&mut self, router: usize, phase: Phase, step: F)
    where
        F: Fn(usize) -> ClaimStep,
    {
        for (id, key) in self.jobs(router, phase) {
            self.routers[router].jobs.remove(&id);
            self.call(router, id, key, step(key));
        }
    }

    fn deliver(&mut self, pick: usize) -> TestCaseResult {
        let Some(envelope) = self.net.deliver(pick) else { return Ok(()) };
        match (envelope.to, envelope.message) {
            (Addr::Ledger, Message::Call(call)) => {
                let live = self.live.contains(&call.router);
                let reply = self.ledger.apply(1, KEEP_MS, live, &call);
                if reply == LedgerReply::Granted {
                    let at = (0..KEYS).find(|it| key(*it) == call.key).unwrap();
                    self.holder[at] = call.router;
                }
                let to = Addr::Router(call.router);
                self.net.send(Addr::Ledger, to, Message::Reply(call.id, reply));
            }
            (Addr::Router(to), Message::Reply(id, reply)) => self.receive(to, id, &reply)?,
            _ => {}
        }
        Ok(())
    }

    fn receive(&mut self, to: RouterId, id: RequestId, reply: &LedgerReply) -> TestCaseResult {
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

    fn check(&self) -> TestCaseResult {
        for at in 0..KEYS {
            prop_assert!(self.runs[at] <= 1, "key {} ran {} times", at, self.runs[at]);
            let step = ClaimStep::Claim { request: Digest::of(&[at as u8]) };
            let probe = LedgerCall { key: key(at), router: RouterId(99), id: RequestId(0), step };
            let reply = self.ledger.clone().apply(1, KEEP_MS, true, &probe);
            let stuck = reply == LedgerReply::InProgress && !self.live.contains(&self.holder[at]);
            prop_assert!(!stuck, "key {} is held by {}, which is lost", at, self.holder[at]);
            prop_assert!(
                self.runs[at] == 0 || reply != LedgerReply::Granted,
                "key {} could run again",
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
        let mut bench = Bench::new();
        for event in &events {
            bench.run(event)?;
        }
    }
}
