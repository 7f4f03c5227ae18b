//! The retry budget and the refusal of requests that crash endpoints.

use {
    dispatch::{CrashTracker, RetryBudget, RetryBudgetLimits},
    model::{SECOND, Time},
    proptest::prelude::*,
};

const LIMITS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 52.0 };

proptest! {
    /// However requests and retries come, over any window the whole fleet sends no more again than the limits say.
    #[test]
    fn a_fleet_stays_within_its_budget(
        routers in 1_usize..8,
        steps in proptest::collection::vec((0_usize..8, any::<bool>()), 1..2_000),
    ) {
        let mut budgets: Vec<_> = (0..routers).map(|_| RetryBudget::new(LIMITS, routers)).collect();
        let mut history = Vec::new();
        for (router, earns) in steps {
            let budget = &mut budgets[router % routers];
            if earns {
                budget.record_request();
                history.push((1_i64, 0_i64));
            } else if budget.try_spend() {
                history.push((0, 1));
            }
        }
        // The worst window is the one with the largest excess of retries over the ratio of its requests.
        let (mut excess, mut worst) = (0.0_f64, 0.0_f64);
        for (requests, retries) in history {
            excess = (excess + retries as f64 - LIMITS.ratio * requests as f64).max(0.0);
            worst = worst.max(excess);
        }
        prop_assert!(worst <= LIMITS.slack, "{worst} sends beyond the ratio");
    }
}

#[test]
fn a_budget_without_requests_runs_out() {
    let mut budget = RetryBudget::new(LIMITS, 1);
    let spent = (0..100).filter(|_| budget.try_spend()).count();
    assert!((1..=52).contains(&spent), "{spent}");
}

#[test]
fn a_request_that_crashed_two_endpoints_is_refused_until_it_is_forgotten() {
    let (mut crashes, now) = (CrashTracker::default(), Time(SECOND));
    crashes.record_crash(now, 7, 1);
    assert!(!crashes.is_blocked(now, 7), "one crash may have had another cause");
    crashes.record_crash(now, 7, 1);
    assert!(!crashes.is_blocked(now, 7), "the same crash counts once");
    crashes.record_crash(now, 7, 2);
    assert!(crashes.is_blocked(now, 7));
    assert!(!crashes.is_blocked(now, 8));
    assert!(!crashes.is_blocked(now + 61 * SECOND, 7));
}

#[test]
fn a_request_that_was_served_has_no_strikes() {
    let (mut crashes, now) = (CrashTracker::default(), Time(SECOND));
    crashes.record_crash(now, 7, 1);
    crashes.clear(7);
    crashes.record_crash(now, 7, 2);
    assert!(!crashes.is_blocked(now, 7));
}
