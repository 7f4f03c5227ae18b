//! Measures the queue before an endpoint: its speed and size at the number of teams of a large fleet, and the waits of
//! other teams while three teams surge, in fair order and in order of arrival, in one run with one seed.

#![allow(clippy::disallowed_methods, reason = "a benchmark reads clocks")]

use {
    admission::{Capacity, FairQueue, QueueConfig, QueuedRequest},
    model::{MILLISECOND, RequestId, SECOND, TeamId, Time, Work},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        fs,
        time::Instant,
    },
};

const SEED: u64 = 1;
const TEAMS: u32 = 12_000;
const ROUNDS: u128 = 1_000_000;

/// Bytes of a page of memory.
const PAGE: u64 = 4_096;

fn main() {
    println!("seed {SEED}");
    // Size first: memory that was freed before would hide what the queue takes.
    [4_096, 200_000].into_iter().for_each(size);
    [4_096, 200_000].into_iter().for_each(speed);
    for surge in [1.0, 4.0, 16.0] {
        let fair = run(surge, Order::Fair);
        let fifo = run(surge, Order::Arrival);
        println!("surge x{surge}: {}", fair.line("fair"));
        println!("surge x{surge}: {}", fifo.line("fifo"));
    }
}

fn waiting(request: u128, team: u32, cost: u64, deadline: Time) -> QueuedRequest {
    QueuedRequest {
        request: RequestId(request),
        team: TeamId(team),
        weight: 1,
        max_queued: u32::MAX,
        priority: 0,
        cost: Work(cost),
        deadline,
    }
}

/// Offers requests of random teams, costs and deadlines.
struct Offers {
    random: ChaCha8Rng,
    request: u128,
}

impl Offers {
    fn new() -> Offers {
        Offers { random: ChaCha8Rng::seed_from_u64(SEED), request: 0 }
    }

    fn offer(&mut self, queue: &mut FairQueue) {
        self.request += 1;
        let random = &mut self.random;
        let (team, cost) = (random.random_range(0..TEAMS), random.random_range(1..4_000));
        let deadline = Time(SECOND * random.random_range(10..100));
        let offered = waiting(self.request, team, cost, deadline);
        queue.enqueue(Time(1), offered).expect("room in the queue");
    }
}

/// Fills a queue and prints what it takes.
fn size(length: u128) {
    let mut offers = Offers::new();
    let config = QueueConfig { capacity: usize::MAX, initial_rate: u64::MAX / 2 };
    let mut queue = FairQueue::new(Time(1), config);
    let before = resident();
    (0..length).for_each(|_| offers.offer(&mut queue));
    let bytes = resident().saturating_sub(before) / length as u64;
    println!(
        "{TEAMS} teams, {length} waiting: {bytes} resident bytes a waiting request, teams included"
    );
}

/// Fills a queue, then starts and offers one request a round.
fn speed(length: u128) {
    let mut offers = Offers::new();
    let config = QueueConfig { capacity: usize::MAX, initial_rate: u64::MAX / 2 };
    let mut queue = FairQueue::new(Time(1), config);
    (0..length).for_each(|_| offers.offer(&mut queue));
    let began = Instant::now();
    for _ in 0..ROUNDS {
        let starts = queue.dispatch(Time(1), Capacity { work: Work(0), idle: true });
        assert_eq!(starts.len(), 1);
        offers.offer(&mut queue);
    }
    let nanos = began.elapsed().as_nanos() / ROUNDS;
    println!(
        "{TEAMS} teams, {length} waiting: {nanos} ns for a start and an offer ({} a second)",
        2_000_000_000 / nanos
    );
}

/// Memory of this process that is resident, in bytes.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// In which order requests start.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Order {
    Fair,
    Arrival,
}

/// Teams that surge.
const SURGING: u32 = 3;

/// All teams of the simulated endpoint.
const CALLING: u32 = 10;

/// Requests that run at once on it.
const SLOTS: usize = 32;

/// Units of work that one running request gets done a second.
const SLOT_RATE: u64 = 100;

/// Simulated time.
const SPAN: u64 = 600 * SECOND;

/// How long a caller waits for the start of its answer.
const PATIENCE: u64 = 20 * SECOND;

#[derive(Default)]
struct Outcome {
    /// Microseconds that the requests of other teams waited.
    waits: Vec<u64>,
    /// Requests of other teams that were refused.
    refused: usize,
    started: usize,
}

