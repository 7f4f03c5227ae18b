//! Cold endpoints in simulated fleets: what all routers together send to them and to the others.

mod common;

use {
    common::{NOW, domain, listed},
    directory::ListedEndpoint,
    dispatch::{
        Assignment, AttemptOutcome, ColdRate, ColdReport, DispatchRequest, Dispatcher, LoadChunk,
        LoadReport, Prompt, PromptPart, Reporter, SubmitResult,
    },
    model::{Domain, MILLISECOND, Name, SECOND, Time, hash64},
    rand::{Rng, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    smallvec::SmallVec,
    std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr},
};

const DOMAINS: usize = 3;

/// When endpoints turn cold, and how long they stay so.
const TURN: Time = Time(NOW.0 + 4 * SECOND);
const COLD_MS: u64 = 8_000;

const END: Time = Time(NOW.0 + 14 * SECOND);

/// How late the list of endpoints is.
const LAG: std::ops::Range<u64> = 800 * MILLISECOND..2 * SECOND;

/// When all routers believe it, if they hear of it.
const KNOWN: Time = Time(TURN.0 + 3 * SECOND);

/// The lengths of prompts, in tokens, and how long a request with such a prompt runs.
const KINDS: [(u32, u64); 3] =
    [(10_512, 1_500 * MILLISECOND), (699, 1_150 * MILLISECOND), (2_041, 80 * MILLISECOND)];

/// How often each router restarts on average, in microseconds, if routers do.
const RESTART_INTERVAL: usize = 4_000_000;

const REPORT_INTERVAL: u64 = 500 * MILLISECOND;
const NEWS_DELAY: u64 = 20 * MILLISECOND;

/// What makes endpoints cold.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Cause {
    /// A domain's evacuation is withdrawn.
    Evacuated,
    /// A domain was not listed, and all its endpoints start.
    Dark,
    /// One endpoint in ten turns cold while it runs requests.
    Busy,
    /// Like `Busy`, but only one router in ten hears of it from control.
    ControlSilent,
}

#[derive(Clone, Debug)]
struct Plan {
    routers: usize,
    endpoints: u16,
    /// Requests a second of an endpoint, if all are equal.
    each: f64,
    rate: f64,
    max: f64,
    cause: Cause,
    /// The share of the other routers that a router does not know, in percent.
    unknown: u32,
    /// The share of routers that join while endpoints are cold, in percent.
    joining: usize,
    restarts: bool,
    cut: bool,
    /// Whether requests have no prompts.
    plain: bool,
    /// The share of requests that have the same prompt, in percent.
    hot: u32,
    /// The part of the tolerated rate that cold endpoints get at least.
    min_part: f64,
    seed: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Send,
    Answer { router: usize, assignment: usize },
    Turn,
    Hear { router: usize },
    Tell { router: usize },
    Deliver { to: usize, message: usize },
    Loads,
    Restart,
    Join { router: usize },
    Evacuate,
}

#[derive(Default, Debug)]
struct Outcome {
    /// When requests reached each endpoint.
    arrivals: Vec<Vec<Time>>,
    cold: Vec<bool>,
    refused: usize,
    asked: usize,
    /// How many requests had a prompt that their endpoint had in memory.
    hits: usize,
    /// The highest load of a warm endpoint beyond twice the mean of warm ones.
    excess: f64,
    /// The same before endpoints turned cold.
    before: f64,
}

impl Outcome {
    /// Returns the highest number of requests to a cold endpoint in a second that begins in a range.
    fn most(&self, from: Time, to: Time) -> usize {
        let cold = self.arrivals.iter().zip(&self.cold).filter(|it| *it.1);
        let most = cold.map(|(arrivals, _)| {
            let held: Vec<_> = arrivals.iter().filter(|it| (from..to).contains(*it)).collect();
            let in_second =
                |at: usize| held[at..].iter().take_while(|it| ***it <= *held[at] + SECOND).count();
            (0..held.len()).map(in_second).max().unwrap_or(0)
        });
        most.max().unwrap_or(0)
    }

