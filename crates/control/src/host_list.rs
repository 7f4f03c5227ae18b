//! Polls the platform's list of hosts.
//!
//! The list lags behind, so it is only a hint and only matters for routers that are already missing. A missing router
//! whose host has been off the list for long holds no capacity any more, and the capacity reserved for it is given to
//! the new owners of its endpoints.

use {
    crate::control::Shared,
    edge::{Client, empty},
    model::HostName,
    serde::Deserialize,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Time limit for the platform's response, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// The limit on the list, in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;

/// An entry of the list. Other fields of the platform's response are ignored.
#[derive(Deserialize)]
struct HostEntry {
    host: HostName,
}

/// Polls the list while this replica is the leader. Runs until the process exits.
pub(crate) async fn run(shared: Arc<Shared>, addr: SocketAddr) {
    let client = Client::new(REQUEST_TIMEOUT_MS).with_limit(MAX_LIST_BYTES);
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !shared.log.is_leader() {
            continue;
        }
        let Some(hosts) = fetch(&client, addr).await else {
            tracing::debug!("control: cannot read the host list from {addr}");
            continue;
        };
        let now = shared.clock.now();
        shared.with_members(|it| it.update_hosts(now, &hosts));
    }
}

/// Fetches the listed hosts, both live and leaving ones. An empty list is treated as a fault of the platform.
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
