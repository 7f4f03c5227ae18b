//! Weighted fair queue of the requests that wait for an endpoint.

use {
    crate::drain_rate::DrainRate,
    derive_more::Debug,
    model::{MILLISECOND, Reason, Refusal, RequestId, TeamId, Time, Work},
    smallvec::SmallVec,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, VecDeque},
    },
};

/// Virtual time per unit of work at weight one; large, so that the division by weights loses little precision.
const VIRTUAL_TIME_SCALE: u128 = 1 << 20;

/// Minimum retry time of a refusal, in milliseconds.
const MIN_RETRY_MS: u32 = 50;

/// Maximum retry time of a refusal, in milliseconds.
const MAX_RETRY_MS: u32 = 60_000;

/// Configuration of a [`FairQueue`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueueConfig {
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Assumed work per second of the endpoint until it is measured.
    pub initial_rate: u64,
}

impl Default for QueueConfig {
    fn default() -> QueueConfig {
        QueueConfig { capacity: 4_096, initial_rate: 10_000 }
    }
}

/// A request to enqueue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueuedRequest {
    /// ID of the request.
    pub request: RequestId,
    /// Team that sent the request.
    pub team: TeamId,
    /// Weight of the team; zero counts as one.
    pub weight: u32,
    /// Maximum number of requests of the team that may wait in this queue.
    pub max_queued: u32,
    /// Priority within the team; requests with a higher value go first.
    pub priority: u8,
    /// Estimated work of the request.
    pub cost: Work,
    /// Time by which the response must have started.
    pub deadline: Time,
}

/// Free capacity of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Capacity {
    /// Work that may be started within the limit of the endpoint.
    pub work: Work,
    /// Whether nothing runs, so that one request may start regardless of its cost.
    pub idle: bool,
}

/// Requests to start, in order, with their costs.
pub type DispatchedRequests = SmallVec<[(RequestId, Work); 4]>;

/// Requests waiting for one endpoint, started in the order of weighted max-min fair sharing.
///
/// Implements start-time fair queueing. The virtual time is the start tag of the request that was started last. The
/// start tag of a team's next request is the maximum of the virtual time and the finish tag of the team; starting the
/// request sets the finish tag to its start tag plus cost / weight. The request with the smallest start tag goes first.
/// So a team that was idle waits for at most one request of each other team, however many of them are queued. A request
/// that does not fit blocks those behind it; otherwise a stream of small requests could starve it.
#[derive(Clone, Debug)]
pub struct FairQueue {
    config: QueueConfig,
    drain_rate: DrainRate,
    /// Start tag of the request that was started last, in units of [`VIRTUAL_TIME_SCALE`].
    virtual_time: u128,
    teams: HashMap<TeamId, TeamQueue>,
    /// Teams with waiting requests, by start tag.
    by_start_tag: BTreeSet<(u128, TeamId)>,
    /// Teams without waiting requests whose finish tag is ahead of the virtual time, by finish tag.
    idle_by_finish_tag: BTreeSet<(u128, TeamId)>,
    waiting: HashMap<RequestId, (TeamId, QueueKey)>,
    deadlines: BTreeSet<(Time, RequestId)>,
    backlog: u128,
    waiting_weight: u64,
    last_sequence: u64,
}

/// Sort key of a request in the queue of its team: higher priority first, then order of arrival.
type QueueKey = (Reverse<u8>, u64);

#[derive(Clone, Debug)]
struct TeamQueue {
    weight: u32,
    /// Virtual time at which the started requests of the team are paid for.
    finish_tag: u128,
    /// Start tag of the next request, while requests wait.
    start_tag: u128,
    backlog: u128,
    /// Sorted by key; requests are mostly inserted at the back and removed at the front.
    queue: VecDeque<(QueueKey, QueuedRequest)>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(now: Time, config: QueueConfig) -> FairQueue {
        FairQueue {
            config,
            drain_rate: DrainRate::new(now, config.initial_rate),
            virtual_time: 0,
            teams: HashMap::new(),
            by_start_tag: BTreeSet::new(),
            idle_by_finish_tag: BTreeSet::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            backlog: 0,
            waiting_weight: 0,
            last_sequence: 0,
        }
    }