    /// Returns the mean rate of requests to a cold endpoint.
    fn cold_rate(&self, from: Time, to: Time) -> f64 {
        let cold = self.arrivals.iter().zip(&self.cold).filter(|it| *it.1);
        let count = cold.clone().count() as f64;
        let requests: usize =
            cold.map(|it| it.0.iter().filter(|it| (from..to).contains(*it)).count()).sum();
        requests as f64 / count / (to.since(from) as f64 / SECOND as f64)
    }
}

struct Fleet {
    plan: Plan,
    now: Time,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    scheduled: u64,
    routers: Vec<Dispatcher>,
    joined: usize,
    listing: Vec<ListedEndpoint>,
    handles: Vec<u64>,
    assignments: Vec<Assignment>,
    /// What each router runs on each endpoint.
    loads: Vec<Vec<u32>>,
    messages: Vec<Vec<ColdReport>>,
    evacuated: Vec<Domain>,
    /// What the list says to be cold.
    is_listed_cold: bool,
    parts: Vec<std::collections::HashSet<u64>>,
    outcome: Outcome,
}

fn addr(at: usize) -> SocketAddr {
    ([10, 0, (1 + at / 250) as u8, 1], (at % 250) as u16 + 1).into()
}

impl Fleet {
    fn run(plan: &Plan) -> Outcome {
        let endpoints = usize::from(plan.endpoints);
        let listing: Vec<_> = (0..plan.endpoints)
            .map(|it| ListedEndpoint { started_at_ms: Some(1), ..listed("model", it, 128) })
            .collect();
        let is_cold = |at: usize| match plan.cause {
            Cause::Evacuated | Cause::Dark => at.is_multiple_of(DOMAINS),
            Cause::Busy | Cause::ControlSilent => at.is_multiple_of(10),
        };
        let mut fleet = Fleet {
            now: NOW,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            events: BinaryHeap::new(),
            scheduled: 0,
            routers: Vec::new(),
            joined: plan.routers - plan.routers * plan.joining / 100,
            handles: listing.iter().map(|it| hash64(it.id.as_bytes())).collect(),
            listing,
            assignments: Vec::new(),
            loads: vec![vec![0; endpoints]; plan.routers],
            messages: Vec::new(),
            evacuated: Vec::new(),
            is_listed_cold: false,
            parts: vec![std::collections::HashSet::new(); endpoints],
            outcome: Outcome {
                arrivals: vec![Vec::new(); endpoints],
                cold: (0..endpoints).map(is_cold).collect(),
                ..Outcome::default()
            },
            plan: plan.clone(),
        };
        for router in 0..plan.routers {
            let dispatcher = fleet.new_router(router);
            fleet.routers.push(dispatcher);
            let offset = fleet.random.random_range(0..REPORT_INTERVAL);
            fleet.schedule(offset, Event::Tell { router });
        }
        let requests = plan.each * endpoints as f64 * (END.since(NOW) / SECOND) as f64;
        for _ in 0..requests as u64 {
            let at = fleet.random.random_range(0..END.since(NOW));
            fleet.schedule(at, Event::Send);
        }
        for at in (0..END.since(NOW)).step_by(200_000) {
            fleet.schedule(at, Event::Loads);
        }
        if matches!(plan.cause, Cause::Evacuated) {
            fleet.schedule(0, Event::Evacuate);
        }
        if matches!(plan.cause, Cause::Dark) {
            for router in 0..plan.routers {
                let listing = fleet.reachable();
                fleet.routers[router].update_endpoints(&listing);
            }
        }
        fleet.schedule(TURN.since(NOW), Event::Turn);
        if plan.restarts {
            for at in (TURN.since(NOW) as usize..END.since(NOW) as usize)
                .step_by(RESTART_INTERVAL / plan.routers)
            {
                fleet.schedule(at as u64, Event::Restart);
            }
        }
        for router in fleet.joined..plan.routers {
            let at = TURN.since(NOW) + fleet.random.random_range(0..COLD_MS * MILLISECOND);
            fleet.schedule(at, Event::Join { router });
        }
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at >= END {
                break;
            }
            fleet.now = at;
            fleet.handle(event);
        }
        fleet.outcome
    }

    /// Returns the endpoints that are listed while a domain is dark.
    fn reachable(&self) -> Vec<ListedEndpoint> {
        let cold = self.listing.iter().zip(&self.outcome.cold);
        cold.filter(|it| !*it.1).map(|it| it.0.clone()).collect()
    }

    fn cold_list(&self) -> Vec<(Name, u32)> {
        let remaining = (COLD_MS - self.now.since(TURN) / MILLISECOND) as u32;
        let cold = self.listing.iter().zip(&self.outcome.cold).filter(|it| *it.1);
        cold.map(|it| (it.0.id.clone(), remaining)).collect()
    }

    fn new_router(&mut self, router: usize) -> Dispatcher {
        let domain = domain(["d0", "d1", "d2"][router % DOMAINS]);
        let mut dispatcher = Dispatcher::new(domain, self.random.random());
        dispatcher.set_kv_capacity(&"model".into(), Some(10_000_000));
        let Plan { rate, max, .. } = self.plan;
        let rate = ColdRate { start_ms: COLD_MS, rate, max_per_second: max };
        dispatcher.set_cold_rate(self.now, &"model".into(), Some(rate));
        dispatcher.update_endpoints(&self.listing);
        self.set_members(&mut dispatcher, router);
        dispatcher.set_evacuated(self.now, &self.evacuated);
        if self.is_listed_cold && self.now < TURN + COLD_MS * MILLISECOND {
            dispatcher.set_cold(self.now, &self.cold_list());
        }
        dispatcher
    }

    fn set_members(&mut self, dispatcher: &mut Dispatcher, router: usize) {
        let unknown = self.plan.unknown;
        let members: Vec<_> = (0..self.joined)
            .filter(|_| self.random.random_range(0..100) >= unknown)
            .map(addr)
            .collect();
        dispatcher.set_routers(self.now, addr(router), members);
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now + delay, self.scheduled, event)));
    }

    fn request(&mut self) -> DispatchRequest {
        // Prompts of three kinds, each of many texts of which a few are frequent.
        let text = if self.random.random_range(0..100) < self.plan.hot {
            0
        } else {
            let max = self.random.random_range(1..4_000_u64);
            1 + self.random.random_range(0..max)
        };
        let tokens = KINDS[text as usize % 3].0;
        let own = self.random.random();
        let parts = [PromptPart { id: text, tokens }, PromptPart { id: own, tokens: 300 }];
        let prompt = Prompt { parts: parts.into_iter().collect(), tokens: tokens + 400 };
        DispatchRequest {
            service: "model".into(),
            prompt: Some(prompt).filter(|_| !self.plan.plain),
            priority: 0,
            wait_until: self.now,
            finish_by: None,
            excluded: SmallVec::new(),
            build: None,
            regions: None,
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Send => self.send(),
            Event::Answer { router, assignment } => {
                let sent = self.assignments[assignment].clone();
                let endpoint = usize::from(sent.addr.port());
                self.loads[router][endpoint] = self.loads[router][endpoint].saturating_sub(1);
                let total = self.loads.iter().map(|it| it[endpoint]).sum();
                self.routers[router].record_reported_load(now, sent.handle, total);
                self.routers[router].finish(now, &sent, AttemptOutcome::Served, 250.0);
            }
            Event::Evacuate => {
                self.evacuated = vec![domain("d0")];
                self.routers.iter_mut().for_each(|it| it.set_evacuated(now, &[domain("d0")]));
            }
            Event::Turn => {
                for endpoint in 0..self.listing.len() {
                    if self.outcome.cold[endpoint] {
                        self.parts[endpoint].clear();
                        if self.plan.cause == Cause::Dark {
                            self.listing[endpoint].started_at_ms = Some(2);
                        }
                    }
                }
                self.evacuated.clear();
                for router in 0..self.plan.routers {
                    let hears = self.plan.cause != Cause::ControlSilent || router % 10 == 0;
                    if hears {
                        let lag = self.random.random_range(LAG);
                        self.schedule(lag, Event::Hear { router });
                    }
                }
            }
            Event::Hear { router } => {
                self.is_listed_cold = true;
                let cold = self.cold_list();
                let dispatcher = &mut self.routers[router];
                match self.plan.cause {
                    // The list comes later than the withdrawal.
                    Cause::Evacuated => dispatcher.set_evacuated(now, &[]),
                    Cause::Dark => {
                        dispatcher.update_endpoints(&self.listing);
                    }
                    Cause::Busy | Cause::ControlSilent => dispatcher.set_cold(now, &cold),
                }
                self.schedule(NEWS_DELAY, Event::Tell { router });
            }
            Event::Tell { router } => self.tell(router),
            Event::Deliver { to, message } => {
                let reports = self.messages[message].clone();
                let before = self.routers[to].cold_reports(now).len();
                self.routers[to].apply_cold_reports(now, &reports);
                if before == 0 && !self.routers[to].cold_reports(now).is_empty() {
                    self.schedule(NEWS_DELAY, Event::Tell { router: to });
                }
            }
            Event::Loads => self.share_loads(),
            Event::Restart => {
                let router = self.random.random_range(0..self.joined);
                self.loads[router].fill(0);
                self.routers[router] = self.new_router(router);
            }
            Event::Join { router } => {
                // Others learn of it within some time.
                self.joined = self.joined.max(router + 1);
                self.routers[router] = self.new_router(router);
                let mut routers = std::mem::take(&mut self.routers);
                for (at, dispatcher) in routers.iter_mut().enumerate() {
                    if self.random.random_range(0..3) == 0 {
                        self.set_members(dispatcher, at);
                    }
                }
                self.routers = routers;
            }
        }
    }

    fn send(&mut self) {
        let now = self.now;
        let request = self.request();
        let router = self.random.random_range(0..self.joined);
        self.outcome.asked += 1;
        // Plain requests run as long as the shortest prompts.
        let part = request.prompt.as_ref().map_or(2, |it| it.parts[0].id);
        let SubmitResult::Started(sent) = self.routers[router].submit(now, request) else {
            self.outcome.refused += 1;
            return;
        };
        let endpoint = usize::from(sent.addr.port());
        self.outcome.arrivals[endpoint].push(now);
        self.outcome.hits += usize::from(!self.parts[endpoint].insert(part));
        self.loads[router][endpoint] += 1;
        self.assignments.push(sent);
        let run_time = KINDS[part as usize % 3].1 * self.random.random_range(50..150) / 100;
        self.schedule(run_time, Event::Answer { router, assignment: self.assignments.len() - 1 });
    }

    fn tell(&mut self, router: usize) {
        let reports = self.routers[router].cold_reports(self.now);
        if !reports.is_empty() {
            self.messages.push(reports);
            let mut others: Vec<_> = (0..self.joined).filter(|it| *it != router).collect();
            others.shuffle(&mut self.random);
            for to in others.into_iter().take(8) {
                let is_cut =
                    self.plan.cut && router.is_multiple_of(DOMAINS) != to.is_multiple_of(DOMAINS);
                if !is_cut {
                    let delay = self.random.random_range(1..20) * MILLISECOND;
                    let message = self.messages.len() - 1;
                    self.schedule(delay, Event::Deliver { to, message });
                }
            }
        }
        self.schedule(REPORT_INTERVAL, Event::Tell { router });
    }

    /// Tells each router the load of the others, and samples the loads of warm endpoints.
    fn share_loads(&mut self) {
        let now = self.now;
        let totals: Vec<u32> = (0..self.listing.len())
            .map(|endpoint| self.loads.iter().map(|it| it[endpoint]).sum())
            .collect();
        for router in 0..self.joined {
            let loads = self.handles.iter().zip(&totals).zip(&self.loads[router]);
            let loads = loads.map(|((hash, total), own)| {
                (*hash, LoadReport { requests: total - own, tokens: 0 })
            });
            let chunk = LoadChunk { from: 0, to: u64::MAX, loads: loads.collect() };
            self.routers[router].apply_peer_report(now, Reporter::OtherDomains, &chunk);
        }
        if now < NOW + 2 * SECOND || now >= TURN + COLD_MS * MILLISECOND {
            return;
        }
        let is_before = now < TURN;
        let warm: Vec<_> = totals.iter().zip(&self.outcome.cold).filter(|it| !*it.1).collect();
        let mean = warm.iter().map(|it| f64::from(*it.0)).sum::<f64>() / warm.len() as f64;
        for (load, _) in warm {
            let excess = f64::from(*load) - 2.0 * mean;
            let most = if is_before { &mut self.outcome.before } else { &mut self.outcome.excess };
            *most = most.max(excess);
        }
    }
}

