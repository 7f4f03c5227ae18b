//! Requests that wait for room.

use {
    crate::request::DispatchRequest,
    derive_more::{Debug, Display},
    model::Time,
};

/// Identifies a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("w{_0}")]
pub struct WaiterId(pub u64);

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) request: DispatchRequest,
    /// When the request is refused if it has not started by then.
    pub(crate) expires: Time,
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

    /// Inserts a request behind those of the same priority.
    pub(crate) fn push(&mut self, waiter: Waiter) {
        let at = self.waiters.partition_point(|it| it.request.priority <= waiter.request.priority);
        self.waiters.insert(at, waiter);
    }

    /// Returns how many waiting requests go before a new one of this priority.
    pub(crate) fn ahead(&self, priority: u8) -> usize {
        self.waiters.partition_point(|it| it.request.priority <= priority)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let at = self.waiters.iter().position(|it| it.id == id)?;
        Some(self.waiters.remove(at))
    }

    /// Removes the requests that have expired.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Waiter> {
        let (expired, kept) =
            std::mem::take(&mut self.waiters).into_iter().partition(|it| it.expires <= now);
        self.waiters = kept;
        expired
    }

    /// Makes the requests expire now that can't start any more.
    pub(crate) fn expire_early<F>(&mut self, now: Time, can_start: F)
    where
        F: Fn(&DispatchRequest) -> bool,
    {
        for waiter in self.waiters.iter_mut().filter(|it| !can_start(&it.request)) {
            waiter.expires = waiter.expires.min(now);
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
