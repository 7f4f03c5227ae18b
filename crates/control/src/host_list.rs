//! The platform's list of hosts: a hint, for it lags.
//!
//! It only counts for routers that are missing already: one whose host has been off the list for long holds nothing
//! any more, and what was left free for it is given to the endpoints' new owners.

use {
    crate::control::Shared,
    edge::{Client, empty},
    model::HostName,
    serde::Deserialize,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval},
};

/// How often the list is read.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How long the platform may take to answer, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// One line of the list; what else the platform says is passed over.
#[derive(Deserialize)]
struct HostEntry {
    host: HostName,
}

/// Reads the list while this replica leads, for the life of the process.
pub(crate) async fn run(shared: Arc<Shared>, addr: SocketAddr) {
    let client = Client::new(REQUEST_TIMEOUT_MS);
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !shared.log.is_leader() {
            continue;
        }
        let Some(hosts) = fetch(&client, addr).await else {
            tracing::debug!("control: no host list from {addr}");
            continue;
        };
        let now = shared.clock.now();
        shared.with_members(|it| it.update_hosts(now, &hosts));
    }
}

/// Returns the hosts that are entries, live and leaving alike; an empty list is taken for a fault of the platform.
async fn fetch(client: &Client, addr: SocketAddr) -> Option<BTreeSet<HostName>> {
    let result = client.call(addr, "GET", "/hosts", None, empty()).await;
    let (status, body) = result.ok()?;
    if status != 200 {
        return None;
    }
    let entries: Vec<HostEntry> = serde_json::from_slice(&body).ok()?;
    let hosts: BTreeSet<HostName> = entries.into_iter().map(|it| it.host).collect();
    (!hosts.is_empty()).then_some(hosts)
}
