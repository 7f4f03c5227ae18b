//! What the recent past of an endpoint says of the next request.

use {
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time},
};

/// How a request at an endpoint ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptOutcome {
    /// With an answer that is the endpoint's own and no failure.
    Served,
    /// With the endpoint's own failure.
    Failed,
    /// With proof that the endpoint did not run it, as it has no room.
    Full,
    /// With proof that the endpoint did not run it, as it is another one or is leaving.
    Misdirected,
    /// Without a connection.
    Unreachable,
    /// With a connection that broke, bytes that are no answer, or silence.
    Broken,
    /// The caller left or its time was over: says nothing of the endpoint.
    Abandoned,
}

/// How long an endpoint is avoided after a first failure of its connections; doubles with each further one.
const INITIAL_BACKOFF: u64 = 500 * MILLISECOND;

/// The longest that an endpoint is avoided: within this time one that is back is found.
const MAX_BACKOFF: u64 = 4 * SECOND;

/// How long an endpoint that said it has no room is avoided.
const FULL_BACKOFF: u64 = 100 * MILLISECOND;

/// How much one request moves the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;

/// The half-life of the failure rate, in microseconds: an endpoint that is avoided gets another chance.
const FAILURE_RATE_HALF_LIFE_US: f64 = 3.0 * SECOND as f64;

/// The recent past of an endpoint.
#[derive(Clone, Default, Debug)]
pub(crate) struct Health {
    avoid_until: Time,
    consecutive_failures: u32,
    rate: f64,
    rated_at: Time,
}

impl Health {
    /// Whether requests should go elsewhere if they can.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// The share of requests that failed of late.
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
                // One break may be the request's own fault or one lost connection.
                if self.consecutive_failures > 1 {
                    self.back_off(now);
                }
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Misdirected => {
                self.consecutive_failures += 1;
                self.back_off(now);
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
