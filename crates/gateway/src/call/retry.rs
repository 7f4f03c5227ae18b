//! Whether a request that failed may be sent again.

use {
    super::{Call, EXTRA_SENDS},
    crate::attempt::Failure,
    std::time::Duration,
    tokio::time::sleep,
};

/// How often a request that waits for the retry budget checks it.
const BUDGET_POLL: Duration = Duration::from_millis(100);

impl Call {
    /// Returns whether a request that failed this way may be sent to another endpoint. A retry is
    /// charged to the budget, except after [`Failure::NotSent`].
    pub(crate) fn try_retry(&self, failure: &Failure) -> bool {
        let is_free = matches!(failure, Failure::NotSent { .. });
        self.may_retry(failure)
            && (is_free || self.shared.try_spend_retry(&self.found.service.name))
    }

    /// Like [`Call::try_retry`]. Waits for the retry budget if a silent endpoint was left for one
    /// that refused the request.
    pub(crate) async fn wait_to_retry(&self, failure: &Failure) -> bool {
        let waits = !self.silent.is_empty() && matches!(failure, Failure::NotRun { .. });
        loop {
            if self.try_retry(failure) {
                return true;
            }
            if !waits || !self.may_retry(failure) {
                return false;
            }
            sleep(BUDGET_POLL).await;
        }
    }

    fn may_retry(&self, failure: &Failure) -> bool {
        let allowed = match failure {
            Failure::NotSent { .. } => self.tried.len() < 6,
            Failure::NotRun { .. } => self.sends < self.found.route.attempts + EXTRA_SENDS,
            Failure::Indeterminate { .. } | Failure::Failed(_) => self.may_run_again(),
            Failure::DeadlineExceeded | Failure::Quarantined => false,
        };
        allowed && self.left_ms() > 0 && !self.is_quarantined()
    }

    /// Returns whether a request that may have run may be sent to another endpoint, if the retry
    /// budget allows it.
    pub(crate) fn may_run_again(&self) -> bool {
        self.found.route.is_retryable() && self.runs < self.found.route.attempts
    }

    pub(super) fn log_retry(&self, cause: &str) {
        tracing::info!(
            event = "retry",
            request = self.head.id(),
            sends = self.sends,
            endpoint = self.endpoint_id(),
            cause,
            "gateway: retrying request"
        );
    }
}
