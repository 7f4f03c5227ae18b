//! Which waiting requests start first, and which are refused.
//!
//! Requests that can still be on time go first, by priority. If lateness is allowed
//! ([`DispatchRequest::finish_by`]), those of one priority start in the order of the latest start that
//! is on time, and a request that can only be late waits behind all that can be on time, until its
//! run would no longer end by its deadline. Otherwise requests of one priority start in the order of
//! their arrival and are refused when they can only be late.

use {
    crate::request::DispatchRequest,
    derive_more::{Debug, Display},
    model::{MILLISECOND, Time},
};

/// The part of its expected run that a late request needs beyond it before its deadline. Runs
/// differ, and a request that is cut off has wasted its slot.
const RUN_MARGIN: f64 = 0.25;

/// Identifies a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("w{_0}")]
pub struct WaiterId(pub u64);

/// The position of a waiting request: those that can be on time before late ones, then by priority,
/// then by the latest start, then by arrival.
type Rank = (bool, u8, Time, WaiterId);

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) request: DispatchRequest,
    /// The expected run, in milliseconds.
    pub(crate) run_ms: f64,
    /// Whether the request can only be late.
    pub(crate) is_late: bool,
    /// When the request is refused, or counts as late, if it has not started by then.
    pub(crate) expires: Time,
}

impl Waiter {
    /// Returns a request that can be on time.
    pub(crate) fn new(id: WaiterId, request: DispatchRequest, run_ms: f64) -> Waiter {
        let expires = request.wait_until;
        Waiter { id, request, run_ms, is_late: false, expires }
    }

    /// Returns the latest start after which the response is complete by the deadline, if a late
    /// response is of use.
    pub(crate) fn latest_start(&self) -> Option<Time> {
        let run = self.run_ms * (1.0 + RUN_MARGIN) * MILLISECOND as f64;
        self.request.finish_by.map(|it| it.saturating_sub(run as u64))
    }

    /// Makes the request wait as a late one. Returns whether there is time for that.
    pub(crate) fn make_late(&mut self, now: Time) -> bool {
        match self.latest_start().filter(|it| !self.is_late && *it > now) {
            Some(latest) => {
                (self.is_late, self.expires) = (true, latest);
                true
            }
            None => false,
        }
    }

    fn rank(&self) -> Rank {
        let DispatchRequest { priority, wait_until, finish_by, .. } = self.request;
        let order = finish_by.map_or(Time(0), |_| wait_until);
        (self.is_late, priority, order, self.id)
    }
}

/// The waiting requests of one service, in the order in which they start.
#[derive(Default, Debug)]
pub(crate) struct WaitQueue {
    waiters: Vec<Waiter>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Inserts a request at its position.
    pub(crate) fn push(&mut self, waiter: Waiter) {
        let at = self.ahead(&waiter);
        self.waiters.insert(at, waiter);
    }

    /// Returns how many waiting requests go before a new one.
    pub(crate) fn ahead(&self, waiter: &Waiter) -> usize {
        let rank = waiter.rank();
        self.waiters.partition_point(|it| it.rank() < rank)
    }

    /// Removes the request that starts last, if a new one goes before it.
    pub(crate) fn displace(&mut self, waiter: &Waiter) -> Option<Waiter> {
        let last = self.waiters.last()?;
        if last.request.finish_by.is_some() && waiter.rank() < last.rank() {
            self.waiters.pop()
        } else {
            None
        }
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let at = self.waiters.iter().position(|it| it.id == id)?;
        Some(self.waiters.remove(at))
    }

    /// Removes the requests that have expired. Those that may be late go behind the others instead.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Waiter> {
        let (due, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiters).into_iter().partition(|it| it.expires <= now);
        self.waiters = kept;
        let mut expired = Vec::new();
        for mut waiter in due {
            if waiter.make_late(now) {
                self.push(waiter);
            } else {
                expired.push(waiter);
            }
        }
        expired
    }

    /// Makes the requests expire now that can't start any more.
    pub(crate) fn expire_early<F>(&mut self, now: Time, can_start: F)
    where
        F: Fn(&DispatchRequest) -> bool,
    {
        for waiter in self.waiters.iter_mut().filter(|it| !can_start(&it.request)) {
            waiter.expires = waiter.expires.min(now);
            waiter.request.finish_by = None;
        }
    }

    /// Returns the waiting requests in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters.iter()
    }

    /// Returns when the next request expires.
    pub(crate) fn deadline(&self) -> Time {
        self.waiters.iter().map(|it| it.expires).min().unwrap_or(Time::NEVER)
    }
}
