//! A retry budget, which prevents retries from multiplying the load of a service that is in
//! trouble.

use derive_more::Debug;

/// Limits on the retries of all routers together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudgetLimits {
    /// Retries per request, as a fraction.
    pub ratio: f64,
    /// Retries beyond that in one window, for all routers together.
    pub slack: f64,
}

/// The part of the limits that is used. It keeps retries within the limits if two routers see a
/// window differently.
const SAFETY_MARGIN: f64 = 0.7;

/// One router's share of the retry budget for one service.
///
/// This is a token bucket that is filled by requests rather than by time. Over any window it
/// permits at most its capacity plus `ratio` times the requests in that window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    tokens: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Returns a full budget. The slack is divided among `routers`.
    pub fn new(limits: RetryBudgetLimits, routers: usize) -> RetryBudget {
        let capacity = limits.slack * SAFETY_MARGIN / routers.max(1) as f64;
        RetryBudget { limits, tokens: capacity, capacity }
    }

    /// Updates the number of routers among which the slack is divided.
    pub fn set_routers(&mut self, routers: usize) {
        self.capacity = self.limits.slack * SAFETY_MARGIN / routers.max(1) as f64;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Adds the retry allowance of one request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.limits.ratio * SAFETY_MARGIN).min(self.capacity);
    }

    /// Returns whether there is an allowance for a retry.
    pub fn can_spend(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the allowance for one retry. Returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.can_spend();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
