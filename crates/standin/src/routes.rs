//! The HTTP API of an engine, as described in docs/ENDPOINT-PROTOCOL.md.

use {
    crate::{
        chat::{ChatRequest, PrefixBlock},
        engine::Engine,
        orders::OrderRequest,
        response::{Rejection, channel_body, json, read_json},
    },
    edge::Body,
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    serde_json::json as json_value,
    std::{str::FromStr, sync::Arc},
};

/// The KV cache of one request's chat, as exported and imported.
#[derive(Serialize, Deserialize)]
struct Kv {
    chain: Vec<PrefixBlock>,
    tokens: u64,
}

pub(crate) async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let handled = route(engine, request).await;
    handled.unwrap_or_else(Response::from)
}

async fn route(
    engine: Arc<Engine>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or("");
    let segments: Vec<&str> = head.uri.path().split('/').skip(1).collect();
    let method = head.method.clone();
    match (method, segments.as_slice()) {
        (Method::POST, ["v1", "chat", "completions"]) => {
            complete(&engine, &head.headers, read_json(body).await?)
        }
        (Method::DELETE, ["v1", "requests", id]) => {
            let attempt = query_parameter(query, "attempt").and_then(|it| it.parse().ok());
            let cancelled = engine.state().cancel_request(id, attempt);
            Ok(ok(&json_value!({ "cancelled": cancelled })))
        }
        (Method::GET, ["load"]) => Ok(load(&engine, query == "now")),
        (Method::GET, ["events"]) => {
            let after = query_parameter(query, "after").and_then(|it| it.parse().ok()).unwrap_or(0);
            Ok(ok(&engine.state().events_after(after)))
        }
        (Method::GET, ["images"]) => Ok(images(&engine)),
        (Method::GET, ["orders"]) => Ok(ok(engine.state().orders.log())),
        (Method::POST, ["orders"]) => Ok(order(&engine, &read_json(body).await?)),
        (Method::GET, ["kv", id]) => export(&engine, id),
        (Method::POST, ["kv", _]) => Ok(import(&engine, &read_json(body).await?)),
        _ => Err(Rejection::new(StatusCode::NOT_FOUND, "unknown path or method")),
    }
}

fn ok<T>(value: &T) -> Response<Body>
where
    T: Serialize + ?Sized,
{
    json(StatusCode::OK, value)
}

fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}

fn header_number<T>(headers: &HeaderMap, name: &str, default: T) -> T
where
    T: FromStr,
{
    let value = headers.get(name).and_then(|it| it.to_str().ok());
    value.and_then(|it| it.parse().ok()).unwrap_or(default)
}

fn complete(
    engine: &Arc<Engine>,
    headers: &HeaderMap,
    chat: ChatRequest,
) -> Result<Response<Body>, Rejection> {
    if chat.messages.is_empty() {
        return Err(Rejection::new(StatusCode::BAD_REQUEST, "messages: expected at least one"));
    }
    if !engine.state().orders.serves(&chat.model) {
        return Err(Rejection::new(StatusCode::NOT_FOUND, "model: not loaded on this engine"));
    }
    let request = headers.get("x-request-id").and_then(|it| it.to_str().ok()).unwrap_or("none");
    let attempt = header_number(headers, "x-attempt", 1);
    let priority = header_number(headers, "x-priority", 0);
    let offset = header_number(headers, "x-resume-offset", 0);
    let receiver = engine.submit(&chat, request, attempt, priority, offset);
    let mut response = Response::new(channel_body(receiver));
    let kind = if chat.stream { "text/event-stream" } else { "application/json" };
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    Ok(response)
}

fn load(engine: &Engine, now: bool) -> Response<Body> {
    let state = engine.state();
    let (load, age_ms) = if now { (state.load.latest(), 0) } else { state.load.get() };
    ok(&json_value!({
        "work": load.work, "running": load.running, "age_ms": age_ms,
        "prompt_tokens": load.prompt_tokens, "cached_tokens": load.cached_tokens,
    }))
}

fn images(engine: &Engine) -> Response<Body> {
    let state = engine.state();
    let list = state.images().into_iter().map(|(it, state)| {
        json_value!({ "model": &*it.model, "adapter": &*it.adapter, "version": &*it.version, "state": state })
    });
    ok(&json_value!({ "role": &**state.role(), "images": list.collect::<Vec<_>>() }))
}

fn order(engine: &Arc<Engine>, request: &OrderRequest) -> Response<Body> {
    match engine.order(request) {
        Ok(()) => ok(&json_value!({ "taken": true })),
        Err(highest) => {
            let fence = json_value!({ "term": highest.term.0, "revision": highest.revision.0 });
            json(
                StatusCode::CONFLICT,
                &json_value!({ "error": { "message": "stale fencing token" }, "highest": fence }),
            )
        }
    }
}

fn export(engine: &Engine, id: &str) -> Result<Response<Body>, Rejection> {
    let state = engine.state();
    let missing = || Rejection::new(StatusCode::NOT_FOUND, "no cached prefix for this request");
    let chain = state.chain_of(id).ok_or_else(missing)?;
    let held = state.cache.cached(chain);
    if held == 0 {
        return Err(missing());
    }
    let mut left = held;
    let held_blocks = chain.iter().take_while(|(_, tokens)| {
        let fits = *tokens <= left;
        left = left.saturating_sub(*tokens);
        fits
    });
    Ok(ok(&Kv { chain: held_blocks.copied().collect(), tokens: u64::from(held) }))
}

fn import(engine: &Engine, kv: &Kv) -> Response<Body> {
    let evicted = engine.state().cache.store(&kv.chain);
    ok(&json_value!({ "evicted": evicted }))
}
