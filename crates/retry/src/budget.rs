//! Retries as a share of first attempts, so that they never amplify an overload.

use {
    derive_more::Debug,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Parts of one retry that [`RetryBudget`] counts in.
const RETRY: u64 = 1_000;

/// The retries of one service at one router.
///
/// Each first attempt earns a share of a retry, up to a reserve that it also begins with. So over any run,
/// `retries <= reserve + share * first attempts`. Shared between tasks without a lock: one counter.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: AtomicU64,
    share: u64,
    reserve: u64,
}

impl RetryBudget {
    /// Returns a full budget: `permille` retries earned by a thousand first attempts, at most `reserve` saved up.
    pub fn new(permille: u32, reserve: u32) -> RetryBudget {
        let reserve = u64::from(reserve) * RETRY;
        RetryBudget { tokens: AtomicU64::new(reserve), share: u64::from(permille), reserve }
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        let add = |it: u64| Some((it + self.share).min(self.reserve));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry; returns whether there was one.
    pub fn spend(&self) -> bool {
        let take = |it: u64| it.checked_sub(RETRY);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
