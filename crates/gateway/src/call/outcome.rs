//! The response to the client and the log line about it.

use {
    super::Call,
    crate::{
        attempt::{Failure, UpstreamResponse},
        headers::implies_not_run,
        rejection::Rejection,
        stream::ProxiedStream,
    },
    edge::{Body, full},
    http::Response,
    model::MILLISECOND,
};

impl Call {
    pub(super) fn respond(self, response: UpstreamResponse) -> Response<Body> {
        self.shared.metrics.record_request("answered");
        if matches!(response, UpstreamResponse::Buffered(..)) {
            self.log_served();
        }
        match response {
            UpstreamResponse::Buffered(parts, body) => Response::from_parts(parts, full(body)),
            UpstreamResponse::Streaming(parts, stream) => {
                Response::from_parts(parts, ProxiedStream::body(self, stream))
            }
        }
    }

    /// Gives up on a request and responds with what is known about its outcome.
    pub(super) fn respond_with_failure(self, failure: Failure) -> Response<Body> {
        let cause = failure.to_string();
        let rejection = match failure {
            Failure::Failed(response) => {
                self.log_failure("failed", &cause);
                self.shared.metrics.record_request("failed");
                let (parts, body) = *response;
                // These statuses would claim that the request did not run.
                if implies_not_run(parts.status) {
                    return Rejection::BadGateway.response();
                }
                return Response::from_parts(parts, full(body));
            }
            Failure::DeadlineExceeded if self.runs > 0 => Rejection::DeadlineExceeded,
            Failure::Indeterminate { .. } if self.left_ms() == 0 => Rejection::DeadlineExceeded,
            Failure::Indeterminate { .. } => Rejection::BadGateway,
            _ if self.runs > 0 => Rejection::BadGateway,
            Failure::Quarantined => {
                self.quarantine_rejection().unwrap_or(Rejection::Quarantined { retry_ms: 0 })
            }
            Failure::NotSent { .. } | Failure::DeadlineExceeded => {
                Rejection::NoCapacity { retry_ms: 300 }
            }
            Failure::NotRun { .. } => Rejection::NoCapacity { retry_ms: 300 },
        };
        self.log_failure(rejection.label(), &cause);
        self.shared.metrics.record_request(rejection.label());
        rejection.response()
    }

    /// Logs a served request. Requests that were late or retried are always logged, others are
    /// sampled.
    pub(crate) fn log_served(&self) {
        let now = self.shared.now();
        let after_ms = now.since(self.arrived) / MILLISECOND;
        let route = &self.found.route;
        let has_gap = route.gap_ms > 0 && self.longest_gap_ms > route.gap_ms;
        let always_logged = self.sends > 1 || self.first_ms > route.target_ms || has_gap;
        if !always_logged && !self.shared.sampler.admit(now) {
            return;
        }
        tracing::info!(
            event = "served",
            request = self.head.id(),
            route = %self.found.route.name,
            team = self.team.as_deref(),
            endpoint = self.endpoint_id(),
            peer = ?*self.peer.lock(),
            build = self.last_pick.as_ref().map(|it| it.build.0),
            load = self.last_pick.as_ref().map(|it| it.load),
            unread = self.last_pick.as_ref().map(|it| it.unread),
            fetch = ?self.last_pick.as_ref().and_then(|it| it.fetch_from),
            version = self.version,
            sends = self.sends,
            waited_ms = self.waited_ms,
            first_ms = self.first_ms,
            gap_ms = self.longest_gap_ms,
            after_ms,
            "gateway: request served"
        );
    }

    pub(super) fn reject(&self, rejection: Rejection) -> Response<Body> {
        self.log_failure(rejection.label(), &rejection.to_string());
        self.shared.metrics.record_request(rejection.label());
        rejection.response()
    }

    fn log_failure(&self, outcome: &str, reason: &str) {
        tracing::info!(
            event = "ended",
            request = self.head.id(),
            route = %self.found.route.name,
            outcome,
            reason,
            sends = self.sends,
            runs = self.runs,
            regions = ?self.regions,
            version = self.version,
            endpoint = self.endpoint_id(),
            peer = ?*self.peer.lock(),
            waited_ms = self.waited_ms,
            left_ms = self.left_ms(),
            after_ms = self.shared.now().since(self.arrived) / MILLISECOND,
            "gateway: request failed"
        );
    }
}
