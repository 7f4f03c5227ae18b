//! The pace of weight loads.

use {derive_more::Debug, model::Time};

/// A token bucket that holds one load: two loads begin at least one interval apart.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Bucket {
    interval: u64,
    next: Time,
}

impl Bucket {
    /// Returns a bucket that is empty at `now`, as an earlier leader may have just taken the last token.
    pub(crate) fn empty(now: Time, interval: u64) -> Bucket {
        Bucket { interval, next: now + interval }
    }

    /// Whether a load may begin.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        now >= self.next
    }

    /// Takes the token.
    pub(crate) fn take(&mut self, now: Time) {
        self.next = now + self.interval;
    }
}
