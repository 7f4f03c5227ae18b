//! Polls owned endpoints for their load and their cache events.
//!
//! Only the owner of an endpoint probes it, and its standbys while they have no lease, so probe traffic does not grow
//! with the number of routers. Load reports lag and cache events have gaps. Both only correct the accounting of the
//! owner.

use {
    crate::shared::Shared,
    edge::{Client, empty},
    model::{EndpointId, RequestId, ServiceKind, Time, Work},
    serde::{Deserialize, de::DeserializeOwned},
    settings::Routing,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{MissedTickBehavior, interval},
    },
};

/// Interval between probes of one endpoint, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 800;

/// The limit on the response to a probe, in bytes. All owned endpoints are probed at once.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// The load that an endpoint reports, in units of [`Work`].
#[derive(Deserialize)]
struct LoadReport {
    work: u64,
}

/// One cache event of an engine.
#[derive(Deserialize)]
struct EventReport {
    seq: u64,
    kind: EventKind,
    request: String,
    #[serde(default)]
    tokens: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EventKind {
    Stored,
    Evicted,
}

/// The result of probing one endpoint.
struct ProbeResult {
    endpoint: EndpointId,
    requested_at: Time,
    load: Option<LoadReport>,
    events: Vec<EventReport>,
}

/// Probes the owned endpoints until the process exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    let client = Client::new(PROBE_TIMEOUT_MS).with_limit(MAX_RESPONSE_BYTES);
    let mut last_seqs: HashMap<EndpointId, u64> = HashMap::new();
    let mut ticks = interval(Duration::from_millis(PROBE_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut probes = JoinSet::new();
        for (endpoint, addr, kind) in probe_targets(&shared) {
            let after = (kind == ServiceKind::Model)
                .then(|| last_seqs.get(&endpoint).copied().unwrap_or(0));
            let (client, requested_at) = (client.clone(), shared.clock.now());
            probes.spawn(async move { probe(&client, endpoint, addr, requested_at, after).await });
        }
        while let Some(Ok(probe)) = probes.join_next().await {
            apply(&shared, &mut last_seqs, probe);
        }
    }
}

/// Returns the endpoints whose load this router tracks.
fn probe_targets(shared: &Shared) -> Vec<(EndpointId, SocketAddr, ServiceKind)> {
    let view = shared.view();
    let ids = match shared.settings.routing {
        Routing::LeastReported => view.config.endpoints.keys().copied().collect(),
        _ => shared.owned.lock().membership.monitored_endpoints(shared.clock.now()),
    };
    let kind =
        |service| view.config.services.get(&service).map_or(ServiceKind::Plain, |it| it.kind);
    let endpoints = ids.into_iter().filter_map(|it| view.endpoint(it));
    endpoints.map(|it| (it.id, it.addr, kind(it.service))).collect()
}

async fn probe(
    client: &Client,
    endpoint: EndpointId,
    addr: SocketAddr,
    requested_at: Time,
    after: Option<u64>,
) -> ProbeResult {
    let load = fetch(client, addr, "/load").await;
    let events = match after {
        Some(after) => {
            fetch(client, addr, &format!("/events?after={after}")).await.unwrap_or_default()
        }
        None => Vec::new(),
    };
    ProbeResult { endpoint, requested_at, load, events }
}

/// Fetches and parses a JSON document; returns `None` on any failure.
async fn fetch<T>(client: &Client, addr: SocketAddr, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let response = client.call(addr, "GET", path, None, empty()).await;
    let (status, body) = response.ok()?;
    if status != 200 {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

fn apply(shared: &Shared, last_seqs: &mut HashMap<EndpointId, u64>, probe: ProbeResult) {
    if let Some(load) = &probe.load {
        let now = shared.clock.now();
        shared.owned.lock().apply_load_report(
            now,
            probe.endpoint,
            probe.requested_at,
            Work(load.work),
        );
    }
    for event in probe.events {
        let last = last_seqs.entry(probe.endpoint).or_default();
        *last = (*last).max(event.seq);
        let Ok(request) = u128::from_str_radix(&event.request, 16) else { continue };
        let tokens = if event.kind == EventKind::Stored { event.tokens } else { 0 };
        shared.owned.lock().apply_cache_event(probe.endpoint, RequestId(request), tokens as u32);
    }
}
