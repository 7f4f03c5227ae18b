//! Connects to endpoints and records which of them this gateway reaches.

use {
    crate::{
        shared::Shared,
        upstream::{self, IdleConnection, SendError},
    },
    ::path::{Endpoint, PathChange},
    dispatch::Assignment,
    model::{MILLISECOND, Name},
};

/// Connects to the endpoint of an assignment.
pub(crate) async fn connect(
    shared: &Shared,
    service: &Name,
    pick: &Assignment,
) -> Result<IdleConnection, SendError> {
    let begun_at = shared.now();
    let endpoint = Endpoint { service: service.clone(), incarnation: pick.incarnation };
    let connected = upstream::connect(pick.addr).await;
    let now = shared.now();
    let changes = match &connected {
        Ok(_) => shared.paths.lock().record_reached(now, begun_at, &endpoint),
        Err(_) => shared.paths.lock().record_failed(now, begun_at, &endpoint),
    };
    changes.iter().for_each(log);
    connected
}

fn log(change: &PathChange) {
    match change {
        PathChange::Lost { service, reached_ago } => tracing::warn!(
            event = "path-lost",
            service = service.as_deref(),
            reached_ms = reached_ago.map(|it| it / MILLISECOND),
            "gateway: endpoints are not reached any more"
        ),
        PathChange::Regained { service, lost_for } => tracing::info!(
            event = "path-regained",
            service = service.as_deref(),
            lost_ms = lost_for / MILLISECOND,
            "gateway: endpoints are reached again"
        ),
    }
}
