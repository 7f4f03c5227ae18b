//! The queue before one endpoint.

use {
    crate::drain::Drain,
    derive_more::Debug,
    model::{MILLISECOND, Reason, Refusal, RequestId, TeamId, Time, Work},
    smallvec::SmallVec,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, VecDeque},
    },
};

/// Parts of one unit of work that service is counted in, so that division by weights loses little.
const UNIT: u128 = 1 << 20;

/// The shortest time to come back, in milliseconds.
const RETRY_MIN_MS: u32 = 50;

/// The longest time to come back, in milliseconds.
const RETRY_MAX_MS: u32 = 60_000;

/// Settings of a queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueueConfig {
    /// Requests that may wait in all.
    pub capacity: usize,
    /// Units of work a second that the endpoint is taken to do until it was seen.
    pub initial_rate: u64,
}

impl Default for QueueConfig {
    fn default() -> QueueConfig {
        QueueConfig { capacity: 4_096, initial_rate: 10_000 }
    }
}

/// A request that asks for room.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueuedRequest {
    /// Its id.
    pub request: RequestId,
    /// Whose it is.
    pub team: TeamId,
    /// The team's weight; zero counts as one.
    pub weight: u32,
    /// Requests of the team that may wait here.
    pub max_queued: u32,
    /// Its priority within the team; higher goes first.
    pub priority: u8,
    /// The work that it brings.
    pub cost: Work,
    /// When its answer must have begun.
    pub deadline: Time,
}

/// What an endpoint can take now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Capacity {
    /// The work that fits inside the bound.
    pub work: Work,
    /// Whether one request may start whatever its cost, because nothing runs.
    pub idle: bool,
}

/// Requests that start, in order, with their costs.
pub type DispatchedRequests = SmallVec<[(RequestId, Work); 4]>;

/// Requests waiting for one endpoint, started in the order of weighted max-min fair sharing.
///
/// Start-time fair queueing: the virtual time is the start tag of the request started last, a team's next request is
/// tagged with the later of that and the team's own finish tag, and a start moves the finish tag on by cost / weight.
/// The smallest tag goes first. So a team that sent little waits for at most one request of each other team, however
/// many these have waiting. A request that does not fit is not overtaken: otherwise small ones would starve it.
#[derive(Clone, Debug)]
pub struct FairQueue {
    config: QueueConfig,
    drain: Drain,
    /// The virtual time.
    clock: u128,
    teams: HashMap<TeamId, Lane>,
    /// Teams with waiting requests by their next start tag.
    order: BTreeSet<(u128, TeamId)>,
    /// Teams without waiting requests whose finish tag is ahead of the virtual time, by that tag.
    parked: BTreeSet<(u128, TeamId)>,
    waiting: HashMap<RequestId, (TeamId, Slot)>,
    deadlines: BTreeSet<(Time, RequestId)>,
    backlog: u128,
    weights: u64,
    serial: u64,
}

/// The place of a request in its team's lane: higher priority first, then in order of arrival.
type Slot = (Reverse<u8>, u64);

#[derive(Clone, Debug)]
struct Lane {
    weight: u32,
    /// The virtual time at which the work that it started is paid off.
    finish: u128,
    /// Its key in the order while requests wait.
    tag: u128,
    backlog: u128,
    /// In the order of the slots; requests mostly come at the end and leave at the front.
    queue: VecDeque<(Slot, QueuedRequest)>,
}

impl FairQueue {
    /// Returns an empty queue.
    pub fn new(now: Time, config: QueueConfig) -> FairQueue {
        FairQueue {
            config,
            drain: Drain::new(now, config.initial_rate),
            clock: 0,
            teams: HashMap::new(),
            order: BTreeSet::new(),
            parked: BTreeSet::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            backlog: 0,
            weights: 0,
            serial: 0,
        }
    }

    /// Takes a request in; [`FairQueue::dispatch`] starts it.
    ///
    /// # Errors
    ///
    /// Its deadline cannot be met, or too many requests wait: the refusal says when to come back.
    pub fn enqueue(&mut self, now: Time, waiting: QueuedRequest) -> Result<(), Refusal> {
        if self.waiting.contains_key(&waiting.request) {
            return Err(Refusal::not_run(Reason::InProgress, self.retry_ms(0)));
        }
        if waiting.deadline <= now {
            return Err(Refusal::not_run(Reason::Deadline, 0));
        }
        let wait = self.wait(&waiting);
        let queued = self.teams.get(&waiting.team).map_or(0, |it| it.queue.len());
        if queued >= waiting.max_queued as usize {
            return Err(Refusal::not_run(Reason::TeamLimit, self.retry_ms(wait)));
        }
        let full = self.waiting.len() >= self.config.capacity;
        if full || now + wait > waiting.deadline {
            let over = wait.saturating_sub(waiting.deadline.since(now));
            return Err(Refusal::not_run(Reason::Overloaded, self.retry_ms(over)));
        }
        if self.waiting.is_empty() {
            self.drain.begin(now);
        }
        self.insert(waiting);
        Ok(())
    }

    /// Starts what fits, in fair order, and takes it out of the queue.
    ///
    /// A request whose deadline passed stops the starts until [`FairQueue::expire`] took it out.
    pub fn dispatch(&mut self, now: Time, room: Capacity) -> DispatchedRequests {
        let mut starts = DispatchedRequests::new();
        if room.idle && self.is_empty() {
            self.reset();
        }
        let (mut left, mut idle) = (room.work, room.idle);
        while let Some(&(tag, team)) = self.order.first() {
            let Some(next) = self.teams.get(&team).and_then(Lane::first) else { break };
            if next.deadline <= now {
                break;
            }
            if next.cost > left && !idle {
                break;
            }
            let (request, cost) = (next.request, next.cost);
            self.remove(request, true);
            self.advance(tag);
            left = left.saturating_sub(cost);
            idle = false;
            starts.push((request, cost));
        }
        starts
    }

