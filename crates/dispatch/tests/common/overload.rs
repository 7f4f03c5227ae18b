//! A simulation of requests for a model that exceed the slots of its endpoints.
//!
//! Gateways exchange loads as [`Exchange`] says, and receive them late. Callers whose request is
//! refused return once, after the time that they are told, unless it is over a third of what they
//! have left. The deployment is a fifth of the one in docs/HARD-LOAD.md, section 5, with so few
//! endpoints that its usual load takes two thirds of their slots.

#![allow(dead_code, reason = "each test file uses some of these")]

use {
    super::{domain, whole},
    derive_more::Debug,
    directory::ListedEndpoint,
    dispatch::{
        Assignment, AttemptOutcome, DemandReport, DemandScope, DispatchRequest, Dispatcher,
        EndpointHandle, Exchange, LoadReport, Policy, Prompt, PromptPart, Reporter, SubmitResult,
        WaiterId,
    },
    model::{Domain, MILLISECOND, SECOND, Time},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        net::SocketAddr,
    },
};

const DOMAINS: usize = 5;
const ENDPOINTS: usize = 12;
const SLOTS: u32 = 12;
/// The load of all kinds at their usual rates, as a fraction of the slots.
const USUAL_LOAD: f64 = 0.67;
/// One way between any two processes, in microseconds.
const DELAY: u64 = MILLISECOND;
/// How late a report arrives, in microseconds.
const REPORT_DELAY: u64 = 50 * MILLISECOND;
const SUM_INTERVAL: u64 = SECOND / 2;
/// How much the interval of reports on demand grows with each receiver, in microseconds.
const DEMAND_INTERVAL_PER_RECEIVER: u64 = 75 * MILLISECOND;
/// How often a gateway looks for room and expired requests, in microseconds.
const POLL: u64 = 20 * MILLISECOND;
const MAX_SENDS: usize = 3;
const TEAMS: usize = 40;
/// The teams that send a tenth of the requests each. The others share the rest evenly.
const LARGE_TEAMS: usize = 3;
const LARGE_SHARE: f64 = 0.1;
/// The share of requests whose prompt is requested rarely.
const RARE_SHARE: f64 = 0.05;
const POPULAR_PROMPTS: u64 = 24;
const RARE_PROMPTS: u64 = 200;

/// When requests exceed capacity.
pub(crate) const OVERLOAD: (Time, Time) = (Time(3 * SECOND), Time(9 * SECOND));
const ARRIVALS_END: Time = Time(11 * SECOND);

/// A kind of request; its priority is its index.
struct Kind {
    rate: f64,
    shared: u32,
    own: u32,
    events: f64,
    aim_ms: u64,
    deadline_ms: u64,
}

const KINDS: [Kind; 3] = [
    Kind { rate: 31.2, shared: 10_512, own: 1_300, events: 38.0, aim_ms: 800, deadline_ms: 12_000 },
    Kind { rate: 32.0, shared: 699, own: 130, events: 29.0, aim_ms: 800, deadline_ms: 10_000 },
    Kind { rate: 54.6, shared: 2_041, own: 360, events: 2.0, aim_ms: 1_500, deadline_ms: 2_500 },
];

/// What exceeds the capacity.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Scenario {
    /// Nothing does.
    Calm,
    /// All requests together are this multiple of the capacity.
    Burst(f64),
    /// The large teams send six times their usual load.
    Teams,
    /// The second kind is requested four times as often.
    Kind,
    /// A fifth of the endpoints is lost while the load is 1.2 times the capacity.
    Loss,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) gateways: usize,
    pub(crate) scenario: Scenario,
    pub(crate) policy: Policy,
    /// The share of gateways that send and receive no reports.
    pub(crate) cut_off: f64,
    pub(crate) seed: u64,
}

/// What became of one request that arrived during the overload.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct Outcome {
    pub(crate) kind: usize,
    pub(crate) team: usize,
    pub(crate) is_rare: bool,
    /// The work relative to others of its kind.
    pub(crate) size: f64,
    pub(crate) served: bool,
    pub(crate) on_time: bool,
}

#[derive(Clone, Debug)]
struct Request {
    at: usize,
    gateway: usize,
    kind: usize,
    team: usize,
    prompt: Prompt,
    /// The answer, in steps.
    steps: f64,
    first_arrived: Time,
    /// When the gateway got the request.
    arrived: Time,
    deadline: Time,
    returned: bool,
    excluded: SmallVec<[EndpointHandle; 2]>,
    sent: Time,
    assignment: Option<Assignment>,
}

