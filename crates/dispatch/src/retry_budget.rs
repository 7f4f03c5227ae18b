//! A budget for repeated sends, so that retries cannot multiply the load of a service that is in trouble.

use derive_more::Debug;

/// How many sends beyond the first the whole fleet may make.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudgetLimits {
    /// Repeated sends for each request, as a fraction.
    pub ratio: f64,
    /// Repeated sends beyond that in one window, for the whole fleet.
    pub slack: f64,
}

/// The part of the limits that is used, so that a window that two routers see differently stays inside them.
const SAFETY_MARGIN: f64 = 0.7;

/// One router's share of the budget for one service.
///
/// It is a token bucket that fills with requests rather than with time: over any window it lets through at most its
/// capacity and `ratio` of the window's requests.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    tokens: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Returns a full budget; `routers` share the slack.
    pub fn new(limits: RetryBudgetLimits, routers: usize) -> RetryBudget {
        let capacity = limits.slack * SAFETY_MARGIN / routers.max(1) as f64;
        RetryBudget { limits, tokens: capacity, capacity }
    }

    /// Changes by how many routers the slack is shared.
    pub fn set_routers(&mut self, routers: usize) {
        self.capacity = self.limits.slack * SAFETY_MARGIN / routers.max(1) as f64;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.limits.ratio * SAFETY_MARGIN).min(self.capacity);
    }

    /// Takes leave for one repeated send; false if there is none.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