    /// Adds a request to the queue, to be started by [`FairQueue::dispatch`].
    ///
    /// # Errors
    ///
    /// The request waits already, its deadline cannot be met, or too many requests wait; the refusal has a retry time.
    pub fn enqueue(&mut self, now: Time, queued: QueuedRequest) -> Result<(), Refusal> {
        if self.waiting.contains_key(&queued.request) {
            return Err(Refusal::not_run(Reason::InProgress, self.retry_ms(0)));
        }
        if queued.deadline <= now {
            return Err(Refusal::not_run(Reason::Deadline, 0));
        }
        let wait = self.expected_wait(&queued);
        let team_queued = self.teams.get(&queued.team).map_or(0, |it| it.queue.len());
        if team_queued >= queued.max_queued as usize {
            return Err(Refusal::not_run(Reason::TeamLimit, self.retry_ms(wait)));
        }
        let full = self.waiting.len() >= self.config.capacity;
        if full || now + wait > queued.deadline {
            let excess = wait.saturating_sub(queued.deadline.since(now));
            return Err(Refusal::not_run(Reason::Overloaded, self.retry_ms(excess)));
        }
        if self.waiting.is_empty() {
            self.drain_rate.restart_interval(now);
        }
        self.insert(queued);
        Ok(())
    }

    /// Removes and returns the requests that fit into the available capacity, in fair order.
    ///
    /// A request whose deadline passed blocks those behind it until [`FairQueue::expire`] removes it.
    pub fn dispatch(&mut self, now: Time, available: Capacity) -> DispatchedRequests {
        let mut dispatched = DispatchedRequests::new();
        if available.idle && self.is_empty() {
            self.start_busy_period();
        }
        let (mut remaining, mut idle) = (available.work, available.idle);
        while let Some(&(start_tag, team)) = self.by_start_tag.first() {
            let Some(next) = self.teams.get(&team).and_then(TeamQueue::first) else { break };
            if next.deadline <= now {
                break;
            }
            if next.cost > remaining && !idle {
                break;
            }
            let (request, cost) = (next.request, next.cost);
            self.remove(request, true);
            self.advance(start_tag);
            remaining = remaining.saturating_sub(cost);
            idle = false;
            dispatched.push((request, cost));
        }
        dispatched
    }

