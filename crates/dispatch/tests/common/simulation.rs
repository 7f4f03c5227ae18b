//! A simulation of many routers that place requests on a few plain endpoints.
//!
//! Each router has a dispatcher and a retry budget of its own. Routers report their loads to each
//! other as [`Exchange`] says, at the intervals of `gateway::gossip`. An endpoint runs as many requests as it has slots,
//! queues some more, and rejects the rest.

#![allow(dead_code, reason = "each test file uses some of these")]

use {
    super::{domain, whole},
    derive_more::Debug,
    directory::ListedEndpoint,
    dispatch::{
        Assignment, AttemptOutcome, DispatchRequest, Dispatcher, EndpointHandle, Exchange,
        Reporter, RetryBudget, RetryBudgetLimits, SubmitResult, WaiterId,
    },
    model::{Domain, MILLISECOND, SECOND, Time},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        fmt,
        net::SocketAddr,
    },
};

const DOMAINS: usize = 5;
const SERVICE: &str = "plain";
/// One way between a client and a router, in microseconds.
const CLIENT_DELAY: u64 = MILLISECOND;
/// One way between a router and an endpoint of the same domain, in microseconds.
const LOCAL_DELAY: u64 = 200;
/// One way between a router and an endpoint of another domain, in microseconds.
const REMOTE_DELAY: u64 = 1_400;
/// The interval between the sums that one relay sends to other domains, in microseconds. Its own
/// domain gets the sum of the others after two.
const SUM_INTERVAL: u64 = SECOND / 2;
/// Sends allowed beyond the attempts while endpoints prove that they did not run the request.
const EXTRA_SENDS: u32 = 2;
const ATTEMPTS: u32 = 2;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    /// Requests that an endpoint queues beyond its slots.
    pub(crate) queue: usize,
    /// The mean time that a request runs, in milliseconds.
    pub(crate) work_ms: f64,
    /// The time within which an answer is on time, in milliseconds.
    pub(crate) target_ms: u64,
    pub(crate) deadline_ms: u64,
    /// Requests per second.
    pub(crate) rate: f64,
    /// The requests per second between the fifth and the eighth second.
    pub(crate) surge: f64,
    /// The share of requests that fail at the endpoint after they ran.
    pub(crate) failures: f64,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

/// What callers got.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub(crate) struct Outcomes {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) failed: u32,
    /// Sends that endpoints rejected because they were full.
    pub(crate) rejected_sends: u32,
    pub(crate) sends: u32,
}

impl Outcomes {
    /// The share of requests that were answered on time.
    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} asked: {:.3} on time, {:.3} late, {:.3} refused, {:.3} failed; {:.3} of {} sends rejected",
            self.asked,
            self.on_time_share(),
            f64::from(self.late) / f64::from(self.asked.max(1)),
            f64::from(self.refused) / f64::from(self.asked.max(1)),
            f64::from(self.failed) / f64::from(self.asked.max(1)),
            f64::from(self.rejected_sends) / f64::from(self.sends.max(1)),
            self.sends,
        )
    }
}

#[derive(Clone, Debug)]
struct Request {
    router: usize,
    first_arrived: Time,
    arrived: Time,
    deadline: Time,
    fails: bool,
    work: u64,
    excluded: SmallVec<[EndpointHandle; 2]>,
    sends: u32,
    runs: u32,
    returned: bool,
    started: Time,
    assignment: Option<Assignment>,
}

#[derive(Debug)]
enum Event {
    Arrive(Box<Request>),
    AtEndpoint(Box<Request>),
    Finished(usize, Box<Request>),
    Answered(Box<Request>, AttemptOutcome, u32),
    Report(usize),
    Sum(usize, usize),
    Expire(usize),
}

#[derive(Default, Debug)]
struct EndpointModel {
    running: u32,
    waiting: VecDeque<Box<Request>>,
}

#[derive(Debug)]
struct Router {
    dispatcher: Dispatcher,
    exchange: Exchange,
    budget: RetryBudget,
    waiting: HashMap<WaiterId, Box<Request>>,
}

/// The simulated fleet.
#[derive(Debug)]
pub(crate) struct Simulation {
    load: Load,
    now: Time,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    listing: Vec<ListedEndpoint>,
    endpoints: Vec<EndpointModel>,
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    outcomes: Outcomes,
}

