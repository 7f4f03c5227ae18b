//! Which requests wait, in which order they start, and which are refused.
//!
//! [`WaitQueue`] orders the waiting requests of one service and names those to refuse. Requests
//! within the share of their team go first ([`crate::demand`]), then the more urgent ones, then those
//! that must start soonest. A request that can only be late waits behind all that can be on time.

use {
    crate::request::DispatchRequest,
    derive_more::{Debug, Display},
    model::{MILLISECOND, Time},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// The maximum number of waiting requests per service.
const MAX_WAITING: usize = 1_000;

/// The part of the time until the deadline that a request needs beyond its expected run, as a
/// fraction of that run. Runs differ, and a request that is cut off has wasted its slot.
const RUN_MARGIN: f64 = 0.25;

/// Identifies a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("w{_0}")]
pub struct WaiterId(pub u64);

/// The order in which waiting requests start. All but [`Policy::Layered`] are there to be compared.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum Policy {
    /// By arrival.
    Arrival,
    /// By priority, then by arrival.
    Priority,
    /// By the latest start that is on time.
    Deadline,
    /// The least expected work first.
    ShortestWork,
    /// The least expected work for its priority first.
    ValueByWork,
    /// Teams within their share first, then by arrival.
    FairShare,
    /// Requests that can be on time first, then teams within their share, then by priority, then by
    /// the latest start that is on time.
    #[default]
    Layered,
}

/// Why a request is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Cause {
    /// No endpoint of the service takes requests.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The expected wait is longer than the request can wait.
    #[display("wait-too-long")]
    WaitTooLong,
    /// Too many requests wait that go before it.
    #[display("queue-full")]
    QueueFull,
    /// A request that goes before it took its place in the queue.
    #[display("displaced")]
    Displaced,
    /// It waited as long as it can.
    #[display("expired")]
    Expired,
}

/// A refusal and what it was decided by.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// Why the request is refused.
    pub cause: Cause,
    /// When the caller may come back, in milliseconds.
    pub retry_ms: u64,
    /// The expected wait, in milliseconds.
    pub wait_ms: u64,
    /// The number of waiting requests of the service at this router.
    pub waiting: usize,
    /// The running requests of all routers at the service.
    pub running: u32,
    /// Whether the team's demand exceeds its share, and the request is of the part beyond it.
    pub is_beyond_share: bool,
    /// The age of the newest report of other routers on the demand of teams, in milliseconds. `None`
    /// if there is none.
    pub report_age_ms: Option<u64>,
}

impl Refusal {
    pub(crate) fn unknown_service(retry_ms: u64) -> Refusal {
        let cause = Cause::NoEndpoint;
        Refusal {
            cause,
            retry_ms,
            wait_ms: 0,
            waiting: 0,
            running: 0,
            is_beyond_share: false,
            report_age_ms: None,
        }
    }
}

/// The position of a request: its class, and its order within that.
type Rank = (u16, u64, WaiterId);

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) request: DispatchRequest,
    /// Whether the request is of the part of its team's demand that exceeds the team's share.
    pub(crate) is_beyond_share: bool,
    /// The expected run, in milliseconds.
    pub(crate) run_ms: f64,
    pub(crate) is_late: bool,
    /// The position of its priority when it was submitted.
    pub(crate) position: u8,
}

impl Waiter {
    /// Returns the latest start that lets the response be complete by the deadline.
    pub(crate) fn latest_start(&self) -> Time {
        let Some(deadline) = self.request.deadline else { return self.request.wait_until };
        let run = self.run_ms * (1.0 + RUN_MARGIN) * MILLISECOND as f64;
        self.request.wait_until.max(deadline.saturating_sub(run as u64))
    }

    /// Returns whether the request leaves a part of the slots to others.
    pub(crate) fn yields(&self) -> bool {
        self.is_beyond_share || self.is_late
    }

    /// Returns when the request is refused if it has not started by then, or counts as late.
    fn expires(&self) -> Time {
        if self.is_late { self.latest_start() } else { self.request.wait_until }
    }

