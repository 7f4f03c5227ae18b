//! The interval at which the list is read, chosen so that all readers together stay within the rate
//! that the directory accepts.

use {derive_more::Debug, std::time::Duration};

/// The part of the rate that is used. It keeps readers within the rate if they miscount each other.
const USED_RATE_SHARE: f64 = 0.6;

/// The shortest delay before a failed read is retried, in milliseconds.
const MIN_RETRY_MS: u64 = 250;

/// The poll interval of one reader.
#[derive(Clone, PartialEq, Debug)]
pub struct PollInterval {
    interval_ms: u64,
    rate: f64,
    calls: u32,
}

impl PollInterval {
    /// Returns the interval of a reader that reads every `interval_ms` milliseconds, if all readers
    /// together may make `rate` calls per second.
    pub fn new(interval_ms: u64, rate: f64) -> PollInterval {
        PollInterval { interval_ms, rate, calls: 1 }
    }

    /// Records how many calls a read took.
    pub fn record_calls(&mut self, calls: u32) {
        self.calls = calls.max(1);
    }

    /// Returns the delay until the next read for one of `readers` readers. `failed` says whether
    /// the last read failed, and `jitter` between 0 and 1 spreads the readers.
    pub fn next_delay(&self, readers: usize, failed: bool, jitter: f64) -> Duration {
        let calls = readers.max(1) as f64 * f64::from(self.calls);
        let fair_ms = calls * 1_000.0 / (self.rate * USED_RATE_SHARE);
        let wanted_ms = if failed { MIN_RETRY_MS } else { self.interval_ms };
        Duration::from_millis((wanted_ms as f64).max(fair_ms) as u64).mul_f64(0.9 + 0.2 * jitter)
    }
}