#[derive(Debug)]
enum Event {
    NextArrival,
    Arrive(Box<Request>),
    AtEndpoint(Box<Request>),
    Finished(usize, Box<Request>, Option<Time>),
    Answered(Box<Request>, AttemptOutcome, u32),
    Report(usize),
    Sum(usize, usize),
    Loads(usize, Reporter, Vec<(u64, LoadReport)>, Vec<(u32, DemandReport)>),
    Poll(usize),
    List(usize),
}

#[derive(Default, Debug)]
struct Engine {
    running: u32,
    waiting: VecDeque<Box<Request>>,
    cached: HashSet<u64>,
}

struct Gateway {
    dispatcher: Dispatcher,
    exchange: Exchange,
    is_cut_off: bool,
    /// When the next report on demand of each scope is due.
    demands_at: [Time; 3],
    waiting: HashMap<WaiterId, Box<Request>>,
}

/// The simulated fleet.
pub(crate) struct Simulation {
    load: Load,
    now: Time,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    listing: Vec<ListedEndpoint>,
    engines: Vec<Engine>,
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    outcomes: Vec<Outcome>,
}

impl Simulation {
    /// Plays a load and returns what became of the requests that arrived during the overload.
    pub(crate) fn run(load: Load) -> Vec<Outcome> {
        let mut simulation = Simulation::new(load);
        while let Some(((at, _), event)) = simulation.events.pop_first() {
            simulation.now = at;
            simulation.handle(event);
        }
        simulation.outcomes
    }

