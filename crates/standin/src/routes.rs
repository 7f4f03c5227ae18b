//! The engine's HTTP protocol; docs/ENDPOINT-PROTOCOL.md describes it.

use {
    crate::{
        chat::{ChatRequest, PrefixBlock},
        engine::Engine,
        orders::OrderRequest,
        reply::{Refused, json, parts, read_json},
    },
    edge::Body,
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    serde_json::json as text,
    std::{str::FromStr, sync::Arc},
};

/// The prefixes of one request's chat, as they are exported and imported.
#[derive(Serialize, Deserialize)]
struct Kv {
    chain: Vec<PrefixBlock>,
    tokens: u64,
}

pub(crate) async fn answer(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let answered = route(engine, request).await;
    answered.unwrap_or_else(Response::from)
}

async fn route(engine: Arc<Engine>, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or("");
    let parts: Vec<&str> = head.uri.path().split('/').skip(1).collect();
    let method = head.method.clone();
    match (method, parts.as_slice()) {
        (Method::POST, ["v1", "chat", "completions"]) => {
            complete(&engine, &head.headers, read_json(body).await?)
        }
        (Method::DELETE, ["v1", "requests", id]) => {
            let attempt = parameter(query, "attempt").and_then(|it| it.parse().ok());
            let cancelled = engine.state().cancel_request(id, attempt);
            Ok(ok(&text!({ "cancelled": cancelled })))
        }
        (Method::GET, ["load"]) => Ok(load(&engine, query == "now")),
        (Method::GET, ["events"]) => {
            let after = parameter(query, "after").and_then(|it| it.parse().ok()).unwrap_or(0);
            Ok(ok(&engine.state().events_after(after)))
        }
        (Method::GET, ["images"]) => Ok(images(&engine)),
        (Method::GET, ["orders"]) => Ok(ok(engine.state().carried.log())),
        (Method::POST, ["orders"]) => Ok(order(&engine, &read_json(body).await?)),
        (Method::GET, ["kv", id]) => export(&engine, id),
        (Method::POST, ["kv", _]) => Ok(import(&engine, &read_json(body).await?)),
        _ => Err(Refused::new(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn ok<T>(value: &T) -> Response<Body>
where
    T: Serialize + ?Sized,
{
    json(StatusCode::OK, value)
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
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
) -> Result<Response<Body>, Refused> {
    if chat.messages.is_empty() {
        return Err(Refused::new(StatusCode::BAD_REQUEST, "messages: expected at least one"));
    }
    if !engine.state().carried.carries(&chat.model) {
        return Err(Refused::new(StatusCode::NOT_FOUND, "model: not carried here"));
    }
    let request = headers.get("x-request-id").and_then(|it| it.to_str().ok()).unwrap_or("none");
    let attempt = header_number(headers, "x-attempt", 1);
    let priority = header_number(headers, "x-priority", 0);
    let offset = header_number(headers, "x-resume-offset", 0);
    let receiver = engine.submit(&chat, request, attempt, priority, offset);
    let mut response = Response::new(parts(receiver));
    let kind = if chat.stream { "text/event-stream" } else { "application/json" };
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    Ok(response)
}

fn load(engine: &Engine, now: bool) -> Response<Body> {
    let state = engine.state();
    let (load, age_ms) = if now { (state.load.latest(), 0) } else { state.load.get() };
    ok(&text!({
        "work": load.work, "running": load.running, "age_ms": age_ms,
        "prompt_tokens": load.prompt_tokens, "cached_tokens": load.cached_tokens,
    }))
}

fn images(engine: &Engine) -> Response<Body> {
    let state = engine.state();
    let list = state.images().into_iter().map(|(it, state)| {
        text!({ "model": &*it.model, "adapter": &*it.adapter, "version": &*it.version, "state": state })
    });
    ok(&text!({ "role": &**state.role(), "images": list.collect::<Vec<_>>() }))
}

fn order(engine: &Arc<Engine>, request: &OrderRequest) -> Response<Body> {
    match engine.order(request) {
        Ok(()) => ok(&text!({ "taken": true })),
        Err(highest) => {
            let fence = text!({ "term": highest.term.0, "revision": highest.revision.0 });
            json(
                StatusCode::CONFLICT,
                &text!({ "error": { "message": "old fencing number" }, "highest": fence }),
            )
        }
    }
}

fn export(engine: &Engine, id: &str) -> Result<Response<Body>, Refused> {
    let state = engine.state();
    let missing = || Refused::new(StatusCode::NOT_FOUND, "not held");
    let chain = state.chain_of(id).ok_or_else(missing)?;
    let held = state.cache.cached(chain);
    if held == 0 {
        return Err(missing());
    }
    let mut left = held;
    let held_links = chain.iter().take_while(|(_, tokens)| {
        let fits = *tokens <= left;
        left = left.saturating_sub(*tokens);
        fits
    });
    Ok(ok(&Kv { chain: held_links.copied().collect(), tokens: u64::from(held) }))
}

fn import(engine: &Engine, kv: &Kv) -> Response<Body> {
    let evicted = engine.state().cache.store(&kv.chain);
    ok(&text!({ "evicted": evicted }))
}
