//! Connects to endpoints, directly or by way of another gateway, and records which of them this
//! gateway reaches.

use {
    crate::{
        detour::{self, OpenError},
        evacuations,
        shared::Shared,
        upstream::{self, ConnectError, DirectConnection, IdleConnection, ResponseBody, SendError},
    },
    ::path::{Endpoint, PathChange},
    dispatch::Assignment,
    edge::Payload,
    http::{Request, Response},
    model::{MILLISECOND, Name, Time},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How long a connection must stay open to count as a path to an endpoint if nothing is sent.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// How often a gateway that has lost its path to endpoints tries one of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Connects to the endpoint of an assignment, for a request that may be handled in `regions`, or in
/// all of them.
pub(crate) async fn connect(
    shared: &Arc<Shared>,
    service: &Name,
    pick: &Assignment,
    regions: Option<&[Name]>,
) -> Result<IdleConnection, SendError> {
    if evacuations::is_evacuated(shared, &pick.domain) {
        return Err(SendError::Withheld { reason: "failure domain is evacuated".to_owned() });
    }
    let failed = tokio::select! {
        biased;
        () = lost(shared, service) => None,
        connected = connect_directly(shared, service, pick) => match connected {
            Ok(it) => return Ok(IdleConnection::Direct(it)),
            Err(err) => Some(err),
        },
    };
    if let Some(err) = &failed
        && !shared.paths.lock().is_lost(service)
    {
        return Err(SendError::NotSent { reason: err.to_string() });
    }
    match detour::open(shared, pick, regions).await {
        Ok(it) => return Ok(IdleConnection::Detour(it)),
        Err(err @ OpenError::Failed { .. }) => {
            return Err(SendError::NotSent { reason: err.to_string() });
        }
        Err(OpenError::NoPeer) => {}
    }
    let err = match failed {
        Some(it) => it,
        None => match connect_directly(shared, service, pick).await {
            Ok(it) => return Ok(IdleConnection::Direct(it)),
            Err(err) => err,
        },
    };
    Err(SendError::Withheld { reason: err.to_string() })
}

/// A direct connection to an endpoint, over which nothing has been sent. How it ends says whether this
/// gateway reaches the endpoint.
pub(crate) struct Connection {
    shared: Arc<Shared>,
    endpoint: Endpoint,
    begun_at: Time,
    inner: DirectConnection,
}

impl Connection {
    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(
        self,
        request: Request<Payload>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let Connection { shared, endpoint, begun_at, inner } = self;
        let response = inner.send(request).await;
        record(&shared, begun_at, &endpoint, response.is_ok());
        response
    }

    /// Records whether the connection stays open although nothing is sent.
    async fn probe(self) {
        let Connection { shared, endpoint, begun_at, inner } = self;
        let is_open = inner.stays_open(PROBE_TIME).await;
        record(&shared, begun_at, &endpoint, is_open);
    }
}

/// Connects to the endpoint of an assignment without another gateway.
pub(crate) async fn connect_directly(
    shared: &Arc<Shared>,
    service: &Name,
    pick: &Assignment,
) -> Result<Connection, ConnectError> {
    let begun_at = shared.now();
    let endpoint = Endpoint { service: service.clone(), incarnation: pick.incarnation };
    match upstream::connect(pick.addr).await {
        Ok(inner) => Ok(Connection { shared: shared.clone(), endpoint, begun_at, inner }),
        Err(err) => {
            record(shared, begun_at, &endpoint, false);
            Err(err)
        }
    }
}

/// Records whether an endpoint was reached over a direct connection begun at `begun_at`.
fn record(shared: &Shared, begun_at: Time, endpoint: &Endpoint, is_reached: bool) {
    let now = shared.now();
    let changes = if is_reached {
        shared.paths.lock().record_reached(now, begun_at, endpoint)
    } else {
        shared.paths.lock().record_failed(now, begun_at, endpoint)
    };
    changes.iter().for_each(|it| apply(shared, it));
}

/// Waits until the path to the endpoints of a service is lost.
async fn lost(shared: &Shared, service: &Name) {
    let mut path_lost = shared.path_lost.subscribe();
    loop {
        path_lost.mark_unchanged();
        if shared.paths.lock().is_lost(service) || path_lost.changed().await.is_err() {
            return;
        }
    }
}

/// Tries to reach endpoints while the path to them is lost, for as long as the process runs.
pub(crate) async fn probe(shared: Arc<Shared>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let probes = shared.paths.lock().probes(rand::random());
        for Endpoint { service, incarnation } in probes {
            let found = shared.dispatcher.lock().find(shared.now(), incarnation);
            let found = found.filter(|it| !evacuations::is_evacuated(&shared, &it.1.domain));
            if let Some((_, pick)) = found {
                let shared = shared.clone();
                tokio::spawn(async move {
                    if let Ok(connection) = connect_directly(&shared, &service, &pick).await {
                        connection.probe().await;
                    }
                });
            }
        }
    }
}

fn apply(shared: &Shared, change: &PathChange) {
    match change {
        PathChange::Lost { service, reached_ago } => {
            tracing::warn!(
                event = "path-lost",
                service = service.as_deref(),
                reached_ms = reached_ago.map(|it| it / MILLISECOND),
                "gateway: endpoints are not reached any more"
            );
            // The failures were not those of the endpoints.
            shared.dispatcher.lock().forgive_failures(service.as_ref());
            shared.path_lost.send_replace(());
        }
        PathChange::Regained { service, lost_for } => {
            tracing::info!(
                event = "path-regained",
                service = service.as_deref(),
                lost_ms = lost_for / MILLISECOND,
                "gateway: endpoints are reached again"
            );
            // Their connections are closed once no request uses them.
            shared.peers.lock().clear();
        }
    }
}
