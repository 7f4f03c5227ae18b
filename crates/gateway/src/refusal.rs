//! The system's own answers.

use {
    derive_more::{Debug, Display},
    edge::{Body, full},
    http::{HeaderValue, Response, StatusCode, header},
};

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub(crate) enum Refusal {
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
    NoRoom { retry_ms: u64 },
    #[display("crashed endpoints before")]
    Quarantined,
    #[display("connection to the endpoint broke")]
    Broken,
    #[display("deadline passed")]
    Late,
}

/// After how many milliseconds callers should come back when no endpoint is known: about as long as one takes to be
/// listed.
const DEFAULT_RETRY_MS: u64 = 500;

/// After how many milliseconds a caller may try another gateway, as this one stops.
const STOPPING_RETRY_MS: u64 = 50;

/// After how many milliseconds the caller of a request that crashes endpoints may come back.
const QUARANTINE_RETRY_MS: u64 = 5_000;

impl Refusal {
    /// The name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Refusal::NoConfiguration { .. } => "no-configuration",
            Refusal::Stopping => "stopping",
            Refusal::NoRoute => "no-route",
            Refusal::UnknownKey => "unknown-key",
            Refusal::TooLarge => "too-large",
            Refusal::BadBody => "bad-body",
            Refusal::NoEndpoint => "no-endpoint",
            Refusal::NoRoom { .. } => "no-room",
            Refusal::Quarantined => "quarantined",
            Refusal::Broken => "broken",
            Refusal::Late => "late",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BadBody => StatusCode::BAD_REQUEST,
            Refusal::NoConfiguration { .. }
            | Refusal::Stopping
            | Refusal::NoEndpoint
            | Refusal::NoRoom { .. }
            | Refusal::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_ms(self) -> Option<u64> {
        match self {
            Refusal::NoRoom { retry_ms } | Refusal::NoConfiguration { retry_ms } => Some(retry_ms),
            Refusal::Stopping => Some(STOPPING_RETRY_MS),
            Refusal::NoEndpoint => Some(DEFAULT_RETRY_MS),
            Refusal::Quarantined => Some(QUARANTINE_RETRY_MS),
            _ => None,
        }
    }

    /// Returns the answer to the caller.
    pub(crate) fn answer(self) -> Response<Body> {
        let mut response = Response::new(full(format!("{self}\n")));
        *response.status_mut() = self.status();
        let seconds = self.retry_ms().map(|it| format!("{:.3}", it as f64 / 1_000.0));
        if let Some(value) = seconds.and_then(|it| HeaderValue::from_str(&it).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
