//! The JSON answers of the admin API.

use {
    derive_more::{Debug, Display},
    edge::{Body, full},
    http::{HeaderValue, Response, StatusCode, header},
    intent::{Answer, OperationError},
    model::Reason,
    serde::Serialize,
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// Returns a JSON answer.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let mut response = Response::new(full(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Why a request did not become an operation.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub(crate) enum Fault {
    /// The token belongs to no operator.
    #[display("expected the bearer token of an operator")]
    Unauthorized,
    /// No operation id, or too long a one.
    #[display("expected an operation-id header of 1 to 128 bytes")]
    OperationId,
    /// No such path or method.
    #[display("no such path or method")]
    Path,
    /// The body cannot be read.
    #[display("the body cannot be read: {_0}")]
    Body(Reason),
    /// Another replica leads, at this admin address as far as is known.
    #[display("this replica does not lead")]
    NotLeader(Option<SocketAddr>),
    /// The operation was not committed in time; it may yet be, and a resend tells.
    #[display("no quorum; send the operation again with the same id")]
    NoQuorum,
    /// This replica does not count towards the quorum yet.
    #[display("this replica does not vote yet")]
    NoVote,
}

/// Returns the answer to a request that did not become an operation.
pub(crate) fn fault(fault: Fault) -> Response<Body> {
    if let Fault::NotLeader(leader) = fault {
        return json(StatusCode::MISDIRECTED_REQUEST, &json!({ "leader": leader }));
    }
    let (status, rule) = match fault {
        Fault::Unauthorized => (StatusCode::UNAUTHORIZED, "unauthorized"),
        Fault::OperationId => (StatusCode::BAD_REQUEST, "operation-id"),
        Fault::Path => (StatusCode::NOT_FOUND, "path"),
        Fault::Body(Reason::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
        Fault::Body(_) => (StatusCode::BAD_REQUEST, "body"),
        Fault::NotLeader(_) => (StatusCode::MISDIRECTED_REQUEST, "leader"),
        Fault::NoQuorum => (StatusCode::SERVICE_UNAVAILABLE, "no-quorum"),
        Fault::NoVote => (StatusCode::SERVICE_UNAVAILABLE, "no-vote"),
    };
    json(status, &error_body("request", rule, &fault.to_string()))
}

/// Returns the answer to a routing configuration that is not valid.
pub(crate) fn invalid(reason: &str) -> Response<Body> {
    json(StatusCode::UNPROCESSABLE_ENTITY, &error_body("layout", "invalid", reason))
}

/// Returns the answer to an operation.
pub(crate) fn answer(answer: &Answer) -> Response<Body> {
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
            json(status(it), &body)
        }
    }
}

fn status(refused: &OperationError) -> StatusCode {
    match refused {
        OperationError::Rule(_) if refused.is_malformed() => StatusCode::BAD_REQUEST,
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
