//! Endpoints that take only so many requests a second from all routers together.

mod common;

use {
    common::{NOW, domain, listed, plain},
    dispatch::{
        AttemptOutcome, DispatchRequest, Dispatcher, EndpointHandle, LimitReport, SubmitResult,
    },
    model::{MILLISECOND, SECOND, Time},
    proptest::prelude::*,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr},
};

/// How long routers may take to agree, in microseconds.
const CONTACT: u64 = 3 * SECOND;

/// The length of the window in which requests are counted, in microseconds.
const WINDOW: u64 = 4 * SECOND;

/// How long an endpoint takes to answer, in microseconds.
const ANSWER_TIME: u64 = 50 * MILLISECOND;

/// How often a router tells another one what it knows, in microseconds.
const REPEAT_INTERVAL: u64 = 500 * MILLISECOND;

const DOMAINS: usize = 3;
const ENDPOINTS: u16 = 6;

fn addr(at: usize) -> SocketAddr {
    ([10, 0, 1, 1], at as u16 + 1).into()
}

/// What happens to a fleet. The first endpoint names a limit from the first second to the end of the
/// limit.
#[derive(Clone, Debug)]
struct Plan {
    routers: usize,
    /// Requests a second.
    rate: u64,
    limit: f64,
    limit_ends_s: u64,
    /// The share of datagrams that are lost, in percent.
    loss: u32,
    /// Whether the first domain's routers and the others can't reach each other.
    cut: bool,
    /// Whether a router is killed each second and starts again.
    restarts: bool,
    seconds: u64,
    seed: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Send,
    Answer { router: usize, assignment: usize, limited: bool },
    Deliver { to: usize, message: usize },
    News { router: usize },
    Repeat { router: usize },
    Restart { router: usize },
}

#[derive(Default, Debug)]
struct Outcome {
    /// When requests reached the first endpoint.
    arrivals: Vec<Time>,
    named_at: Option<Time>,
    sent: usize,
    refused: usize,
}

struct Fleet {
    plan: Plan,
    now: Time,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    scheduled: u64,
    routers: Vec<Dispatcher>,
    assignments: Vec<dispatch::Assignment>,
    messages: Vec<Vec<LimitReport>>,
    outcome: Outcome,
}

impl Fleet {
    fn run(plan: &Plan) -> Outcome {
        let mut fleet = Fleet {
            now: NOW,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            events: BinaryHeap::new(),
            scheduled: 0,
            routers: Vec::new(),
            assignments: Vec::new(),
            messages: Vec::new(),
            outcome: Outcome::default(),
            plan: plan.clone(),
        };
        for router in 0..plan.routers {
            let dispatcher = fleet.new_router(router);
            fleet.routers.push(dispatcher);
            let offset = fleet.random.random_range(0..REPEAT_INTERVAL);
            fleet.schedule(offset, Event::Repeat { router });
        }
        for _ in 0..plan.rate * plan.seconds {
            let at = fleet.random.random_range(0..plan.seconds * SECOND);
            fleet.schedule(at, Event::Send);
        }
        if plan.restarts {
            for at in 1..plan.seconds {
                let router = fleet.random.random_range(0..plan.routers);
                fleet.schedule(at * SECOND, Event::Restart { router });
            }
        }
        let end = NOW + plan.seconds * SECOND;
        while let Some(Reverse((at, _, event))) = fleet.events.pop() {
            if at >= end {
                break;
            }
            fleet.now = at;
            fleet.handle(event);
        }
        fleet.outcome
    }

    fn new_router(&self, router: usize) -> Dispatcher {
        let mut dispatcher =
            Dispatcher::new(domain(["d0", "d1", "d2"][router % DOMAINS]), router as u64);
        let listing: Vec<_> = (0..ENDPOINTS).map(|it| listed("plain", it, 1_000)).collect();
        dispatcher.update_endpoints(&listing);
        dispatcher.set_routers(self.now, addr(router), (0..self.plan.routers).map(addr));
        dispatcher
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now + delay, self.scheduled, event)));
    }

    fn tell(&mut self, from: usize, to: usize) {
        let reports = self.routers[from].limit_reports(self.now);
        let is_separated =
            self.plan.cut && from.is_multiple_of(DOMAINS) != to.is_multiple_of(DOMAINS);
        let is_lost = self.random.random_range(0..100) < self.plan.loss;
        if reports.is_empty() || is_separated || is_lost {
            return;
        }
        self.messages.push(reports);
        let delay = self.random.random_range(1..20) * MILLISECOND;
        self.schedule(delay, Event::Deliver { to, message: self.messages.len() - 1 });
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let routers = self.plan.routers;
        match event {
            Event::Send => {
                self.outcome.sent += 1;
                let router = self.random.random_range(0..routers);
                let request = DispatchRequest { wait_until: now, ..plain(now) };
                match self.routers[router].submit(now, request) {
                    SubmitResult::Started(assignment) => self.start(router, assignment),
                    SubmitResult::Queued(_) | SubmitResult::Refused { .. } => {
                        self.outcome.refused += 1;
                    }
                }
            }
            Event::Answer { router, assignment, limited } => {
                let assignment = self.assignments[assignment].clone();
                let handle: EndpointHandle = assignment.handle;
                let limit = limited.then_some(self.plan.limit);
                let change = self.routers[router].record_limit(now, handle, limit);
                let served = AttemptOutcome::Served;
                self.routers[router].finish(now, &assignment, served, 50.0);
                if change.is_some() {
                    self.schedule(20 * MILLISECOND, Event::News { router });
                }
                if limited {
                    self.outcome.named_at.get_or_insert(now);
                }
            }
            Event::Deliver { to, message } => {
                let reports = self.messages[message].clone();
                self.routers[to].apply_limit_reports(now, &reports);
            }
            Event::News { router } => {
                (0..routers).filter(|it| *it != router).for_each(|it| self.tell(router, it));
            }
            Event::Repeat { router } => {
                if routers > 1 {
                    let to = (router + self.random.random_range(1..routers)) % routers;
                    self.tell(router, to);
                }
                self.schedule(REPEAT_INTERVAL, Event::Repeat { router });
            }
            Event::Restart { router } => self.routers[router] = self.new_router(router),
        }
    }

    fn start(&mut self, router: usize, assignment: dispatch::Assignment) {
        let is_first = &*assignment.id == "plain-0";
        if is_first {
            self.outcome.arrivals.push(self.now);
        }
        let elapsed = self.now.since(NOW);
        let limited = is_first && (SECOND..self.plan.limit_ends_s * SECOND).contains(&elapsed);
        self.assignments.push(assignment);
        let assignment = self.assignments.len() - 1;
        self.schedule(ANSWER_TIME, Event::Answer { router, assignment, limited });
    }
}