    fn rank(&self, policy: Policy) -> Rank {
        let DispatchRequest { priority, wait_until, .. } = self.request;
        let layer = u16::from(self.is_beyond_share) * 2 + u16::from(self.is_late);
        let (class, order) = match policy {
            Policy::Arrival => (0, 0),
            Policy::Priority => (u16::from(priority), 0),
            Policy::Deadline => (0, wait_until.0),
            Policy::ShortestWork => (0, self.run_ms as u64),
            Policy::ValueByWork => (0, (self.run_ms * f64::from(1_u32 << priority.min(8))) as u64),
            Policy::FairShare => (u16::from(self.is_beyond_share), 0),
            Policy::Layered => (layer << 8 | u16::from(self.position), wait_until.0),
        };
        (class, order, self.id)
    }
}

/// The waiting requests of one class.
#[derive(Clone, Copy, Default, Debug)]
struct Backlog {
    requests: usize,
    run_ms: f64,
}

/// The waiting requests of one service, in the order in which they start.
#[derive(Default, Debug)]
pub(crate) struct WaitQueue {
    pub(crate) policy: Policy,
    waiters: BTreeMap<Rank, Waiter>,
    ranks: HashMap<WaiterId, Rank>,
    expiries: BTreeSet<(Time, WaiterId)>,
    backlogs: BTreeMap<u16, Backlog>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.len() >= MAX_WAITING
    }

    pub(crate) fn push(&mut self, waiter: Waiter) {
        let rank = waiter.rank(self.policy);
        let backlog = self.backlogs.entry(rank.0).or_default();
        backlog.requests += 1;
        backlog.run_ms += waiter.run_ms;
        self.expiries.insert((waiter.expires(), waiter.id));
        self.ranks.insert(waiter.id, rank);
        self.waiters.insert(rank, waiter);
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let rank = self.ranks.remove(&id)?;
        let waiter = self.waiters.remove(&rank)?;
        self.expiries.remove(&(waiter.expires(), id));
        if let Some(backlog) = self.backlogs.get_mut(&rank.0) {
            backlog.requests -= 1;
            backlog.run_ms -= waiter.run_ms;
            if backlog.requests == 0 {
                self.backlogs.remove(&rank.0);
            }
        }
        Some(waiter)
    }

    /// Returns how many requests go before a new one, with those of its class, and the sum of their
    /// expected runs, in milliseconds.
    pub(crate) fn ahead(&self, waiter: &Waiter) -> (usize, f64) {
        let class = waiter.rank(self.policy).0;
        let before = self.backlogs.range(..=class);
        before.fold((0, 0.0), |sum, (_, it)| (sum.0 + it.requests, sum.1 + it.run_ms))
    }

    /// Returns the sum of the expected runs of all waiting requests, in milliseconds.
    pub(crate) fn total_run_ms(&self) -> f64 {
        self.backlogs.values().map(|it| it.run_ms).sum()
    }

    /// Returns whether a request goes before the last one.
    pub(crate) fn displaces(&self, waiter: &Waiter) -> bool {
        let last = self.waiters.last_key_value();
        last.is_some_and(|(rank, _)| waiter.rank(self.policy) < *rank)
    }

    /// Returns the request that starts last.
    pub(crate) fn last(&self) -> Option<&Waiter> {
        self.waiters.last_key_value().map(|it| it.1)
    }

    /// Removes the requests that have waited as long as they can. Those that can still be late go
    /// behind the others; their priorities are returned too.
    pub(crate) fn expire(&mut self, now: Time) -> (Vec<Waiter>, Vec<u8>) {
        let (mut expired, mut late) = (Vec::new(), Vec::new());
        while let Some((_, id)) = self.expiries.first().copied().filter(|it| it.0 <= now) {
            let Some(mut waiter) = self.remove(id) else { break };
            if !waiter.is_late && waiter.latest_start() > now {
                waiter.is_late = true;
                late.push(waiter.request.priority);
                self.push(waiter);
            } else {
                expired.push(waiter);
            }
        }
        (expired, late)
    }

    /// Returns the waiting requests in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters.values()
    }

    /// Returns the waiting requests that go before a new one, in order.
    pub(crate) fn iter_ahead(&self, waiter: &Waiter) -> impl Iterator<Item = &Waiter> {
        self.waiters.range(..waiter.rank(self.policy)).map(|it| it.1)
    }

    /// Returns when the next request expires.
    pub(crate) fn deadline(&self) -> Time {
        self.expiries.first().map_or(Time::NEVER, |it| it.0)
    }
}