const MID: Plan = Plan {
    routers: 67,
    endpoints: 60,
    each: 6.0,
    rate: 8.0,
    max: 17.0,
    cause: Cause::Dark,
    unknown: 0,
    joining: 0,
    restarts: false,
    cut: false,
    plain: false,
    hot: 0,
    min_part: 0.5,
    seed: 1,
};
const SMALL: Plan = Plan { routers: 6, endpoints: 9, ..MID };
const LARGE: Plan = Plan { routers: 300, endpoints: 140, ..MID };
const FAST: Plan = Plan { rate: 16.0, max: 29.0, each: 7.0, ..MID };

#[rstest]
#[case::small(SMALL)]
#[case::three_endpoints(Plan { endpoints: 3, ..SMALL })]
// The few routers that use the endpoint seldom have a request at the moment when they may send it one.
#[case::three_endpoints_of_many(Plan { endpoints: 3, each: 49.0, plain: true, min_part: 0.25, ..LARGE })]
// Only the bound is checked: few prompts have a cold home at the few routers that use it.
#[case::three_model_endpoints_of_many(Plan { endpoints: 3, each: 60.0, min_part: 0.0, ..LARGE })]
#[case::three_endpoints_of_mid(Plan { endpoints: 3, each: 60.0, ..MID })]
#[case::mid(MID)]
#[case::large(LARGE)]
#[case::small_fast(Plan { routers: 6, endpoints: 9, ..FAST })]
#[case::mid_fast(FAST)]
#[case::large_fast(Plan { routers: 300, endpoints: 140, ..FAST })]
#[case::evacuated(Plan { cause: Cause::Evacuated, ..MID })]
#[case::evacuated_large(Plan { cause: Cause::Evacuated, ..LARGE })]
#[case::busy(Plan { cause: Cause::Busy, ..MID })]
#[case::busy_small(Plan { cause: Cause::Busy, ..SMALL })]
#[case::busy_large(Plan { cause: Cause::Busy, ..LARGE })]
#[case::busy_fast(Plan { cause: Cause::Busy, ..FAST })]
#[case::control_silent(Plan { cause: Cause::ControlSilent, ..MID })]
#[case::control_silent_large(Plan { cause: Cause::ControlSilent, ..LARGE })]
#[case::views_differ(Plan { unknown: 10, ..MID })]
#[case::views_differ_small(Plan { unknown: 10, ..SMALL })]
#[case::views_differ_large(Plan { unknown: 10, ..LARGE })]
#[case::views_differ_fast(Plan { unknown: 10, ..FAST })]
#[case::joining(Plan { joining: 10, ..LARGE })]
#[case::restarts(Plan { restarts: true, ..MID })]
#[case::restarts_small(Plan { restarts: true, ..SMALL })]
#[case::cut(Plan { cut: true, cause: Cause::Busy, ..MID })]
fn bound_holds_and_cold_endpoints_get_a_good_part(#[case] plan: Plan) {
    let mut failures = Vec::new();
    for seed in 1..=3 {
        let plan = Plan { seed, ..plan.clone() };
        let outcome = Fleet::run(&plan);
        let cold_ends = TURN + COLD_MS * MILLISECOND;
        // Routers that don't know that an endpoint is cold may exceed the bound.
        let is_known = matches!(plan.cause, Cause::Evacuated | Cause::Dark);
        let from = if is_known { TURN } else { KNOWN };
        let most = outcome.most(from, cold_ends);
        let early = outcome.most(TURN, KNOWN);
        let got = outcome.cold_rate(KNOWN, cold_ends);
        // Routers can't send an endpoint what others get. Those that use one are as many as three
        // quarters of the bound.
        let users = (plan.max * 0.75).floor() / plan.routers as f64;
        let seen = plan.each * f64::from(plan.endpoints) * users;
        let wanted = plan.rate.min(plan.each).min(seen);
        let summary = format!(
            "{most} in a second of {} ({early} before it is known), {got:.1}/s of {wanted}, \
             excess {:.1}, {:.1} before, refused {} of {}, hits {}, {plan:?}",
            plan.max, outcome.excess, outcome.before, outcome.refused, outcome.asked, outcome.hits
        );
        println!("{summary}");
        let is_right =
            most as f64 <= plan.max && got >= plan.min_part * wanted && outcome.refused == 0;
        if !is_right || outcome.excess > 3.0 {
            failures.push(summary);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