impl Simulation {
    /// Plays a load and returns what callers got.
    pub(crate) fn run(load: Load) -> Outcomes {
        let mut simulation = Simulation::new(load);
        while let Some(((at, _), event)) = simulation.events.pop_first() {
            simulation.now = at;
            if at > Time((load.seconds + 10) * SECOND) {
                break;
            }
            simulation.handle(event);
        }
        simulation.outcomes
    }

    fn new(load: Load) -> Simulation {
        let listing: Vec<_> = (0..load.endpoints)
            .map(|at| ListedEndpoint {
                id: format!("{SERVICE}-{at}").into(),
                service: SERVICE.into(),
                addr: ([10, 0, 0, 1], at as u16 + 1).into(),
                domain: domain(&format!("d{}", at % DOMAINS)),
                slots: load.slots,
                draining: false,
                started_at_ms: None,
                build: None,
            })
            .collect();
        let domains: Vec<Domain> = (0..DOMAINS).map(|it| domain(&format!("d{it}"))).collect();
        let members = || (0..load.routers).map(|it| (router_addr(it), &domains[it % DOMAINS]));
        let limits = RetryBudgetLimits { ratio: 0.2, slack: 2.2 * load.routers as f64 };
        let routers = (0..load.routers).map(|at| {
            let mut dispatcher = Dispatcher::new(domain(&format!("d{}", at % DOMAINS)), at as u64);
            dispatcher.update_endpoints(&listing);
            let exchange = Exchange::new(router_addr(at), &domains[at % DOMAINS], members());
            Router {
                dispatcher,
                exchange,
                budget: RetryBudget::new(limits, load.routers),
                waiting: HashMap::new(),
            }
        });
        let mut simulation = Simulation {
            load,
            now: Time(0),
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            routers: routers.collect(),
            endpoints: (0..load.endpoints).map(|_| EndpointModel::default()).collect(),
            listing,
            events: BTreeMap::new(),
            last_event: 0,
            outcomes: Outcomes::default(),
        };
        simulation.schedule_arrivals();
        for at in 0..load.routers {
            let first = simulation.rng.random_range(0..simulation.report_interval(at));
            simulation.schedule(first, Event::Report(at));
            if simulation.routers[at].exchange.is_relay {
                let first = simulation.rng.random_range(0..SUM_INTERVAL);
                simulation.schedule(first, Event::Sum(at, 0));
            }
        }
        simulation
    }

