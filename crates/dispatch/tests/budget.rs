//! Tests of the retry budget.

use {
    dispatch::{RetryBudget, RetryBudgetLimits},
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