impl Outcome {
    fn line(mut self, name: &str) -> String {
        self.waits.sort_unstable();
        let at =
            |share: usize| self.waits[(self.waits.len() * share / 100).min(self.waits.len() - 1)];
        format!(
            "{name}: other teams wait p50 {} ms, p95 {} ms, p99 {} ms, {} of {} refused; {} started in all",
            at(50) / MILLISECOND,
            at(95) / MILLISECOND,
            at(99) / MILLISECOND,
            self.refused,
            self.waits.len() + self.refused,
            self.started
        )
    }
}

/// One arrival: when, whose, and its work.
type Arrival = (Time, u32, u64);

/// Arrivals at 60% of what the endpoint can do; three teams send `surge` times their share.
fn arrivals(surge: f64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mean = 505.0;
    let share = 0.6 * (SLOTS as u64 * SLOT_RATE) as f64 / mean / f64::from(CALLING);
    let mut all = Vec::new();
    for team in 0..CALLING {
        let rate = if team < SURGING { share * surge } else { share };
        let mut at = 0.0;
        loop {
            at += -random.random::<f64>().max(1e-9).ln() / rate;
            if at > (SPAN / SECOND) as f64 {
                break;
            }
            all.push((Time((at * SECOND as f64) as u64), team, random.random_range(10..1_000)));
        }
    }
    all.sort_unstable();
    all
}

fn run(surge: f64, order: Order) -> Outcome {
    let mut endpoint = Simulated::new(order, arrivals(surge));
    for at in 0..endpoint.arrivals.len() {
        let now = endpoint.arrivals[at].0;
        endpoint.advance(now);
        endpoint.offer(now, at);
        endpoint.fill(now);
    }
    endpoint.advance(Time::NEVER);
    endpoint.outcome
}

/// An endpoint with a queue in one of the two orders.
struct Simulated {
    order: Order,
    arrivals: Vec<Arrival>,
    fair: FairQueue,
    fifo: VecDeque<usize>,
    /// When running requests end, and with how much work.
    running: BinaryHeap<Reverse<(Time, u64)>>,
    outcome: Outcome,
}

impl Simulated {
    fn new(order: Order, arrivals: Vec<Arrival>) -> Simulated {
        let config = QueueConfig { capacity: 4_096, initial_rate: SLOTS as u64 * SLOT_RATE };
        Simulated {
            order,
            arrivals,
            fair: FairQueue::new(Time(0), config),
            fifo: VecDeque::new(),
            running: BinaryHeap::new(),
            outcome: Outcome::default(),
        }
    }

    fn offer(&mut self, now: Time, at: usize) {
        let (_, team, cost) = self.arrivals[at];
        let taken = match self.order {
            Order::Fair => {
                let offered = waiting(at as u128, team, cost, now + PATIENCE);
                self.fair.enqueue(now, offered).is_ok()
            }
            Order::Arrival => {
                self.fifo.push_back(at);
                self.fifo.len() <= 4_096
            }
        };
        if !taken {
            self.refuse(at);
        }
    }

    fn refuse(&mut self, at: usize) {
        if self.arrivals[at].1 >= SURGING {
            self.outcome.refused += 1;
        }
    }

    /// Ends what has run until `now`, filling each slot that becomes free.
    fn advance(&mut self, now: Time) {
        while let Some(&Reverse((end, work))) = self.running.peek() {
            if end > now {
                break;
            }
            self.running.pop();
            self.fair.record_completed(end, Work(work));
            self.fill(end);
        }
    }

    fn fill(&mut self, now: Time) {
        while self.running.len() < SLOTS
            && let Some(at) = self.next(now)
        {
            let (came, team, cost) = self.arrivals[at];
            self.running.push(Reverse((now + cost * SECOND / SLOT_RATE, cost)));
            self.outcome.started += 1;
            if team >= SURGING {
                self.outcome.waits.push(now.since(came));
            }
        }
    }

    fn next(&mut self, now: Time) -> Option<usize> {
        if self.order == Order::Fair {
            for (request, _) in self.fair.expire(now) {
                self.refuse(request.0 as usize);
            }
            let starts = self.fair.dispatch(now, Capacity { work: Work(0), idle: true });
            return starts.first().map(|it| it.0.0 as usize);
        }
        while let Some(at) = self.fifo.pop_front() {
            if self.arrivals[at].0 + PATIENCE > now {
                return Some(at);
            }
            self.refuse(at);
        }
        None
    }
}
