//! Estimates how fast an endpoint completes work.

use {
    derive_more::Debug,
    model::{SECOND, Time, Work},
};

/// Window of the moving average, in microseconds.
const AVERAGING_WINDOW_US: u64 = 10 * SECOND;

/// Minimum time between two updates of the average, in microseconds.
const UPDATE_INTERVAL_US: u64 = SECOND / 4;

/// Moving average of the work completed per second while requests were waiting.
///
/// Time without waiting requests is excluded, because the endpoint may have been able to complete more work then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainRate {
    rate: u64,
    completed: u64,
    interval_start: Time,
}

impl DrainRate {
    /// Creates an average that starts at `rate` units of work per second.
    pub(crate) fn new(now: Time, rate: u64) -> DrainRate {
        DrainRate { rate: rate.max(1), completed: 0, interval_start: now }
    }

    /// Starts a new measurement interval and discards the current one.
    pub(crate) fn restart_interval(&mut self, now: Time) {
        self.completed = 0;
        self.interval_start = now;
    }

    /// Records completed work; `backlogged` tells whether requests were waiting meanwhile.
    pub(crate) fn record_completed(&mut self, now: Time, work: Work, backlogged: bool) {
        if !backlogged {
            return self.restart_interval(now);
        }
        self.completed = self.completed.saturating_add(work.0);
        let elapsed = now.since(self.interval_start);
        if elapsed < UPDATE_INTERVAL_US {
            return;
        }
        let measured = u128::from(self.completed) * u128::from(SECOND) / u128::from(elapsed);
        let weight = u128::from(elapsed.min(AVERAGING_WINDOW_US));
        let old_weight = u128::from(AVERAGING_WINDOW_US) - weight;
        let average = (u128::from(self.rate) * old_weight + measured * weight)
            / u128::from(AVERAGING_WINDOW_US);
        self.rate = u64::try_from(average).unwrap_or(u64::MAX).max(1);
        self.completed = 0;
        self.interval_start = now;
    }

    /// Microseconds that an amount of work takes at the current rate.
    pub(crate) fn time_for(&self, work: u128) -> u64 {
        let micros = work.saturating_mul(u128::from(SECOND)).div_ceil(u128::from(self.rate));
        u64::try_from(micros).unwrap_or(u64::MAX)
    }
}