    fn report_interval(&self, at: usize) -> u64 {
        (200 + 10 * self.routers[at].exchange.direct.len() as u64) * MILLISECOND
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + delay, self.last_event), event);
    }

    fn schedule_arrivals(&mut self) {
        let load = self.load;
        // Clients are spread unevenly over routers.
        let weights: Vec<f64> =
            (0..load.routers).map(|_| self.rng.random_range(0.3..1.7)).collect();
        let total: f64 = weights.iter().sum();
        let mut at = 0.0;
        loop {
            let surging = (5.0..8.0).contains(&at);
            let rate = if surging { load.surge } else { load.rate };
            at += -self.rng.random::<f64>().max(1e-9).ln() / rate;
            if at >= load.seconds as f64 {
                break;
            }
            let mut pick = self.rng.random::<f64>() * total;
            let router = weights.iter().position(|it| {
                pick -= it;
                pick < 0.0
            });
            let request = self.new_request(router.unwrap_or(0), Time((at * SECOND as f64) as u64));
            self.schedule((at * SECOND as f64) as u64, Event::Arrive(Box::new(request)));
            self.outcomes.asked += 1;
        }
    }

    fn new_request(&mut self, router: usize, arrived: Time) -> Request {
        let load = self.load;
        let mut work_ms = load.work_ms * self.rng.random_range(0.5..1.5);
        if self.rng.random_bool(0.01) {
            work_ms *= 5.0;
        }
        Request {
            router,
            first_arrived: arrived,
            arrived,
            deadline: arrived + load.deadline_ms * MILLISECOND,
            fails: self.rng.random_bool(load.failures),
            work: (work_ms * MILLISECOND as f64) as u64,
            excluded: SmallVec::new(),
            sends: 0,
            runs: 0,
            returned: false,
            started: arrived,
            assignment: None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                let router = &mut self.routers[request.router];
                router.budget.record_request();
                self.submit(request);
            }
            Event::AtEndpoint(request) => self.receive(request),
            Event::Finished(at, request) => self.finish(at, request),
            Event::Answered(request, outcome, load) => self.answer(request, outcome, load),
            Event::Report(at) => self.report(at),
            Event::Sum(at, round) => self.send_sum(at, round),
            Event::Expire(at) => {
                let expired = self.routers[at].dispatcher.expire(self.now);
                for (id, refusal) in expired {
                    if let Some(request) = self.routers[at].waiting.remove(&id) {
                        self.refuse(request, refusal.retry_ms);
                    }
                }
            }
        }
    }

    fn submit(&mut self, mut request: Box<Request>) {
        let now = self.now;
        let by_target = (request.arrived + self.load.target_ms * 60 / 100 * MILLISECOND).max(now);
        let by_deadline = now + request.deadline.since(now) * 30 / 100;
        let ask = DispatchRequest {
            service: SERVICE.into(),
            prompt: None,
            priority: 2,
            wait_until: by_target.min(by_deadline),
            excluded: request.excluded.clone(),
            build: None,
            regions: None,
            team: 0,
            deadline: Some(request.deadline),
        };
        let at = request.router;
        match self.routers[at].dispatcher.submit(now, ask) {
            SubmitResult::Started(assignment) => {
                request.assignment = Some(assignment);
                self.send(request);
            }
            SubmitResult::Queued(id) => {
                self.routers[at].waiting.insert(id, request);
                let deadline = self.routers[at].dispatcher.next_deadline();
                self.schedule(deadline.since(now) + 1, Event::Expire(at));
            }
            SubmitResult::Refused(refusal) => self.refuse(request, refusal.retry_ms),
        }
    }

    fn delay(&self, request: &Request) -> u64 {
        let assignment = request.assignment.as_ref();
        let local = domain(&format!("d{}", request.router % DOMAINS));
        if assignment.is_some_and(|it| it.domain == local) { LOCAL_DELAY } else { REMOTE_DELAY }
    }

    fn send(&mut self, mut request: Box<Request>) {
        request.sends += 1;
        request.started = self.now;
        let handle = request.assignment.as_ref().map(|it| it.handle);
        request.excluded.extend(handle);
        self.outcomes.sends += 1;
        // A connection is established first.
        let delay = 3 * self.delay(&request);
        self.schedule(delay, Event::AtEndpoint(request));
    }

    fn receive(&mut self, request: Box<Request>) {
        let id = request.assignment.as_ref().map(|it| it.id.clone());
        let found = self.listing.iter().position(|it| Some(&it.id) == id.as_ref());
        let Some(at) = found else { return };
        let slots = self.load.slots;
        let endpoint = &mut self.endpoints[at];
        if endpoint.running < slots {
            endpoint.running += 1;
            let work = request.work;
            self.schedule(work, Event::Finished(at, request));
        } else if endpoint.waiting.len() < self.load.queue {
            endpoint.waiting.push_back(request);
        } else {
            let load = endpoint.running + endpoint.waiting.len() as u32;
            self.outcomes.rejected_sends += 1;
            let delay = self.delay(&request);
            self.schedule(delay, Event::Answered(request, AttemptOutcome::Full, load));
        }
    }

    fn finish(&mut self, at: usize, mut request: Box<Request>) {
        request.runs += 1;
        let endpoint = &mut self.endpoints[at];
        match endpoint.waiting.pop_front() {
            Some(next) => {
                let work = next.work;
                self.schedule(work, Event::Finished(at, next));
            }
            None => endpoint.running -= 1,
        }
        let endpoint = &self.endpoints[at];
        let load = endpoint.running + endpoint.waiting.len() as u32;
        let outcome = if request.fails { AttemptOutcome::Failed } else { AttemptOutcome::Served };
        // A repeated run is as likely to fail as the first one.
        request.fails = self.rng.random_bool(self.load.failures);
        let delay = self.delay(&request);
        self.schedule(delay, Event::Answered(request, outcome, load));
    }

    fn answer(&mut self, mut request: Box<Request>, outcome: AttemptOutcome, load: u32) {
        let now = self.now;
        let at = request.router;
        let Some(assignment) = request.assignment.take() else { return };
        let dispatcher = &mut self.routers[at].dispatcher;
        dispatcher.record_reported_load(now, assignment.handle, load);
        let service_ms = now.since(request.started) as f64 / MILLISECOND as f64;
        let started = dispatcher.finish(now, &assignment, outcome, service_ms);
        for (id, assignment) in started {
            if let Some(mut waiting) = self.routers[at].waiting.remove(&id) {
                waiting.assignment = Some(assignment);
                self.send(waiting);
            }
        }
        let in_time = now < request.deadline;
        match outcome {
            AttemptOutcome::Served => {
                let after = (now + 2 * CLIENT_DELAY).since(request.first_arrived);
                if after <= self.load.target_ms * MILLISECOND {
                    self.outcomes.on_time += 1;
                } else {
                    self.outcomes.late += 1;
                }
            }
            AttemptOutcome::Full => {
                let allowed = in_time && request.sends < ATTEMPTS + EXTRA_SENDS;
                if allowed && self.routers[at].budget.try_spend() {
                    self.submit(request);
                } else {
                    self.refuse(request, 300);
                }
            }
            _ => {
                let allowed = in_time && request.runs < ATTEMPTS;
                if allowed && self.routers[at].budget.try_spend() {
                    self.submit(request);
                } else {
                    self.outcomes.failed += 1;
                }
            }
        }
    }

    /// Refuses a request. Its caller returns once, at another router, if it still has time.
    fn refuse(&mut self, request: Box<Request>, retry_ms: u64) {
        if request.runs > 0 {
            self.outcomes.failed += 1;
            return;
        }
        let back = self.now + retry_ms * MILLISECOND + 2 * CLIENT_DELAY;
        if request.returned || back >= request.deadline {
            self.outcomes.refused += 1;
            return;
        }
        let router = self.rng.random_range(0..self.load.routers);
        let mut again = self.new_request(router, back);
        again.first_arrived = request.first_arrived;
        again.deadline = request.deadline;
        again.returned = true;
        self.schedule(back.since(self.now), Event::Arrive(Box::new(again)));
    }

    fn report(&mut self, at: usize) {
        let loads = self.routers[at].dispatcher.local_loads();
        for peer in self.routers[at].exchange.direct.clone() {
            let peer = router_at(peer);
            let is_local = peer % DOMAINS == at % DOMAINS;
            let id = at as u64;
            let reporter =
                if is_local { Reporter::LocalRouter(id) } else { Reporter::RemoteRouter(id) };
            self.routers[peer].dispatcher.apply_peer_report(self.now, reporter, &whole(&loads));
        }
        if self.now < Time(self.load.seconds * SECOND) {
            let interval = self.report_interval(at);
            self.schedule(interval, Event::Report(at));
        }
    }

    fn send_sum(&mut self, at: usize, round: usize) {
        let loads = self.routers[at].dispatcher.domain_loads(self.now);
        let reporter = Reporter::Domain((at % DOMAINS) as u64);
        let relays: Vec<_> = self.routers[at].exchange.remote_relays(round).collect();
        for relay in relays {
            let receiver = &mut self.routers[router_at(relay)];
            receiver.dispatcher.apply_peer_report(self.now, reporter, &whole(&loads));
        }
        if round.is_multiple_of(2) {
            let loads = self.routers[at].dispatcher.other_domains_loads(self.now);
            for peer in self.routers[at].exchange.direct.clone() {
                let receiver = &mut self.routers[router_at(peer)];
                if !receiver.exchange.is_relay {
                    let reporter = Reporter::OtherDomains;
                    receiver.dispatcher.apply_peer_report(self.now, reporter, &whole(&loads));
                }
            }
        }
        if self.now < Time(self.load.seconds * SECOND) {
            self.schedule(SUM_INTERVAL, Event::Sum(at, round + 1));
        }
    }
}

fn router_addr(at: usize) -> SocketAddr {
    ([10, 1, (at >> 8) as u8, at as u8], 7_000).into()
}

fn router_at(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else { unreachable!("routers have IPv4 addresses") };
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}
