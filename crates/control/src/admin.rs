//! The admin HTTP API for operators.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        evacuations::{EvacuationError, EvacuationStore, OrderRequest},
        replicated_log::CommitError,
        response::{self, RequestError},
        routing_configs::{PublishError, RoutingConfigStore},
        status,
    },
    bytes::Bytes,
    edge::{Body, Payload, full, read_all},
    http::{Method, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    intent::{Action, Document, Operation, PlanId},
    model::{Digest, Domain, Name, OperationId},
    route::PublishOutcome,
    serde_json::json,
    std::{convert::Infallible, sync::Arc, time::Duration},
};

/// Maximum size of a document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// Time limit for the next part of a request body.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Maximum length of an operation id, in bytes.
const MAX_OPERATION_ID_BYTES: usize = 128;

/// Maximum length of the name of a failure domain, in bytes.
const MAX_DOMAIN_BYTES: usize = 128;

/// The header that carries the operation id.
const OPERATION_ID_HEADER: &str = "operation-id";

type AdminResult = Result<Response<Body>, RequestError>;

/// Serves one request.
pub(crate) async fn serve(
    shared: Option<Arc<Shared>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let Some(shared) = shared else { return Ok(response::error(RequestError::NotLeader(None))) };
    let result = match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => Ok(Response::new(full("ok\n"))),
        (&Method::GET, "/ready") => Ok(ready(&shared)),
        (&Method::GET, "/metrics") => metrics(&shared),
        _ => handle_operator_request(&shared, request).await,
    };
    Ok(result.unwrap_or_else(response::error))
}

/// Reports readiness: a replica is ready once it counts towards the quorum and knows a leader. Until then, the loss of
/// another replica may leave the group without a quorum.
fn ready(shared: &Shared) -> Response<Body> {
    match shared.log.leader_internal_addr() {
        Some(_) if shared.log.is_voter() => Response::new(full("ready\n")),
        Some(_) => response::error(RequestError::NotVoter),
        None => response::error(RequestError::NoQuorum),
    }
}

fn metrics(shared: &Shared) -> AdminResult {
    let metrics = shared.metrics.get().ok_or(RequestError::NotFound)?;
    Ok(Response::new(full(metrics.render(shared))))
}

async fn handle_operator_request(shared: &Arc<Shared>, request: Request<Incoming>) -> AdminResult {
    let operator = authenticate(shared, &request)?;
    if !shared.log.is_leader() {
        return Err(not_leader_error(shared));
    }
    let path = request.uri().path().to_owned();
    let segments: Vec<_> = path.trim_start_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["v1", "status"]) => {
            read_barrier(shared).await?;
            Ok(response::json(StatusCode::OK, &status::status(shared)))
        }
        (&Method::GET, ["v1", "audit"]) => {
            read_barrier(shared).await?;
            Ok(response::json(StatusCode::OK, &status::audit(shared)))
        }
        (&Method::GET, ["v1", "layout"]) => get_routing_config(shared).await,
        (&Method::PUT, ["v1", "layout"]) => put_routing_config(shared, request).await,
        (&Method::POST, ["v1", "plans"]) => {
            let id = operation_id(&request)?;
            let action = read_document(shared, request).await?;
            propose_operation(shared, id, operator, action).await
        }
        (&Method::POST, ["v1", "plans", plan, "confirm"]) => {
            let id = operation_id(&request)?;
            let plan = PlanId::parse(plan).ok_or(RequestError::NotFound)?;
            propose_operation(shared, id, operator, Action::Confirm { plan }).await
        }
        (&Method::POST, ["v1", "endpoints", endpoint, "drain"]) => {
            let id = operation_id(&request)?;
            let endpoint = Name::from(*endpoint);
            propose_operation(shared, id, operator, Action::Drain { endpoint }).await
        }
        (&Method::GET, ["v1", "domains", domain, "evacuation"]) => {
            read_barrier(shared).await?;
            let domain = domain_name(domain)?;
            Ok(response::json(StatusCode::OK, &status::evacuation_effect(shared, &domain)))
        }
        (&Method::POST, ["v1", "domains", domain, "evacuation"]) => {
            let id = operation_id(&request)?;
            let request = evacuation_request(domain, operator, id, request).await?;
            evacuation_response(shared, EvacuationStore::new(shared.clone()).order(request).await)
        }
        (&Method::DELETE, ["v1", "domains", domain, "evacuation"]) => {
            let id = operation_id(&request)?;
            let request = evacuation_request(domain, operator, id, request).await?;
            let withdrawn = EvacuationStore::new(shared.clone()).withdraw(request).await;
            evacuation_response(shared, withdrawn)
        }
        _ => Err(RequestError::NotFound),
    }
}

/// Returns the domain of a path. Its name is not encoded, as those in settings have no special characters.
fn domain_name(segment: &str) -> Result<Domain, RequestError> {
    let is_valid = (1..=MAX_DOMAIN_BYTES).contains(&segment.len()) && !segment.contains('%');
    is_valid.then(|| Domain(segment.into())).ok_or(RequestError::InvalidDomain)
}

