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
const FIRST_PAUSE: u64 = 500 * MILLISECOND;

/// The longest that an endpoint is avoided: within this time one that is back is found.
const LONGEST_PAUSE: u64 = 4 * SECOND;

/// How long an endpoint that said it has no room is avoided.
const FULL_PAUSE: u64 = 100 * MILLISECOND;

/// How much one request moves the failure rate.
const WEIGHT: f64 = 0.15;

/// The half-life of the failure rate, in microseconds: an endpoint that is avoided gets another chance.
const HALF_LIFE: f64 = 3.0 * SECOND as f64;

/// The recent past of an endpoint.
#[derive(Clone, Default, Debug)]
pub(crate) struct Health {
    avoid_until: Time,
    breaks: u32,
    rate: f64,
    rated: Time,
}

impl Health {
    /// Whether requests should go elsewhere if they can.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// The share of requests that failed of late.
    pub(crate) fn failure_rate(&self, now: Time) -> f64 {
        self.rate * (-(now.since(self.rated) as f64) / HALF_LIFE).exp2()
    }

    pub(crate) fn record(&mut self, now: Time, ending: AttemptOutcome) {
        match ending {
            AttemptOutcome::Served => {
                self.breaks = 0;
                self.rate_with(now, 0.0);
            }
            AttemptOutcome::Failed => {
                self.breaks = 0;
                self.rate_with(now, 1.0);
            }
            AttemptOutcome::Full => self.avoid_until = self.avoid_until.max(now + FULL_PAUSE),
            AttemptOutcome::Broken => {
                self.rate_with(now, 1.0);
                self.breaks += 1;
                // One break may be the request's own fault or one lost connection.
                if self.breaks > 1 {
                    self.pause(now);
                }
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Misdirected => {
                self.breaks += 1;
                self.pause(now);
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    fn pause(&mut self, now: Time) {
        let doublings = self.breaks.saturating_sub(1).min(8);
        let pause = (FIRST_PAUSE << doublings).min(LONGEST_PAUSE);
        self.avoid_until = self.avoid_until.max(now + pause);
    }

    fn rate_with(&mut self, now: Time, outcome: f64) {
        self.rate = self.failure_rate(now) * (1.0 - WEIGHT) + outcome * WEIGHT;
        self.rated = now;
    }
}
