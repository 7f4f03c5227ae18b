//! How often the list is read, so that all readers together stay within the rate that a directory accepts.

use {derive_more::Debug, std::time::Duration};

/// The part of the rate that is used, so that readers that count each other wrong stay within it.
const USED_RATE_SHARE: f64 = 0.6;

/// How soon a failed listing is tried again at the earliest, in milliseconds.
const MIN_RETRY_MS: u64 = 250;

/// The pace of one reader.
#[derive(Clone, PartialEq, Debug)]
pub struct PollInterval {
    interval_ms: u64,
    rate: f64,
    calls: u32,
}

impl PollInterval {
    /// Returns the pace of a reader that reads each `interval_ms`, if all readers together may make `rate` calls a
    /// second.
    pub fn new(interval_ms: u64, rate: f64) -> PollInterval {
        PollInterval { interval_ms, rate, calls: 1 }
    }

    /// Takes note of how many calls a listing took.
    pub fn record_calls(&mut self, calls: u32) {
        self.calls = calls.max(1);
    }

    /// The pause after a listing, with so many readers; `failed` says whether it failed, and `draw` between 0 and 1
    /// spreads readers.
    pub fn next_delay(&self, readers: usize, failed: bool, jitter: f64) -> Duration {
        let calls = readers.max(1) as f64 * f64::from(self.calls);
        let fair_ms = calls * 1_000.0 / (self.rate * USED_RATE_SHARE);
        let wanted_ms = if failed { MIN_RETRY_MS } else { self.interval_ms };
        Duration::from_millis((wanted_ms as f64).max(fair_ms) as u64).mul_f64(0.9 + 0.2 * jitter)
    }
}