fn check(plan: &Plan) -> Result<(), String> {
    let outcome = Fleet::run(plan);
    let Some(named_at) = outcome.named_at else { return Ok(()) };
    let limit_ends = NOW + plan.limit_ends_s * SECOND;
    let held: Vec<_> = outcome
        .arrivals
        .iter()
        .filter(|it| (named_at + CONTACT..limit_ends).contains(*it))
        .collect();
    let in_window =
        |at: usize| held[at..].iter().take_while(|it| ***it < *held[at] + WINDOW).count();
    let most = (0..held.len()).map(in_window).max().unwrap_or(0);
    let allowed = (1.5 * plan.limit * 4.0 + 5.0) as usize;
    let summary = format!(
        "{most} requests in a window, {allowed} allowed, {} refused of {}, {plan:?}",
        outcome.refused, outcome.sent
    );
    println!("{summary}");
    // The other endpoints have room.
    if most <= allowed && outcome.refused == 0 { Ok(()) } else { Err(summary) }
}

const SMALL: Plan = Plan {
    routers: 6,
    rate: 120,
    limit: 2.5,
    limit_ends_s: 20,
    loss: 0,
    cut: false,
    restarts: false,
    seconds: 20,
    seed: 1,
};

const LARGE: Plan = Plan { routers: 300, rate: 3_000, seconds: 14, limit_ends_s: 14, ..SMALL };

#[rstest]
#[case::small(SMALL)]
#[case::one_router(Plan { routers: 1, ..SMALL })]
#[case::datagrams_lost(Plan { loss: 30, ..SMALL })]
#[case::domain_cut_off(Plan { cut: true, ..SMALL })]
#[case::low(Plan { limit: 0.2, ..SMALL })]
#[case::zero(Plan { limit: 0.0, ..SMALL })]
#[case::high(Plan { limit: 15.0, rate: 600, ..SMALL })]
#[case::restarts(Plan { restarts: true, ..SMALL })]
#[case::large(LARGE)]
#[case::large_datagrams_lost(Plan { loss: 30, ..LARGE })]
#[case::large_domain_cut_off(Plan { cut: true, ..LARGE })]
#[case::large_high(Plan { limit: 60.0, ..LARGE })]
fn limit_holds_for_all_routers_together(#[case] plan: Plan) {
    if let Err(err) = check(&plan) {
        panic!("{err}");
    }
}

#[rstest]
#[case::small(Plan { limit_ends_s: 10, ..SMALL })]
#[case::zero(Plan { limit: 0.0, limit_ends_s: 10, seconds: 30, ..SMALL })]
#[case::datagrams_lost(Plan { limit_ends_s: 10, loss: 30, ..SMALL })]
#[case::large(Plan { limit_ends_s: 8, seconds: 14, ..LARGE })]
fn endpoint_is_used_as_before_once_it_names_no_limit(#[case] plan: Plan) {
    let outcome = Fleet::run(&plan);
    let last = NOW + (plan.seconds - 2) * SECOND;
    let late = outcome.arrivals.iter().filter(|it| **it >= last).count() as f64;
    let fair = (plan.rate * 2) as f64 / f64::from(ENDPOINTS);
    assert!(late >= fair / 2.0, "{late} requests in 2 s, {fair} would be fair");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Whatever the size, limit and faults, all routers together keep to the limit.
    #[test]
    fn limit_holds_in_any_fleet(
        routers in 1_usize..14,
        rate in 30_u64..400,
        limit in 0.0_f64..20.0,
        loss in 0_u32..40,
        cut: bool,
        seed: u64,
    ) {
        let plan = Plan { routers, rate, limit, loss, cut, seed, ..SMALL };
        check(&plan).map_err(TestCaseError::fail)?;
    }
}
