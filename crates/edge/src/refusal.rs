//! The response to a refused request.

use {
    crate::body::{Body, full},
    http::{HeaderValue, Response, header},
    model::Refusal,
    serde::Serialize,
};

/// The name of the header that tells whether a refused request ran: `not-run`, `unknown` or `ran`.
pub const OUTCOME_HEADER: &str = "jasminefront-outcome";

/// The name of the header that tells why a request was refused.
pub const REASON_HEADER: &str = "jasminefront-reason";

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetails,
}

#[derive(Serialize)]
struct ErrorDetails {
    message: String,
    code: String,
    outcome: String,
    retry_after_ms: u32,
}

/// Builds the response to a refused request: status, `Retry-After`, outcome and reason headers, and
/// a JSON body.
pub fn refusal_response(refusal: &Refusal, message: &str) -> Response<Body> {
    let details = ErrorDetails {
        message: message.to_owned(),
        code: refusal.reason.to_string(),
        outcome: refusal.outcome.to_string(),
        retry_after_ms: refusal.retry_ms,
    };
    let json = serde_json::to_vec(&ErrorBody { error: details }).unwrap_or_default();
    let mut response = Response::new(full(json));
    *response.status_mut() = refusal.reason.status().try_into().unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let header_value =
        |it: String| HeaderValue::try_from(it).unwrap_or(HeaderValue::from_static(""));
    headers.insert(OUTCOME_HEADER, header_value(refusal.outcome.to_string()));
    headers.insert(REASON_HEADER, header_value(refusal.reason.to_string()));
    if refusal.retry_ms > 0 {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(refusal.retry_ms.div_ceil(1_000)));
    }
    response
}
