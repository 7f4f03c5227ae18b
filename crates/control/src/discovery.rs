//! Polls the directory for endpoints and publishes the catalog to watch streams.
//!
//! Every replica polls on its own, so that routers learn of a leaving endpoint without depending on the leader.

use {
    crate::{control::Shared, topic::Topic},
    directory::{Catalog, Directory, Listing, PollInterval},
    model::{MILLISECOND, SECOND, Time},
    parking_lot::Mutex,
    std::sync::Arc,
    tokio::{sync::watch, time::sleep},
    wire::{Compressed, Encoded, msg::WatchUpdate},
};

/// How long the next listing may be overdue before the last one counts as stale, in microseconds.
const FRESHNESS_MARGIN: u64 = 2 * SECOND;

/// The endpoints that this replica last listed.
#[derive(Default)]
pub(crate) struct Discovery {
    pub(crate) catalog: watch::Sender<Option<Arc<Topic<Catalog>>>>,
    /// The time until which the last listing counts as fresh.
    fresh_until: Mutex<Time>,
}

impl Discovery {
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        now < *self.fresh_until.lock()
    }
}

/// Polls the directory until the process exits.
pub(crate) async fn run<D>(shared: Arc<Shared>, directory: D)
where
    D: Directory,
{
    let settings = shared.settings.listing;
    let mut poll_interval = PollInterval::new(settings.interval_ms, settings.rate);
    let mut was_failing = false;
    loop {
        let listed = directory.list().await;
        let failed = listed.is_err();
        if failed != was_failing {
            match &listed {
                Ok(_) => tracing::info!(
                    event = "directory-found",
                    "control: directory is reachable again"
                ),
                Err(err) => {
                    tracing::warn!(
                        event = "directory-lost",
                        %err,
                        "control: cannot list endpoints"
                    );
                }
            }
            was_failing = failed;
        }
        if let Ok(listing) = &listed {
            poll_interval.record_calls(listing.calls);
            update_catalog(&shared, listing);
            shared.origins.update_endpoints(shared.clock.now(), &listing.endpoints);
        }
        // The jitter only spreads the polls of the replicas over time.
        let delay =
            poll_interval.next_delay(shared.log.member_addrs().len(), failed, shared.jitter());
        if !failed {
            let fresh_until =
                shared.clock.now() + delay.as_millis() as u64 * MILLISECOND + FRESHNESS_MARGIN;
            *shared.discovery.fresh_until.lock() = fresh_until;
        }
        sleep(delay).await;
    }
}

fn update_catalog(shared: &Shared, listing: &Listing) {
    let catalog = Catalog::from_endpoints(&listing.endpoints);
    let previous = shared.discovery.catalog.borrow().clone();
    let topic = match previous {
        None => Topic::new(catalog, encode_catalog),
        Some(previous) => {
            let delta = previous.value().diff(&catalog);
            if delta.is_empty() {
                return;
            }
            tracing::info!(
                event = "catalog-changed",
                changed = delta.changed.len(),
                gone = delta.removed.len(),
                "control: endpoint catalog changed"
            );
            previous.next(catalog, Encoded::new(&WatchUpdate::CatalogDelta(delta)))
        }
    };
    shared.discovery.catalog.send_replace(Some(Arc::new(topic)));
}

fn encode_catalog(catalog: &Catalog) -> Option<Encoded> {
    match Compressed::encode(catalog) {
        Ok(compressed) => Encoded::new(&WatchUpdate::Catalog(compressed)),
        Err(err) => {
            tracing::error!(
                event = "catalog-unpacked",
                %err,
                "control: cannot encode the endpoint catalog"
            );
            None
        }
    }
}
