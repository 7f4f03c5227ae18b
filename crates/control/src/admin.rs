//! The admin HTTP API for operators.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        layouts::{Layouts, NotPublished},
        log::NotCommitted,
        reply::{self, Fault},
        status,
    },
    edge::{Body, full, read_all},
    http::{Method, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    intent::{Action, Document, Operation, PlanId},
    model::{Digest, Name, OperationId},
    route::PublishOutcome,
    serde_json::json,
    std::{convert::Infallible, sync::Arc, time::Duration},
};

/// The longest document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// How long a document may stall on its way.
const STALL_LIMIT: Duration = Duration::from_millis(10_000);

/// The longest operation id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// The header that carries the operation id.
const OPERATION_HEADER: &str = "operation-id";

type Answered = Result<Response<Body>, Fault>;

/// Answers one request.
pub(crate) async fn serve(
    shared: Option<Arc<Shared>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let Some(shared) = shared else { return Ok(reply::fault(Fault::NotLeader(None))) };
    let answered = match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => Ok(Response::new(full("ok\n"))),
        (&Method::GET, "/ready") => Ok(ready(&shared)),
        (&Method::GET, "/metrics") => metrics(&shared),
        _ => operate(&shared, request).await,
    };
    Ok(answered.unwrap_or_else(reply::fault))
}

/// A replica is ready once it counts towards the quorum and knows a leader: until then, losing another one may leave
/// no quorum.
fn ready(shared: &Shared) -> Response<Body> {
    match shared.log.leader_inner() {
        Some(_) if shared.log.votes() => Response::new(full("ready\n")),
        Some(_) => reply::fault(Fault::NoVote),
        None => reply::fault(Fault::NoQuorum),
    }
}

fn metrics(shared: &Shared) -> Answered {
    let metrics = shared.metrics.get().ok_or(Fault::Path)?;
    Ok(Response::new(full(metrics.page(shared))))
}

async fn operate(shared: &Arc<Shared>, request: Request<Incoming>) -> Answered {
    let operator = operator(shared, &request)?;
    if !shared.log.leads() {
        return Err(not_leader(shared));
    }
    let path = request.uri().path().to_owned();
    let steps: Vec<_> = path.trim_start_matches('/').split('/').collect();
    match (request.method(), steps.as_slice()) {
        (&Method::GET, ["v1", "status"]) => {
            current(shared).await?;
            Ok(reply::json(StatusCode::OK, &status::status(shared)))
        }
        (&Method::GET, ["v1", "audit"]) => {
            current(shared).await?;
            Ok(reply::json(StatusCode::OK, &status::audit(shared)))
        }
        (&Method::GET, ["v1", "layout"]) => layout(shared).await,
        (&Method::PUT, ["v1", "layout"]) => publish(shared, request).await,
        (&Method::POST, ["v1", "plans"]) => {
            let id = operation_id(&request)?;
            let action = document(request).await?;
            propose(shared, id, operator, action).await
        }
        (&Method::POST, ["v1", "plans", plan, "confirm"]) => {
            let id = operation_id(&request)?;
            let plan = PlanId::parse(plan).ok_or(Fault::Path)?;
            propose(shared, id, operator, Action::Confirm { plan }).await
        }
        (&Method::POST, ["v1", "endpoints", endpoint, "drain"]) => {
            let id = operation_id(&request)?;
            let endpoint = Name::from(*endpoint);
            propose(shared, id, operator, Action::Drain { endpoint }).await
        }
        _ => Err(Fault::Path),
    }
}

async fn layout(shared: &Arc<Shared>) -> Answered {
    let document = Layouts::new(shared.clone()).read().await;
    let document = document.map_err(|it| not_published(shared, &it))?;
    Ok(Response::new(full(document)))
}

async fn publish(shared: &Arc<Shared>, request: Request<Incoming>) -> Answered {
    let read = read_all(request.into_body(), MAX_DOCUMENT_BYTES, STALL_LIMIT).await;
    let document = read.map_err(Fault::Body)?;
    match Layouts::new(shared.clone()).publish(document).await {
        Ok(PublishOutcome::InForce) => {
            Ok(reply::json(StatusCode::OK, &json!({ "overtaken": null })))
        }
        Ok(PublishOutcome::Overtaken { version }) => {
            Ok(reply::json(StatusCode::OK, &json!({ "overtaken": version })))
        }
        Err(NotPublished::Invalid { reason }) => Ok(reply::invalid(&reason)),
        Err(err) => Err(not_published(shared, &err)),
    }
}

fn not_published(shared: &Shared, err: &NotPublished) -> Fault {
    match err {
        NotPublished::NotLeader { .. } => not_leader(shared),
        NotPublished::Invalid { .. } | NotPublished::Unknown => Fault::NoQuorum,
    }
}

fn not_leader(shared: &Shared) -> Fault {
    Fault::NotLeader(shared.log.leader().map(|it| it.admin))
}

fn operator(shared: &Shared, request: &Request<Incoming>) -> Result<Name, Fault> {
    let value = request.headers().get(header::AUTHORIZATION);
    let token = value.and_then(|it| it.to_str().ok()?.strip_prefix("Bearer "));
    let found = token.and_then(|it| shared.operators.find(it.trim()));
    found.cloned().ok_or(Fault::Unauthorized)
}

fn operation_id(request: &Request<Incoming>) -> Result<OperationId, Fault> {
    let value = request.headers().get(OPERATION_HEADER).and_then(|it| it.to_str().ok());
    let id = value.filter(|it| (1..=MAX_ID_BYTES).contains(&it.len()));
    id.map(|it| OperationId(it.into())).ok_or(Fault::OperationId)
}

/// Reads a document; one that cannot be read is still proposed, so that its refusal is audited.
async fn document(request: Request<Incoming>) -> Result<Action, Fault> {
    let read = read_all(request.into_body(), MAX_DOCUMENT_BYTES, STALL_LIMIT).await;
    let bytes = read.map_err(Fault::Body)?;
    let text = str::from_utf8(&bytes).map_err(|it| it.to_string());
    Ok(match text.and_then(Document::parse) {
        Ok(document) => Action::Plan(document),
        Err(message) => Action::Malformed { message: message.into(), text: Digest::of(&bytes) },
    })
}

async fn propose(shared: &Shared, id: OperationId, operator: Name, action: Action) -> Answered {
    let live = shared.fleet.lock().live(shared.clock.now()).into();
    let (at_ms, weights) = (shared.wall_ms(), shared.weights());
    let operation = Operation { id, operator, at_ms, action, live, weights };
    let proposed = shared.log.propose(&Command::Operation(Box::new(operation))).await;
    match proposed.map_err(|it| not_committed(shared, it))? {
        Output::Answer(it) => Ok(reply::answer(&it)),
        _ => Err(Fault::NoQuorum),
    }
}

/// Makes sure that what is read next is current.
async fn current(shared: &Shared) -> Result<(), Fault> {
    shared.log.read().await.map_err(|it| not_committed(shared, it))
}

fn not_committed(shared: &Shared, cause: NotCommitted) -> Fault {
    match cause {
        NotCommitted::NotLeader => not_leader(shared),
        NotCommitted::Unknown => Fault::NoQuorum,
    }
}