    fn new(load: Load) -> Simulation {
        let listing: Vec<_> = (0..ENDPOINTS)
            .map(|at| ListedEndpoint {
                id: format!("model-{at}").into(),
                service: "model".into(),
                addr: ([10, 0, 0, 1], at as u16 + 1).into(),
                domain: domain(&format!("d{}", at % DOMAINS)),
                slots: SLOTS,
                draining: false,
                started_at_ms: None,
                build: None,
            })
            .collect();
        let domains: Vec<Domain> = (0..DOMAINS).map(|it| domain(&format!("d{it}"))).collect();
        let members = || (0..load.gateways).map(|it| (addr(it), &domains[it % DOMAINS]));
        let gateways = (0..load.gateways).map(|at| {
            let mut dispatcher =
                Dispatcher::new(domains[at % DOMAINS].clone(), at as u64 + 1_000 * load.seed);
            dispatcher.set_kv_capacity(&"model".into(), Some(299_197));
            dispatcher.update_endpoints(&listing);
            dispatcher.set_policy(load.policy);
            dispatcher.set_routers(Time(0), addr(at), (0..load.gateways).map(addr));
            let exchange = Exchange::new(addr(at), &domains[at % DOMAINS], members());
            let is_cut_off = (at as f64) < load.cut_off * load.gateways as f64;
            Gateway {
                dispatcher,
                exchange,
                is_cut_off,
                demands_at: [Time(0); 3],
                waiting: HashMap::new(),
            }
        });
        let mut simulation = Simulation {
            gateways: gateways.collect(),
            load,
            now: Time(0),
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            listing,
            engines: (0..ENDPOINTS).map(|_| Engine::default()).collect(),
            events: BTreeMap::new(),
            last_event: 0,
            outcomes: Vec::new(),
        };
        simulation.schedule(0, Event::NextArrival);
        if load.scenario == Scenario::Loss {
            simulation.schedule(OVERLOAD.0.0, Event::List(ENDPOINTS * 4 / 5));
            simulation.schedule(OVERLOAD.1.0, Event::List(ENDPOINTS));
        }
        for at in 0..load.gateways {
            let first = simulation.rng.random_range(0..200 * MILLISECOND);
            simulation.schedule(first, Event::Report(at));
            simulation.schedule(first / 10, Event::Poll(at));
            if simulation.gateways[at].exchange.is_relay {
                simulation.schedule(2 * first, Event::Sum(at, 0));
            }
        }
        simulation
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + after, self.last_event), event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::NextArrival => self.arrive_next(),
            Event::Arrive(request) => self.submit(request),
            Event::AtEndpoint(request) => self.receive(request),
            Event::Finished(at, request, first) => self.finish(at, request, first),
            Event::Answered(request, outcome, load) => self.answer(request, outcome, load),
            Event::Report(at) => self.report(at),
            Event::Sum(at, round) => self.send_sum(at, round),
            Event::Loads(at, reporter, loads, demands) => {
                let dispatcher = &mut self.gateways[at].dispatcher;
                dispatcher.apply_peer_report(now, reporter, &whole(&loads));
                for (service, demand) in demands {
                    dispatcher.apply_demand_report(now, reporter, service, demand);
                }
            }
            Event::Poll(at) => {
                let started = self.gateways[at].dispatcher.start_all_queued(now);
                self.start(at, started);
                for (id, refusal) in self.gateways[at].dispatcher.expire(now) {
                    self.refuse(at, id, refusal.retry_ms);
                }
                if now < ARRIVALS_END + 4 * SECOND {
                    self.schedule(POLL, Event::Poll(at));
                }
            }
            Event::List(kept) => {
                self.listing.iter_mut().enumerate().for_each(|(at, it)| it.draining = at >= kept);
                for gateway in &mut self.gateways {
                    gateway.dispatcher.update_endpoints(&self.listing);
                }
            }
        }
    }

    /// Returns how often a kind is requested relative to its usual rate, by large teams or others.
    fn factor(&self, kind: usize, is_large: bool) -> f64 {
        let is_over = (OVERLOAD.0..OVERLOAD.1).contains(&self.now);
        match self.load.scenario {
            Scenario::Burst(capacity) if is_over => capacity / USUAL_LOAD,
            Scenario::Loss if is_over => 1.2 / USUAL_LOAD,
            Scenario::Teams if is_over && is_large => 6.0,
            Scenario::Kind if is_over && kind == 1 => 4.0,
            _ => 1.0,
        }
    }

    fn arrive_next(&mut self) {
        let weights = (0..6).map(|it| {
            let share = LARGE_SHARE * LARGE_TEAMS as f64;
            let share = if it < 3 { share } else { 1.0 - share };
            KINDS[it % 3].rate * share * self.factor(it % 3, it < 3)
        });
        let weights: Vec<f64> = weights.collect();
        let total: f64 = weights.iter().sum();
        let mut pick = self.rng.random_range(0.0..total);
        let chosen = weights.iter().position(|it| {
            pick -= it;
            pick <= 0.0
        });
        let chosen = chosen.unwrap_or(5);
        let teams = if chosen < 3 { 0..LARGE_TEAMS } else { LARGE_TEAMS..TEAMS };
        let (kind, team) = (chosen % 3, self.rng.random_range(teams));
        let Kind { shared, own, events, deadline_ms, .. } = KINDS[kind];
        // A long tail: one in ten is over twice as large as the median.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let size = (0.7 * normal).exp() / 1.28;
        let is_rare = self.rng.random_bool(RARE_SHARE);
        let part = if is_rare {
            1_000 + self.rng.random_range(0..RARE_PROMPTS)
        } else {
            self.rng.random_range(0..POPULAR_PROMPTS)
        };
        let steps = (events * 10.0 * size).max(10.0);
        let own = (f64::from(own) * size) as u32;
        let max_answer = (steps * self.rng.random_range(1.0..2.0)) as u32;
        let id = self.rng.random();
        let parts = [
            PromptPart { id: part * 3 + kind as u64, tokens: shared },
            PromptPart { id, tokens: own },
        ];
        let prompt =
            Prompt { parts: parts.into_iter().collect(), tokens: shared + own + max_answer };
        let at = self.outcomes.len();
        if (OVERLOAD.0..OVERLOAD.1).contains(&self.now) {
            let outcome = Outcome { kind, team, is_rare, size, served: false, on_time: false };
            self.outcomes.push(outcome);
        }
        let request = Request {
            at: if at < self.outcomes.len() { at } else { usize::MAX },
            gateway: self.rng.random_range(0..self.load.gateways),
            kind,
            team,
            prompt,
            steps,
            first_arrived: self.now,
            arrived: self.now,
            deadline: self.now + deadline_ms * MILLISECOND,
            returned: false,
            excluded: SmallVec::new(),
            sent: self.now,
            assignment: None,
        };
        self.schedule(DELAY, Event::Arrive(Box::new(request)));
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / total;
        if self.now < ARRIVALS_END {
            self.schedule((gap * SECOND as f64) as u64, Event::NextArrival);
        }
    }

    fn submit(&mut self, request: Box<Request>) {
        let now = self.now;
        let aim = KINDS[request.kind].aim_ms;
        let by_target = (request.arrived + aim * 60 / 100 * MILLISECOND).max(now);
        let by_deadline = now + request.deadline.since(now) * 30 / 100;
        let ask = DispatchRequest {
            service: "model".into(),
            prompt: Some(request.prompt.clone()),
            priority: request.kind as u8,
            wait_until: by_target.min(by_deadline),
            excluded: request.excluded.clone(),
            build: None,
            regions: None,
            team: request.team as u32,
            deadline: Some(request.deadline),
        };
        let at = request.gateway;
        match self.gateways[at].dispatcher.submit(now, ask) {
            SubmitResult::Started(assignment) => self.send(request, assignment),
            SubmitResult::Queued(id) => {
                self.gateways[at].waiting.insert(id, request);
            }
            SubmitResult::Refused(refusal) => self.come_back(request, refusal.retry_ms),
        }
    }

    fn start(&mut self, at: usize, started: Vec<(WaiterId, Assignment)>) {
        for (id, assignment) in started {
            if let Some(request) = self.gateways[at].waiting.remove(&id) {
                self.send(request, assignment);
            }
        }
    }

    fn refuse(&mut self, at: usize, id: WaiterId, retry_ms: u64) {
        if let Some(request) = self.gateways[at].waiting.remove(&id) {
            self.come_back(request, retry_ms);
        }
    }

    fn come_back(&mut self, mut request: Box<Request>, retry_ms: u64) {
        let left = request.deadline.since(self.now);
        if request.returned || retry_ms * MILLISECOND > left / 3 {
            return;
        }
        request.returned = true;
        request.gateway = self.rng.random_range(0..self.load.gateways);
        request.excluded.clear();
        request.arrived = self.now + retry_ms * MILLISECOND + 2 * DELAY;
        self.schedule(retry_ms * MILLISECOND + 2 * DELAY, Event::Arrive(request));
    }

    fn send(&mut self, mut request: Box<Request>, assignment: Assignment) {
        request.excluded.push(assignment.handle);
        request.assignment = Some(assignment);
        request.sent = self.now;
        self.schedule(3 * DELAY, Event::AtEndpoint(request));
    }

    fn receive(&mut self, request: Box<Request>) {
        let id = request.assignment.as_ref().map(|it| it.id.clone());
        let Some(at) = self.listing.iter().position(|it| Some(&it.id) == id.as_ref()) else {
            return;
        };
        let engine = &mut self.engines[at];
        if engine.running < SLOTS {
            engine.running += 1;
            self.begin(at, request);
        } else if engine.waiting.len() < SLOTS as usize {
            engine.waiting.push_back(request);
        } else {
            let load = engine.running + engine.waiting.len() as u32;
            self.schedule(DELAY, Event::Answered(request, AttemptOutcome::Full, load));
        }
    }

    /// Starts a request that holds a slot. It ends at its deadline at the latest.
    fn begin(&mut self, at: usize, request: Box<Request>) {
        let engine = &mut self.engines[at];
        let parts = &request.prompt.parts;
        let shared = if engine.cached.insert(parts[0].id) { parts[0].tokens } else { 0 };
        let step_ms = 3.09 + 0.102 * f64::from(engine.running);
        let prefill_ms = f64::from(shared + parts[1].tokens) / 56.9;
        let after = |steps: f64| ((prefill_ms + steps * step_ms) * 1_000.0) as u64;
        let (first, end) = (after(10.0), after(request.steps));
        let left = request.deadline.since(self.now);
        let first = (end <= left).then_some(self.now + first);
        self.schedule(end.min(left), Event::Finished(at, request, first));
    }

    fn finish(&mut self, at: usize, request: Box<Request>, first: Option<Time>) {
        let now = self.now;
        self.engines[at].running -= 1;
        while let Some(next) = self.engines[at].waiting.pop_front() {
            if next.deadline > now {
                self.engines[at].running += 1;
                self.begin(at, next);
                break;
            }
            self.schedule(DELAY, Event::Answered(next, AttemptOutcome::Abandoned, 0));
        }
        if let Some((first, outcome)) = first.zip(self.outcomes.get_mut(request.at)) {
            outcome.served = true;
            let aim = request.first_arrived + KINDS[request.kind].aim_ms * MILLISECOND;
            outcome.on_time = first + 2 * DELAY <= aim;
        }
        let load = self.engines[at].running + self.engines[at].waiting.len() as u32;
        let ending =
            if first.is_some() { AttemptOutcome::Served } else { AttemptOutcome::Abandoned };
        self.schedule(DELAY, Event::Answered(request, ending, load));
    }

    fn answer(&mut self, mut request: Box<Request>, outcome: AttemptOutcome, load: u32) {
        let now = self.now;
        let at = request.gateway;
        let Some(assignment) = request.assignment.take() else { return };
        let dispatcher = &mut self.gateways[at].dispatcher;
        if outcome != AttemptOutcome::Abandoned {
            dispatcher.record_reported_load(now, assignment.handle, load);
        }
        let service_ms = now.since(request.sent) as f64 / MILLISECOND as f64;
        let started = dispatcher.finish(now, &assignment, outcome, service_ms);
        self.start(at, started);
        if outcome == AttemptOutcome::Full {
            if request.excluded.len() < MAX_SENDS && now < request.deadline {
                self.submit(request);
            } else {
                self.come_back(request, 300);
            }
        }
    }

    /// Delivers what a gateway knows to others, unless they or the sender are cut off.
    fn deliver<I>(&mut self, from: usize, to: I, reporter: Reporter, scope: DemandScope)
    where
        I: IntoIterator<Item = usize>,
    {
        let now = self.now;
        let dispatcher = &mut self.gateways[from].dispatcher;
        let loads = match scope {
            DemandScope::Router => dispatcher.local_loads(),
            DemandScope::Domain => dispatcher.domain_loads(now),
            DemandScope::OtherDomains => dispatcher.other_domains_loads(now),
        };
        let to: Vec<_> = to.into_iter().collect();
        let is_due = now >= self.gateways[from].demands_at[scope as usize];
        let mut demands = Vec::new();
        if is_due {
            demands = self.gateways[from].dispatcher.demand_reports(now, scope);
            let interval = (DEMAND_INTERVAL_PER_RECEIVER * to.len() as u64).max(SECOND / 2);
            self.gateways[from].demands_at[scope as usize] = now + interval;
        }
        for at in to {
            if !self.gateways[from].is_cut_off && !self.gateways[at].is_cut_off {
                let event = Event::Loads(at, reporter, loads.clone(), demands.clone());
                self.schedule(REPORT_DELAY, event);
            }
        }
    }

    fn direct(&self, at: usize) -> Vec<usize> {
        self.gateways[at].exchange.direct.iter().map(|it| index(*it)).collect()
    }

    fn report(&mut self, at: usize) {
        let direct = self.direct(at);
        let interval = (200 + 10 * direct.len() as u64) * MILLISECOND;
        // Whether a router is of the same domain makes no difference to its reports here.
        let reporter = Reporter::LocalRouter(at as u64);
        self.deliver(at, direct, reporter, DemandScope::Router);
        if self.now < ARRIVALS_END {
            self.schedule(interval, Event::Report(at));
        }
    }

    fn send_sum(&mut self, at: usize, round: usize) {
        let relays: Vec<_> = self.gateways[at].exchange.remote_relays(round).map(index).collect();
        self.deliver(at, relays, Reporter::Domain((at % DOMAINS) as u64), DemandScope::Domain);
        if round.is_multiple_of(2) {
            let mut direct = self.direct(at);
            direct.retain(|it| !self.gateways[*it].exchange.is_relay);
            self.deliver(at, direct, Reporter::OtherDomains, DemandScope::OtherDomains);
        }
        if self.now < ARRIVALS_END {
            self.schedule(SUM_INTERVAL, Event::Sum(at, round + 1));
        }
    }
}