    /// Removes the requests whose deadline passed and returns them with their refusals.
    pub fn expire(&mut self, now: Time) -> SmallVec<[(RequestId, Refusal); 4]> {
        let mut refused = SmallVec::new();
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.remove(request, false);
            let retry_ms = self.retry_ms(self.drain_rate.time_for(self.backlog));
            refused.push((request, Refusal::not_run(Reason::Deadline, retry_ms)));
        }
        refused
    }

    /// Removes a request whose caller disconnected; returns whether it was waiting.
    pub fn cancel(&mut self, request: RequestId) -> bool {
        self.remove(request, false)
    }

    /// Records work that was completed by the endpoint, to update the drain rate.
    pub fn record_completed(&mut self, now: Time, work: Work) {
        let backlogged = !self.waiting.is_empty();
        self.drain_rate.record_completed(now, work, backlogged);
    }

    /// The earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Time {
        self.deadlines.first().map_or(Time::NEVER, |it| it.0)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Total work of the waiting requests.
    pub fn backlog(&self) -> Work {
        Work(u64::try_from(self.backlog).unwrap_or(u64::MAX))
    }

    /// Expected wait of a request in microseconds: the time for its team's backlog and itself at the team's share of
    /// the drain rate, minus the time for itself at the full rate, but at most the time for the whole backlog.
    fn expected_wait(&self, queued: &QueuedRequest) -> u64 {
        let (weight, cost) = (u64::from(queued.weight.max(1)), u128::from(queued.cost.0));
        let team_queue = self.teams.get(&queued.team).filter(|it| !it.queue.is_empty());
        let team_backlog = team_queue.map_or(0, |it| it.backlog) + cost;
        let other_weight = self.waiting_weight - team_queue.map_or(0, |it| u64::from(it.weight));
        let total_work =
            team_backlog.saturating_mul(u128::from(other_weight + weight)) / u128::from(weight);
        self.drain_rate.time_for(total_work.saturating_sub(cost).min(self.backlog))
    }

    fn retry_ms(&self, micros: u64) -> u32 {
        let millis = u32::try_from(micros.div_ceil(MILLISECOND)).unwrap_or(u32::MAX);
        millis.clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    fn insert(&mut self, queued: QueuedRequest) {
        self.last_sequence += 1;
        let key = (Reverse(queued.priority), self.last_sequence);
        let team_queue = self.teams.entry(queued.team).or_insert_with(TeamQueue::new);
        if team_queue.queue.is_empty() {
            self.idle_by_finish_tag.remove(&(team_queue.finish_tag, queued.team));
            team_queue.weight = queued.weight.max(1);
            team_queue.start_tag = team_queue.finish_tag.max(self.virtual_time);
            self.waiting_weight += u64::from(team_queue.weight);
            self.by_start_tag.insert((team_queue.start_tag, queued.team));
        }
        team_queue.backlog += u128::from(queued.cost.0);
        team_queue.insert(key, queued);
        self.backlog += u128::from(queued.cost.0);
        self.deadlines.insert((queued.deadline, queued.request));
        self.waiting.insert(queued.request, (queued.team, key));
    }

    /// Removes a request; if it is dispatched, its cost is charged to its team.
    fn remove(&mut self, request: RequestId, dispatched: bool) -> bool {
        let Some((team, key)) = self.waiting.remove(&request) else { return false };
        let Some(team_queue) = self.teams.get_mut(&team) else { return false };
        let Some(queued) = team_queue.remove(key) else { return false };
        let cost = u128::from(queued.cost.0);
        self.deadlines.remove(&(queued.deadline, request));
        self.backlog -= cost;
        team_queue.backlog -= cost;
        if dispatched {
            self.by_start_tag.remove(&(team_queue.start_tag, team));
            team_queue.finish_tag = team_queue.start_tag
                + cost.max(1) * VIRTUAL_TIME_SCALE / u128::from(team_queue.weight);
            team_queue.start_tag = team_queue.finish_tag;
            self.by_start_tag.insert((team_queue.start_tag, team));
        }
        if team_queue.queue.is_empty() {
            self.by_start_tag.remove(&(team_queue.start_tag, team));
            self.waiting_weight -= u64::from(team_queue.weight);
            if team_queue.finish_tag > self.virtual_time {
                self.idle_by_finish_tag.insert((team_queue.finish_tag, team));
            } else {
                self.teams.remove(&team);
            }
        }
        true
    }

    /// Advances the virtual time and removes idle teams whose finish tag it has reached.
    fn advance(&mut self, virtual_time: u128) {
        self.virtual_time = self.virtual_time.max(virtual_time);
        while let Some(&(finish_tag, team)) = self.idle_by_finish_tag.first() {
            if finish_tag > self.virtual_time {
                break;
            }
            self.idle_by_finish_tag.pop_first();
            self.teams.remove(&team);
        }
    }

    /// Starts a new busy period. Nothing runs and nothing waits, so no team is charged for earlier requests.
    fn start_busy_period(&mut self) {
        self.virtual_time = 0;
        self.teams.clear();
        self.idle_by_finish_tag.clear();
    }
}

impl TeamQueue {
    fn new() -> TeamQueue {
        TeamQueue { weight: 1, finish_tag: 0, start_tag: 0, backlog: 0, queue: VecDeque::new() }
    }

    fn first(&self) -> Option<&QueuedRequest> {
        self.queue.front().map(|(_, it)| it)
    }

    fn insert(&mut self, key: QueueKey, queued: QueuedRequest) {
        let index = self.queue.partition_point(|it| it.0 < key);
        self.queue.insert(index, (key, queued));
    }

    fn remove(&mut self, key: QueueKey) -> Option<QueuedRequest> {
        let index = self.queue.binary_search_by_key(&key, |it| it.0).ok()?;
        self.queue.remove(index).map(|(_, it)| it)
    }
}
