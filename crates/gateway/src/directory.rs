//! Reading the list of endpoints.

use {
    crate::shared::Shared,
    derive_more::{Debug, Display, Error},
    dispatch::{Change, Listed},
    rand::Rng,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Where endpoints are listed.
pub trait Directory: Send + Sync + 'static {
    /// Returns all endpoints that can be used or are leaving, and how many calls that took.
    ///
    /// # Errors
    ///
    /// The list cannot be had; what was listed before still holds.
    fn list(&self) -> impl Future<Output = Result<Listing, DirectoryError>> + Send;
}

/// A whole list of endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Listing {
    /// The endpoints.
    pub endpoints: Vec<Listed>,
    /// How many calls it took.
    pub calls: u32,
}

/// The list of endpoints cannot be had.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("list of endpoints: {reason}")]
pub struct DirectoryError {
    /// What went wrong.
    pub reason: String,
}

/// How soon a first or failed listing is tried again.
const RETRY: Duration = Duration::from_millis(200);

/// Reads the list for as long as the process runs.
pub(crate) async fn run<D>(shared: Arc<Shared>, directory: D)
where
    D: Directory,
{
    let mut calls = 1;
    let mut failing = false;
    loop {
        match directory.list().await {
            Ok(listing) => {
                if failing {
                    tracing::info!(
                        event = "directory-found",
                        "gateway: endpoints are listed again"
                    );
                }
                failing = false;
                calls = listing.calls;
                take(&shared, &listing);
            }
            Err(err) => {
                if !failing {
                    tracing::warn!(event = "directory-lost", %err, "gateway: endpoints not listed");
                }
                failing = true;
            }
        }
        sleep(pause(&shared, calls, failing)).await;
    }
}

/// The pause until the next listing: all gateways together stay within the rate that is allowed.
fn pause(shared: &Shared, calls: u32, failing: bool) -> Duration {
    let settings = &shared.settings;
    let routers = shared.fleet.lock().routers.len().max(1);
    let fair_ms = (routers as f64 * f64::from(calls) * 1_000.0 / settings.listing_rate) as u64;
    let base = if failing { RETRY } else { Duration::from_millis(settings.listing_ms) };
    let pause = base.max(Duration::from_millis(fair_ms));
    pause.mul_f64(rand::rng().random_range(0.9..1.1))
}

fn take(shared: &Shared, listing: &Listing) {
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    let changes = dispatcher.refresh(&listing.endpoints);
    for service in listing.endpoints.iter().map(|it| &it.service) {
        let next = dispatcher.start_waiting(now, service);
        shared.hand_out(&mut dispatcher, next);
    }
    drop(dispatcher);
    shared.listed.store(true, Ordering::Relaxed);
    changes.iter().for_each(log);
}

fn log(change: &Change) {
    match change {
        Change::Added(it) => tracing::info!(
            event = "endpoint-added",
            endpoint = %it.id,
            service = %it.service,
            addr = %it.addr,
            "gateway: endpoint is new"
        ),
        Change::Draining(id) => {
            tracing::info!(event = "endpoint-draining", endpoint = %id, "gateway: endpoint leaves");
        }
        Change::Gone(id) => {
            tracing::info!(event = "endpoint-gone", endpoint = %id, "gateway: endpoint is gone");
        }
        Change::Restarted(id) => {
            tracing::info!(event = "endpoint-restarted", endpoint = %id, "gateway: started again");
        }
    }
}
