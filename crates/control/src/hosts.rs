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
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// How long the platform may take to answer, in milliseconds.
const READ_LIMIT_MS: u64 = 2_000;

/// One line of the list; what else the platform says is passed over.
#[derive(Deserialize)]
struct Listed {
    host: HostName,
}

/// Reads the list while this replica leads, for the life of the process.
pub(crate) async fn run(shared: Arc<Shared>, addr: SocketAddr) {
    let client = Client::new(READ_LIMIT_MS);
    let mut ticks = interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !shared.log.leads() {
            continue;
        }
        let Some(hosts) = read(&client, addr).await else {
            tracing::debug!("control: no host list from {addr}");
            continue;
        };
        let now = shared.clock.now();
        shared.members(|it| it.update_hosts(now, &hosts));
    }
}

/// Returns the hosts that are listed, live and leaving alike; an empty list is taken for a fault of the platform.
async fn read(client: &Client, addr: SocketAddr) -> Option<BTreeSet<HostName>> {
    let answered = client.call(addr, "GET", "/hosts", None, empty()).await;
    let (status, body) = answered.ok()?;
    if status != 200 {
        return None;
    }
    let listed: Vec<Listed> = serde_json::from_slice(&body).ok()?;
    let hosts: BTreeSet<HostName> = listed.into_iter().map(|it| it.host).collect();
    (!hosts.is_empty()).then_some(hosts)
}
