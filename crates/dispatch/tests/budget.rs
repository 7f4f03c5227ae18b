//! Tests of the retry budget and of blocking requests that crash endpoints.

use {
    dispatch::{CrashTracker, RetryBudget, RetryBudgetLimits},
    model::{SECOND, Time},
    proptest::prelude::*,
};

const LIMITS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 52.0 };

proptest! {
    /// In any order of requests and retries, all routers together stay within the retry limits over
    /// any window.
    #[test]
    fn routers_stay_within_the_shared_budget(
        routers in 1_usize..8,
        steps in proptest::collection::vec((0_usize..8, any::<bool>()), 1..2_000),
    ) {
        let mut budgets: Vec<_> = (0..routers).map(|_| RetryBudget::new(LIMITS, routers)).collect();
        let mut history = Vec::new();
        for (router, is_request) in steps {
            let budget = &mut budgets[router % routers];
            if is_request {
                budget.record_request();
                history.push((1_i64, 0_i64));
            } else if budget.try_spend() {
                history.push((0, 1));
            }
        }
        // The worst window is the one in which retries exceed the ratio of its requests the most.
        let (mut excess, mut worst) = (0.0_f64, 0.0_f64);
        for (requests, retries) in history {
            excess = (excess + retries as f64 - LIMITS.ratio * requests as f64).max(0.0);
            worst = worst.max(excess);
        }
        prop_assert!(worst <= LIMITS.slack, "{worst} retries beyond the ratio");
    }
}

#[test]
fn budget_without_requests_is_exhausted() {
    let mut budget = RetryBudget::new(LIMITS, 1);
    let spent = (0..100).filter(|_| budget.try_spend()).count();
    assert!((1..=52).contains(&spent), "{spent}");
}

#[test]
fn request_that_crashed_two_endpoints_is_blocked_until_its_record_expires() {
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
fn served_request_clears_its_crash_record() {
    let (mut crashes, now) = (CrashTracker::default(), Time(SECOND));
    crashes.record_crash(now, 7, 1);
    crashes.clear(7);
    crashes.record_crash(now, 7, 2);
    assert!(!crashes.is_blocked(now, 7));
}
