//! Rate limit of weight loads.

use {derive_more::Debug, model::Time};

/// A token bucket with a capacity of one load, so that two loads start at least one interval apart.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct LoadLimiter {
    interval: u64,
    next: Time,
}

impl LoadLimiter {
    /// Creates a limiter that is empty at `now`, because an earlier leader may have just started a
    /// load.
    pub(crate) fn new(now: Time, interval: u64) -> LoadLimiter {
        LoadLimiter { interval, next: now + interval }
    }

    /// Whether a load may start.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        now >= self.next
    }

    /// Records the start of a load.
    pub(crate) fn record_load(&mut self, now: Time) {
        self.next = now + self.interval;
    }
}
