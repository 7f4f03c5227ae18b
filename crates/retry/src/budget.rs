//! Limits retries to a share of first attempts, so that retries cannot amplify an overload.

use {
    derive_more::Debug,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Tokens that one retry costs in a [`RetryBudget`].
const TOKENS_PER_RETRY: u64 = 1_000;

/// Token bucket for the retries of one service at one router.
///
/// Each first attempt deposits a fraction of a retry, up to a reserve that the bucket also starts with. So at any time,
/// `retries <= reserve + fraction * first attempts`. The bucket is one atomic counter, shared between tasks without a
/// lock.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicU64,
    deposit: u64,
    max_tokens: u64,
}

impl RetryBudget {
    /// Creates a full budget: a thousand first attempts deposit `permille` retries, and at most `reserve` retries are
    /// held.
    pub fn new(permille: u32, reserve: u32) -> RetryBudget {
        let max_tokens = u64::from(reserve) * TOKENS_PER_RETRY;
        RetryBudget { tokens: AtomicU64::new(max_tokens), deposit: u64::from(permille), max_tokens }
    }

    /// Records a first attempt.
    pub fn deposit(&self) {
        let add = |it: u64| Some((it + self.deposit).min(self.max_tokens));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws one retry; returns `false` if the budget is exhausted.
    pub fn try_withdraw(&self) -> bool {
        let take = |it: u64| it.checked_sub(TOKENS_PER_RETRY);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
