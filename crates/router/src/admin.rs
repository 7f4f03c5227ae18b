//! The admin endpoints of a router: health, readiness and metrics.

use {
    crate::shared::Shared,
    edge::{Body, full},
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    std::{convert::Infallible, sync::Arc},
};

/// Handles one admin request.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (status, text) = match request.uri().path() {
        "/health" => (StatusCode::OK, "ok\n".to_owned()),
        "/ready" => ready(&shared),
        "/metrics" => (StatusCode::OK, shared.metrics.render(&shared)),
        _ => (StatusCode::NOT_FOUND, "no such page\n".to_owned()),
    };
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    Ok(response)
}

/// Reports readiness. A router is healthy but not ready while it drains, and until it has a configuration and is
/// listed in a roster.
fn ready(shared: &Shared) -> (StatusCode, String) {
    if shared.is_leaving() {
        return (StatusCode::SERVICE_UNAVAILABLE, "draining\n".to_owned());
    }
    let view = shared.view();
    if view.config.revision.0 == 0 || !shared.is_listed() {
        return (StatusCode::SERVICE_UNAVAILABLE, "waiting for control\n".to_owned());
    }
    (StatusCode::OK, format!("ready at {} {}\n", view.config.revision, view.roster.epoch))
}
