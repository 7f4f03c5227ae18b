//! Tracks recent failures of an endpoint to decide whether to send it further requests.

use {
    crate::outage::REPLACED_TIME,
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time},
};

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    /// The endpoint answered without a failure.
    Served,
    /// The endpoint answered with a failure.
    Failed,
    /// The endpoint proved that it did not run the request because it has no room.
    Full,
    /// The endpoint proved that it did not run the request because the request was meant for
    /// another endpoint or the endpoint is leaving.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, the response was invalid, or the endpoint stayed silent.
    Broken,
    /// The caller left or its deadline passed. This says nothing about the endpoint.
    Abandoned,
}

/// How long an endpoint is avoided after its first connection failure. It doubles with each further
/// one.
const INITIAL_BACKOFF: u64 = 500 * MILLISECOND;

/// The longest time that an endpoint is avoided, which limits how long a recovered endpoint goes
/// unnoticed.
const MAX_BACKOFF: u64 = 4 * SECOND;

/// How long an endpoint is avoided after it reported that it has no room.
const FULL_BACKOFF: u64 = 100 * MILLISECOND;

/// The weight of one request in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;

/// The half-life of the failure rate, in microseconds. The decay gives an avoided endpoint another
/// chance.
const FAILURE_RATE_HALF_LIFE_US: f64 = 3.0 * SECOND as f64;

/// The failure history of an endpoint.
#[derive(Clone, Default, Debug)]
pub(crate) struct Health {
    avoid_until: Time,
    consecutive_failures: u32,
    rate: f64,
    rated_at: Time,
}

impl Health {
    /// Returns whether requests should prefer other endpoints.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Returns the moving average of the share of failed requests.
    pub(crate) fn failure_rate(&self, now: Time) -> f64 {
        self.rate * (-(now.since(self.rated_at) as f64) / FAILURE_RATE_HALF_LIFE_US).exp2()
    }

    pub(crate) fn record(&mut self, now: Time, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Served => {
                self.consecutive_failures = 0;
                self.update_failure_rate(now, 0.0);
            }
            AttemptOutcome::Failed => {
                self.consecutive_failures = 0;
                self.update_failure_rate(now, 1.0);
            }
            AttemptOutcome::Full => self.avoid_until = self.avoid_until.max(now + FULL_BACKOFF),
            AttemptOutcome::Broken => {
                self.update_failure_rate(now, 1.0);
                self.consecutive_failures += 1;
                // A single broken connection may be caused by the request itself or by a lost
                // connection.
                if self.consecutive_failures > 1 {
                    self.back_off(now);
                }
            }
            AttemptOutcome::Unreachable => {
                self.consecutive_failures += 1;
                self.back_off(now);
            }
            AttemptOutcome::Misdirected => {
                self.consecutive_failures += 1;
                self.avoid_until = self.avoid_until.max(now + REPLACED_TIME);
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    fn back_off(&mut self, now: Time) {
        let doublings = self.consecutive_failures.saturating_sub(1).min(8);
        let backoff = (INITIAL_BACKOFF << doublings).min(MAX_BACKOFF);
        self.avoid_until = self.avoid_until.max(now + backoff);
    }

    fn update_failure_rate(&mut self, now: Time, failed: f64) {
        self.rate =
            self.failure_rate(now) * (1.0 - FAILURE_RATE_WEIGHT) + failed * FAILURE_RATE_WEIGHT;
        self.rated_at = now;
    }
}
