//! Requests that wait for room.

use {
    crate::service::DispatchRequest,
    derive_more::{Debug, Display},
    model::Time,
};

/// A waiting request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
#[display("w{_0}")]
pub struct WaiterId(pub u64);

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) request: DispatchRequest,
    /// When it is refused if there is no room by then.
    pub(crate) expires: Time,
}

/// The requests that wait for one service, the next one first.
#[derive(Default, Debug)]
pub(crate) struct WaitQueue {
    waiters: Vec<Waiter>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Adds a request behind those of its priority.
    pub(crate) fn push(&mut self, waiter: Waiter) {
        let at = self.waiters.partition_point(|it| it.request.priority <= waiter.request.priority);
        self.waiters.insert(at, waiter);
    }

    /// How many waiting requests go before one of this priority.
    pub(crate) fn ahead(&self, priority: u8) -> usize {
        self.waiters.partition_point(|it| it.request.priority <= priority)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let at = self.waiters.iter().position(|it| it.id == id)?;
        Some(self.waiters.remove(at))
    }

    /// Removes the requests whose time is over.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Waiter> {
        let (expired, kept) =
            std::mem::take(&mut self.waiters).into_iter().partition(|it| it.expires <= now);
        self.waiters = kept;
        expired
    }

    /// The waiting requests in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters.iter()
    }

    /// When the next request's time is over.
    pub(crate) fn deadline(&self) -> Time {
        self.waiters.iter().map(|it| it.expires).min().unwrap_or(Time::NEVER)
    }
}
