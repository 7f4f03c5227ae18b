//! The system's own answers.

use {
    derive_more::{Debug, Display},
    edge::{Body, full},
    http::{HeaderValue, Response, StatusCode, header},
};

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub(crate) enum Rejection {
    #[display("no configuration yet")]
    NoConfiguration { retry_ms: u64 },
    #[display("no route")]
    NoRoute,
    #[display("unknown key")]
    UnknownKey,
    #[display("body over the limit")]
    TooLarge,
    #[display("body not received")]
    BadBody,
    #[display("this process ends before the request could")]
    Stopping,
    #[display("no endpoint known")]
    NoEndpoint,
    #[display("no room before the request would be late")]
    NoCapacity { retry_ms: u64 },
    #[display("crashed endpoints before")]
    Quarantined,
    #[display("connection to the endpoint broke")]
    Broken,
    #[display("deadline passed")]
    DeadlineExceeded,
}

/// After how many milliseconds callers should come back when no endpoint is known: about as long as one takes to be
/// listed.
const DEFAULT_RETRY_MS: u64 = 500;

/// After how many milliseconds a caller may try another gateway, as this one stops.
const STOPPING_RETRY_MS: u64 = 50;

/// After how many milliseconds the caller of a request that crashes endpoints may come back.
const QUARANTINE_RETRY_MS: u64 = 5_000;

impl Rejection {
    /// The name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Rejection::NoConfiguration { .. } => "no-configuration",
            Rejection::Stopping => "stopping",
            Rejection::NoRoute => "no-route",
            Rejection::UnknownKey => "unknown-key",
            Rejection::TooLarge => "too-large",
            Rejection::BadBody => "bad-body",
            Rejection::NoEndpoint => "no-endpoint",
            Rejection::NoCapacity { .. } => "no-room",
            Rejection::Quarantined => "quarantined",
            Rejection::Broken => "broken",
            Rejection::DeadlineExceeded => "late",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::UnknownKey => StatusCode::UNAUTHORIZED,
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BadBody => StatusCode::BAD_REQUEST,
            Rejection::NoConfiguration { .. }
            | Rejection::Stopping
            | Rejection::NoEndpoint
            | Rejection::NoCapacity { .. }
            | Rejection::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::Broken => StatusCode::BAD_GATEWAY,
            Rejection::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_ms(self) -> Option<u64> {
        match self {
            Rejection::NoCapacity { retry_ms } | Rejection::NoConfiguration { retry_ms } => {
                Some(retry_ms)
            }
            Rejection::Stopping => Some(STOPPING_RETRY_MS),
            Rejection::NoEndpoint => Some(DEFAULT_RETRY_MS),
            Rejection::Quarantined => Some(QUARANTINE_RETRY_MS),
            _ => None,
        }
    }

    /// Returns the answer to the caller.
    pub(crate) fn response(self) -> Response<Body> {
        let mut response = Response::new(full(format!("{self}\n")));
        *response.status_mut() = self.status();
        let seconds = self.retry_ms().map(|it| format!("{:.3}", it as f64 / 1_000.0));
        if let Some(value) = seconds.and_then(|it| HeaderValue::from_str(&it).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
