//! How fast an endpoint works through what it is given.

use {
    derive_more::Debug,
    model::{SECOND, Time, Work},
};

/// Microseconds over which the rate is averaged.
const WINDOW: u64 = 10 * SECOND;

/// Microseconds between two updates of the average.
const STEP: u64 = SECOND / 4;

/// An average of work done per second, from the work that ended while requests were waiting.
///
/// Time in which nothing waited says nothing about how fast the endpoint could be, so it is left out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drain {
    rate: u64,
    done: u64,
    since: Time,
}

impl Drain {
    /// Returns an average that begins at `rate` units of work a second.
    pub(crate) fn new(now: Time, rate: u64) -> Drain {
        Drain { rate: rate.max(1), done: 0, since: now }
    }

    /// Begins a time in which requests wait; what passed before it says nothing.
    pub(crate) fn begin(&mut self, now: Time) {
        self.done = 0;
        self.since = now;
    }

    /// Counts work that ended; `busy` says whether requests were waiting.
    pub(crate) fn ended(&mut self, now: Time, work: Work, busy: bool) {
        if !busy {
            return self.begin(now);
        }
        self.done = self.done.saturating_add(work.0);
        let span = now.since(self.since);
        if span < STEP {
            return;
        }
        let seen = u128::from(self.done) * u128::from(SECOND) / u128::from(span);
        let share = u128::from(span.min(WINDOW));
        let kept = u128::from(WINDOW) - share;
        let mean = (u128::from(self.rate) * kept + seen * share) / u128::from(WINDOW);
        self.rate = u64::try_from(mean).unwrap_or(u64::MAX).max(1);
        self.done = 0;
        self.since = now;
    }

    /// Microseconds that so much work takes.
    pub(crate) fn micros(&self, work: u128) -> u64 {
        let micros = work.saturating_mul(u128::from(SECOND)).div_ceil(u128::from(self.rate));
        u64::try_from(micros).unwrap_or(u64::MAX)
    }
}