    /// Takes out the requests whose deadline passed.
    pub fn expire(&mut self, now: Time) -> SmallVec<[(RequestId, Refusal); 4]> {
        let mut refused = SmallVec::new();
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.remove(request, false);
            let retry_ms = self.retry_ms(self.drain.micros(self.backlog));
            refused.push((request, Refusal::not_run(Reason::Deadline, retry_ms)));
        }
        refused
    }

    /// Takes out a request whose caller went away; returns whether it was waiting.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        self.remove(request, false)
    }

    /// Counts work that ended on the endpoint, from which the drain rate is learned.
    pub fn record_completed(&mut self, now: Time, work: Work) {
        let busy = !self.waiting.is_empty();
        self.drain.ended(now, work, busy);
    }

    /// The earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Time {
        self.deadlines.first().map_or(Time::NEVER, |it| it.0)
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The work that waits.
    pub fn backlog(&self) -> Work {
        Work(u64::try_from(self.backlog).unwrap_or(u64::MAX))
    }

    /// Microseconds that a request would wait: its team's backlog and itself at the team's share of the drain rate,
    /// less itself at the whole rate; at most the whole backlog.
    fn wait(&self, waiting: &QueuedRequest) -> u64 {
        let (weight, cost) = (u64::from(waiting.weight.max(1)), u128::from(waiting.cost.0));
        let lane = self.teams.get(&waiting.team).filter(|it| !it.queue.is_empty());
        let own = lane.map_or(0, |it| it.backlog) + cost;
        let others = self.weights - lane.map_or(0, |it| u64::from(it.weight));
        let shared = own.saturating_mul(u128::from(others + weight)) / u128::from(weight);
        self.drain.micros(shared.saturating_sub(cost).min(self.backlog))
    }

    fn retry_ms(&self, micros: u64) -> u32 {
        let millis = u32::try_from(micros.div_ceil(MILLISECOND)).unwrap_or(u32::MAX);
        millis.clamp(RETRY_MIN_MS, RETRY_MAX_MS)
    }

    fn insert(&mut self, waiting: QueuedRequest) {
        self.serial += 1;
        let slot = (Reverse(waiting.priority), self.serial);
        let lane = self.teams.entry(waiting.team).or_insert_with(Lane::new);
        if lane.queue.is_empty() {
            self.parked.remove(&(lane.finish, waiting.team));
            lane.weight = waiting.weight.max(1);
            lane.tag = lane.finish.max(self.clock);
            self.weights += u64::from(lane.weight);
            self.order.insert((lane.tag, waiting.team));
        }
        lane.backlog += u128::from(waiting.cost.0);
        lane.insert(slot, waiting);
        self.backlog += u128::from(waiting.cost.0);
        self.deadlines.insert((waiting.deadline, waiting.request));
        self.waiting.insert(waiting.request, (waiting.team, slot));
    }

    /// Takes a request out; one that starts is charged to its team.
    fn remove(&mut self, request: RequestId, started: bool) -> bool {
        let Some((team, slot)) = self.waiting.remove(&request) else { return false };
        let Some(lane) = self.teams.get_mut(&team) else { return false };
        let Some(waiting) = lane.remove(slot) else { return false };
        let cost = u128::from(waiting.cost.0);
        self.deadlines.remove(&(waiting.deadline, request));
        self.backlog -= cost;
        lane.backlog -= cost;
        if started {
            self.order.remove(&(lane.tag, team));
            lane.finish = lane.tag + cost.max(1) * UNIT / u128::from(lane.weight);
            lane.tag = lane.finish;
            self.order.insert((lane.tag, team));
        }
        if lane.queue.is_empty() {
            self.order.remove(&(lane.tag, team));
            self.weights -= u64::from(lane.weight);
            if lane.finish > self.clock {
                self.parked.insert((lane.finish, team));
            } else {
                self.teams.remove(&team);
            }
        }
        true
    }

    /// Moves the virtual time on and forgets the teams that it caught up with.
    fn advance(&mut self, clock: u128) {
        self.clock = self.clock.max(clock);
        while let Some(&(finish, team)) = self.parked.first() {
            if finish > self.clock {
                break;
            }
            self.parked.pop_first();
            self.teams.remove(&team);
        }
    }

    /// Begins a new busy period: nothing runs and nothing waits, so no team owes anything.
    fn reset(&mut self) {
        self.clock = 0;
        self.teams.clear();
        self.parked.clear();
    }
}

impl Lane {
    fn new() -> Lane {
        Lane { weight: 1, finish: 0, tag: 0, backlog: 0, queue: VecDeque::new() }
    }

    fn first(&self) -> Option<&QueuedRequest> {
        self.queue.front().map(|(_, it)| it)
    }

    fn insert(&mut self, slot: Slot, waiting: QueuedRequest) {
        let at = self.queue.partition_point(|it| it.0 < slot);
        self.queue.insert(at, (slot, waiting));
    }

    fn remove(&mut self, slot: Slot) -> Option<QueuedRequest> {
        let at = self.queue.binary_search_by_key(&slot, |it| it.0).ok()?;
        self.queue.remove(at).map(|(_, it)| it)
    }
}