fn addr(at: usize) -> SocketAddr {
    ([10, 1, (at >> 8) as u8, at as u8], 7_000).into()
}

fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else { unreachable!("gateways have IPv4 addresses") };
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Returns the shares of the selected outcomes that were served and on time, or `None` if there are
/// none.
pub(crate) fn shares<F>(outcomes: &[Outcome], is_selected: F) -> Option<(f64, f64)>
where
    F: Fn(&Outcome) -> bool,
{
    let selected: Vec<_> = outcomes.iter().filter(|it| is_selected(it)).collect();
    let share = |count: usize| count as f64 / selected.len() as f64;
    let served = selected.iter().filter(|it| it.served).count();
    let on_time = selected.iter().filter(|it| it.on_time).count();
    (!selected.is_empty()).then(|| (share(served), share(on_time)))
}

/// Returns the sizes that the largest tenth and the fifth below it begin at.
pub(crate) fn size_bounds(outcomes: &[Outcome]) -> (f64, f64) {
    let mut sizes: Vec<_> = outcomes.iter().map(|it| it.size).collect();
    sizes.sort_by(f64::total_cmp);
    (sizes[sizes.len() * 9 / 10], sizes[sizes.len() * 7 / 10])
}

pub(crate) fn is_large_team(team: usize) -> bool {
    team < LARGE_TEAMS
}
