//! Measures the queue of an endpoint in one run with one seed: its speed and memory use with the number of teams of a
//! large fleet, and the waiting times of other teams while three teams send a surge of requests, in fair order and in
//! order of arrival.

#![allow(clippy::disallowed_methods, reason = "a benchmark measures wall-clock time")]

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

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    println!("seed {SEED}");
    // Measured first, because the queue could reuse memory freed by the other measurements.
    [4_096, 200_000].into_iter().for_each(measure_memory);
    [4_096, 200_000].into_iter().for_each(measure_speed);
    for surge in [1.0, 4.0, 16.0] {
        let fair = simulate(surge, Order::Fair);
        let fifo = simulate(surge, Order::Arrival);
        println!("surge x{surge}: {}", fair.summary("fair"));
        println!("surge x{surge}: {}", fifo.summary("fifo"));
    }
}

fn queued_request(request: u128, team: u32, cost: u64, deadline: Time) -> QueuedRequest {
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

/// Enqueues requests with random teams, costs and deadlines.
struct RequestSource {
    random: ChaCha8Rng,
    request: u128,
}

impl RequestSource {
    fn new() -> RequestSource {
        RequestSource { random: ChaCha8Rng::seed_from_u64(SEED), request: 0 }
    }

    fn enqueue(&mut self, queue: &mut FairQueue) {
        self.request += 1;
        let random = &mut self.random;
        let (team, cost) = (random.random_range(0..TEAMS), random.random_range(1..4_000));
        let deadline = Time(SECOND * random.random_range(10..100));
        let queued = queued_request(self.request, team, cost, deadline);
        queue.enqueue(Time(1), queued).expect("the queue is full");
    }
}

/// Fills a queue and prints its memory use.
fn measure_memory(length: u128) {
    let mut source = RequestSource::new();
    let config = QueueConfig { capacity: usize::MAX, initial_rate: u64::MAX / 2 };
    let mut queue = FairQueue::new(Time(1), config);
    let before = resident_bytes();
    (0..length).for_each(|_| source.enqueue(&mut queue));
    let bytes = resident_bytes().saturating_sub(before) / length as u64;
    println!(
        "{TEAMS} teams, {length} waiting: {bytes} resident bytes per request, including teams"
    );
}

/// Fills a queue, then dispatches and enqueues one request per round, and prints the time of a round.
fn measure_speed(length: u128) {
    let mut source = RequestSource::new();
    let config = QueueConfig { capacity: usize::MAX, initial_rate: u64::MAX / 2 };
    let mut queue = FairQueue::new(Time(1), config);
    (0..length).for_each(|_| source.enqueue(&mut queue));
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let dispatched = queue.dispatch(Time(1), Capacity { work: Work(0), idle: true });
        assert_eq!(dispatched.len(), 1);
        source.enqueue(&mut queue);
    }
    let nanos = started.elapsed().as_nanos() / ROUNDS;
    println!(
        "{TEAMS} teams, {length} waiting: {nanos} ns to dispatch and enqueue ({} operations/s)",
        2_000_000_000 / nanos
    );
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Order in which requests start.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Order {
    Fair,
    Arrival,
}

/// Number of teams that send a surge of requests.
const SURGING_TEAMS: u32 = 3;

/// Total number of teams that use the simulated endpoint.
const TOTAL_TEAMS: u32 = 10;

/// Requests that the simulated endpoint runs concurrently.
const SLOTS: usize = 32;

/// Units of work per second that are completed for each running request.
const SLOT_RATE: u64 = 100;

/// Duration of the simulated arrivals, in microseconds.
const DURATION: u64 = 600 * SECOND;

/// Time in which the response of a request must start, in microseconds.
const START_TIMEOUT: u64 = 20 * SECOND;

#[derive(Default)]
struct Outcome {
    /// Microseconds that each request of the other teams waited.
    waits: Vec<u64>,
    /// Number of requests of the other teams that were refused.
    refused: usize,
    started: usize,
}

impl Outcome {
    fn summary(mut self, name: &str) -> String {
        self.waits.sort_unstable();
        let percentile = |percent: usize| {
            self.waits[(self.waits.len() * percent / 100).min(self.waits.len() - 1)]
        };
        format!(
            "{name}: other teams wait p50 {} ms, p95 {} ms, p99 {} ms, {} of {} refused; {} started in total",
            percentile(50) / MILLISECOND,
            percentile(95) / MILLISECOND,
            percentile(99) / MILLISECOND,
            self.refused,
            self.waits.len() + self.refused,
            self.started
        )
    }
}

/// Arrival of a request: its time, team and work.
type Arrival = (Time, u32, u64);

/// Arrivals at 60% of the capacity of the endpoint; three teams send `surge` times their share.
fn arrivals(surge: f64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mean = 505.0;
    let share = 0.6 * (SLOTS as u64 * SLOT_RATE) as f64 / mean / f64::from(TOTAL_TEAMS);
    let mut all = Vec::new();
    for team in 0..TOTAL_TEAMS {
        let rate = if team < SURGING_TEAMS { share * surge } else { share };
        let mut seconds = 0.0;
        loop {
            seconds += -random.random::<f64>().max(1e-9).ln() / rate;
            if seconds > (DURATION / SECOND) as f64 {
                break;
            }
            all.push((
                Time((seconds * SECOND as f64) as u64),
                team,
                random.random_range(10..1_000),
            ));
        }
    }
    all.sort_unstable();
    all
}

fn simulate(surge: f64, order: Order) -> Outcome {
    let mut endpoint = SimulatedEndpoint::new(order, arrivals(surge));
    for index in 0..endpoint.arrivals.len() {
        let now = endpoint.arrivals[index].0;
        endpoint.advance(now);
        endpoint.enqueue(now, index);
        endpoint.fill(now);
    }
    endpoint.advance(Time::NEVER);
    endpoint.outcome
}

/// A simulated endpoint with a queue of either order.
struct SimulatedEndpoint {
    order: Order,
    arrivals: Vec<Arrival>,
    fair: FairQueue,
    fifo: VecDeque<usize>,
    /// Running requests, by the time at which they end, with their work.
    running: BinaryHeap<Reverse<(Time, u64)>>,
    outcome: Outcome,
}

impl SimulatedEndpoint {
    fn new(order: Order, arrivals: Vec<Arrival>) -> SimulatedEndpoint {
        let config = QueueConfig { capacity: 4_096, initial_rate: SLOTS as u64 * SLOT_RATE };
        SimulatedEndpoint {
            order,
            arrivals,
            fair: FairQueue::new(Time(0), config),
            fifo: VecDeque::new(),
            running: BinaryHeap::new(),
            outcome: Outcome::default(),
        }
    }

    fn enqueue(&mut self, now: Time, index: usize) {
        let (_, team, cost) = self.arrivals[index];
        let accepted = match self.order {
            Order::Fair => {
                let queued = queued_request(index as u128, team, cost, now + START_TIMEOUT);
                self.fair.enqueue(now, queued).is_ok()
            }
            Order::Arrival => {
                self.fifo.push_back(index);
                self.fifo.len() <= 4_096
            }
        };
        if !accepted {
            self.refuse(index);
        }
    }

    fn refuse(&mut self, index: usize) {
        if self.arrivals[index].1 >= SURGING_TEAMS {
            self.outcome.refused += 1;
        }
    }

    /// Completes the requests that end by `now`, filling each slot that becomes free.
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
            && let Some(index) = self.next_request(now)
        {
            let (arrived, team, cost) = self.arrivals[index];
            self.running.push(Reverse((now + cost * SECOND / SLOT_RATE, cost)));
            self.outcome.started += 1;
            if team >= SURGING_TEAMS {
                self.outcome.waits.push(now.since(arrived));
            }
        }
    }

    fn next_request(&mut self, now: Time) -> Option<usize> {
        if self.order == Order::Fair {
            for (request, _) in self.fair.expire(now) {
                self.refuse(request.0 as usize);
            }
            let dispatched = self.fair.dispatch(now, Capacity { work: Work(0), idle: true });
            return dispatched.first().map(|it| it.0.0 as usize);
        }
        while let Some(index) = self.fifo.pop_front() {
            if self.arrivals[index].0 + START_TIMEOUT > now {
                return Some(index);
            }
            self.refuse(index);
        }
        None
    }
}
