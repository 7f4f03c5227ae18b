//! JSON responses of the admin API.

use {
    derive_more::{Debug, Display},
    edge::{Body, ReadError, full},
    http::{HeaderValue, Response, StatusCode, header},
    intent::{Answer, OperationError},
    serde::Serialize,
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// Builds a JSON response.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let mut response = Response::new(full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Why a request was rejected before it became an operation.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub(crate) enum RequestError {
    /// The request has no bearer token of a known operator.
    #[display("expected the bearer token of an operator")]
    Unauthorized,
    /// The operation id is missing or too long.
    #[display("expected an operation-id header of 1 to 128 bytes")]
    InvalidOperationId,
    /// The path or method does not exist.
    #[display("no such path or method")]
    NotFound,
    /// The body could not be read.
    #[display("cannot read the request body: {_0}")]
    Body(ReadError),
    /// Another replica is the leader. Carries the leader's admin address, if known.
    #[display("this replica is not the leader")]
    NotLeader(Option<SocketAddr>),
    /// The operation was not committed in time but may still be. Sending it again with the same id returns its result.
    #[display("no quorum; retry the operation with the same id")]
    NoQuorum,
    /// The name of a failure domain is malformed.
    #[display("expected the name of a failure domain of 1 to 128 bytes")]
    InvalidDomain,
    /// No endpoint is known in the domain.
    #[display("unknown failure domain")]
    UnknownDomain,
    /// The operation id was used for another order.
    #[display("the operation id was used for another order")]
    ReusedOperation,
    /// A member of the group runs a build without evacuations, or is not known to run one with them.
    #[display("not all control replicas are known to support evacuations; retry")]
    OldMember,
    /// The link is occupied by a document for another operator.
    #[display("this replica is sending a document to another operator; retry")]
    Busy,
    /// This replica does not count towards the quorum yet.
    #[display("this replica is not a voter yet")]
    NotVoter,
}

/// Builds the response to a rejected request.
pub(crate) fn error(error: RequestError) -> Response<Body> {
    if let RequestError::NotLeader(leader) = error {
        return json(StatusCode::MISDIRECTED_REQUEST, &json!({ "leader": leader }));
    }
    let (status, rule) = match error {
        RequestError::Unauthorized => (StatusCode::UNAUTHORIZED, "unauthorized"),
        RequestError::InvalidOperationId => (StatusCode::BAD_REQUEST, "operation-id"),
        RequestError::NotFound => (StatusCode::NOT_FOUND, "path"),
        RequestError::Body(ReadError::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
        RequestError::Body(ReadError::Stalled) => (StatusCode::REQUEST_TIMEOUT, "body"),
        RequestError::Body(ReadError::Broken) => (StatusCode::BAD_REQUEST, "body"),
        RequestError::Body(ReadError::NoMemory) => (StatusCode::SERVICE_UNAVAILABLE, "memory"),
        RequestError::NotLeader(_) => (StatusCode::MISDIRECTED_REQUEST, "leader"),
        RequestError::NoQuorum => (StatusCode::SERVICE_UNAVAILABLE, "no-quorum"),
        RequestError::InvalidDomain => (StatusCode::BAD_REQUEST, "domain"),
        RequestError::UnknownDomain => (StatusCode::NOT_FOUND, "domain"),
        RequestError::ReusedOperation => (StatusCode::CONFLICT, "operation-id"),
        RequestError::OldMember => (StatusCode::SERVICE_UNAVAILABLE, "protocol"),
        RequestError::Busy => (StatusCode::SERVICE_UNAVAILABLE, "busy"),
        RequestError::NotVoter => (StatusCode::SERVICE_UNAVAILABLE, "no-vote"),
    };
    let mut response = json(status, &error_body("request", rule, &error.to_string()));
    if let RequestError::Body(ReadError::NoMemory) = error {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Builds the response to an invalid routing configuration.
pub(crate) fn invalid_config(reason: &str) -> Response<Body> {
    json(StatusCode::UNPROCESSABLE_ENTITY, &error_body("layout", "invalid", reason))
}

/// Builds the response to an operation.
pub(crate) fn operation(answer: &Answer) -> Response<Body> {
    match answer {
        Answer::Planned(it) => {
            let effects: Vec<_> = it.effects.iter().map(ToString::to_string).collect();
            let body = json!({
                "plan": it.plan.to_string(),
                "base": it.base.0,
                "changes": it.changes,
                "effects": effects,
            });
            json(StatusCode::OK, &body)
        }
        Answer::Confirmed { plan, revision, digest } => {
            let body = json!({
                "plan": plan.to_string(),
                "revision": revision.0,
                "digest": digest.to_string(),
            });
            json(StatusCode::OK, &body)
        }
        Answer::Refused(it) => {
            let body = error_body(&it.aggregate(), &it.rule(), &it.to_string());
            json(operation_error_status(it), &body)
        }
    }
}

fn operation_error_status(error: &OperationError) -> StatusCode {
    match error {
        OperationError::Rule(_) if error.is_malformed() => StatusCode::BAD_REQUEST,
        OperationError::Rule(_) => StatusCode::UNPROCESSABLE_ENTITY,
        OperationError::UnknownPlan { .. } => StatusCode::NOT_FOUND,
        OperationError::ExpiredPlan { .. } => StatusCode::GONE,
        OperationError::Overtaken { .. }
        | OperationError::Outdated { .. }
        | OperationError::ReusedId { .. } => StatusCode::CONFLICT,
    }
}

fn error_body(aggregate: &str, rule: &str, message: &str) -> Value {
    json!({ "error": { "aggregate": aggregate, "rule": rule, "message": message } })
}