async fn evacuation_request(
    domain: &str,
    by: Name,
    operation: OperationId,
    request: Request<Incoming>,
) -> Result<OrderRequest, RequestError> {
    let domain = domain_name(domain)?;
    let body = read_all(request.into_body(), 0, BODY_STALL_TIMEOUT).await;
    body.map_err(RequestError::Body)?;
    Ok(OrderRequest { domain, by, operation: Some(operation) })
}

fn evacuation_response(shared: &Shared, result: Result<(), EvacuationError>) -> AdminResult {
    match result {
        Ok(()) => Ok(response::json(StatusCode::OK, &json!({}))),
        Err(EvacuationError::UnknownDomain) => Err(RequestError::UnknownDomain),
        Err(EvacuationError::ReusedOperation) => Err(RequestError::ReusedOperation),
        Err(EvacuationError::OldMember) => Err(RequestError::OldMember),
        Err(EvacuationError::NotLeader { .. }) => Err(not_leader_error(shared)),
        Err(EvacuationError::Unknown) => Err(RequestError::NoQuorum),
    }
}

async fn get_routing_config(shared: &Arc<Shared>) -> AdminResult {
    let document = RoutingConfigStore::new(shared.clone()).read().await;
    let document = document.map_err(|it| publish_request_error(shared, &it))?;
    Ok(Response::new(document.into_body(drop)))
}

async fn put_routing_config(shared: &Arc<Shared>, request: Request<Incoming>) -> AdminResult {
    let document = receive_document(shared, request).await?;
    match RoutingConfigStore::new(shared.clone()).publish(document).await {
        Ok(PublishOutcome::InForce) => {
            Ok(response::json(StatusCode::OK, &json!({ "overtaken": null })))
        }
        Ok(PublishOutcome::Overtaken { version }) => {
            Ok(response::json(StatusCode::OK, &json!({ "overtaken": version })))
        }
        Err(PublishError::Invalid { reason }) => Ok(response::invalid_config(&reason)),
        Err(err) => Err(publish_request_error(shared, &err)),
    }
}

fn publish_request_error(shared: &Shared, err: &PublishError) -> RequestError {
    match err {
        PublishError::NotLeader { .. } => not_leader_error(shared),
        PublishError::Busy => RequestError::Busy,
        PublishError::Invalid { .. } | PublishError::Unknown => RequestError::NoQuorum,
    }
}

fn not_leader_error(shared: &Shared) -> RequestError {
    RequestError::NotLeader(shared.log.leader_addrs().map(|it| it.admin))
}

fn authenticate(shared: &Shared, request: &Request<Incoming>) -> Result<Name, RequestError> {
    let value = request.headers().get(header::AUTHORIZATION);
    let token = value.and_then(|it| it.to_str().ok()?.strip_prefix("Bearer "));
    let operator = token.and_then(|it| shared.operators.authenticate(it.trim()));
    operator.cloned().ok_or(RequestError::Unauthorized)
}

fn operation_id(request: &Request<Incoming>) -> Result<OperationId, RequestError> {
    let value = request.headers().get(OPERATION_ID_HEADER).and_then(|it| it.to_str().ok());
    let id = value.filter(|it| (1..=MAX_OPERATION_ID_BYTES).contains(&it.len()));
    id.map(|it| OperationId(it.into())).ok_or(RequestError::InvalidOperationId)
}

/// Reads a document from the request body. A malformed document is still proposed, so that its rejection is audited.
async fn read_document(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Action, RequestError> {
    let bytes = receive_document(shared, request).await?;
    let text = str::from_utf8(&bytes).map_err(|it| it.to_string());
    Ok(match text.and_then(Document::parse) {
        Ok(document) => Action::Plan(document),
        Err(message) => Action::Malformed { message: message.into(), text: Digest::of(&bytes) },
    })
}

/// Receives the body of a request, whose memory is counted until it is dropped.
async fn receive_document(
    shared: &Shared,
    request: Request<Incoming>,
) -> Result<Bytes, RequestError> {
    let (parts, body) = request.into_parts();
    let memory = &shared.document_memory;
    let received = memory.receive_request(&parts, body, MAX_DOCUMENT_BYTES, BODY_STALL_TIMEOUT);
    received.await.and_then(Payload::join).map_err(RequestError::Body)
}

async fn propose_operation(
    shared: &Shared,
    id: OperationId,
    operator: Name,
    action: Action,
) -> AdminResult {
    let live = shared.router_reports.lock().service_loads(shared.clock.now()).into();
    let (at_ms, weights) = (shared.unix_time_ms(), shared.weight_store());
    let operation = Operation { id, operator, at_ms, action, live, weights };
    let result = shared.log.propose(&Command::Operation(Box::new(operation))).await;
    match result.map_err(|it| commit_request_error(shared, it))? {
        Output::Answer(it) => Ok(response::operation(&it)),
        _ => Err(RequestError::NoQuorum),
    }
}

/// Waits until the local state includes everything acknowledged so far.
async fn read_barrier(shared: &Shared) -> Result<(), RequestError> {
    shared.log.read_barrier().await.map_err(|it| commit_request_error(shared, it))
}

fn commit_request_error(shared: &Shared, cause: CommitError) -> RequestError {
    match cause {
        CommitError::NotLeader => not_leader_error(shared),
        CommitError::Unknown => RequestError::NoQuorum,
    }
}
