//! Reading the list of endpoints, for the routers that watch.
//!
//! Each replica reads for itself, so that no router depends on the leader to learn that an endpoint leaves.

use {
    crate::{control::Shared, topic::Topic},
    directory::{Catalog, Directory, Listing, PollInterval},
    model::{MILLISECOND, SECOND, Time},
    parking_lot::Mutex,
    std::sync::Arc,
    tokio::{sync::watch, time::sleep},
    wire::{Compressed, Encoded, msg::WatchUpdate},
};

/// How long after it was due the next listing may come before the last one is old, in microseconds.
const SLACK: u64 = 2 * SECOND;

/// The endpoints as this replica last read them.
#[derive(Default)]
pub(crate) struct Discovery {
    pub(crate) catalog: watch::Sender<Option<Arc<Topic<Catalog>>>>,
    /// Until when the last listing counts as recent.
    recent_until: Mutex<Time>,
}

impl Discovery {
    pub(crate) fn is_recent(&self, now: Time) -> bool {
        now < *self.recent_until.lock()
    }
}

/// Reads the list for as long as the process runs.
pub(crate) async fn run<D>(shared: Arc<Shared>, directory: D)
where
    D: Directory,
{
    let settings = shared.settings.listing;
    let mut pace = PollInterval::new(settings.interval_ms, settings.rate);
    let mut failing = false;
    loop {
        let listed = directory.list().await;
        let failed = listed.is_err();
        if failed != failing {
            match &listed {
                Ok(_) => tracing::info!(event = "directory-found", "control: endpoints are listed"),
                Err(err) => {
                    tracing::warn!(event = "directory-lost", %err, "control: endpoints not listed");
                }
            }
            failing = failed;
        }
        if let Ok(listing) = &listed {
            pace.record_calls(listing.calls);
            update(&shared, listing);
        }
        // The next draw spreads replicas; it decides nothing else.
        let pause = pace.next_delay(shared.log.replicas().len(), failed, shared.spread());
        if !failed {
            let until = shared.clock.now() + pause.as_millis() as u64 * MILLISECOND + SLACK;
            *shared.discovery.recent_until.lock() = until;
        }
        sleep(pause).await;
    }
}

fn update(shared: &Shared, listing: &Listing) {
    let catalog = Catalog::from_endpoints(&listing.endpoints);
    let held = shared.discovery.catalog.borrow().clone();
    let topic = match held {
        None => Topic::first(catalog, encode),
        Some(held) => {
            let step = held.value().diff(&catalog);
            if step.is_empty() {
                return;
            }
            tracing::info!(
                event = "catalog-changed",
                changed = step.changed.len(),
                gone = step.removed.len(),
                "control: endpoints changed"
            );
            held.next(catalog, Encoded::new(&WatchUpdate::CatalogDelta(step)))
        }
    };
    shared.discovery.catalog.send_replace(Some(Arc::new(topic)));
}

fn encode(catalog: &Catalog) -> Option<Encoded> {
    match Compressed::encode(catalog) {
        Ok(packed) => Encoded::new(&WatchUpdate::Catalog(packed)),
        Err(err) => {
            tracing::error!(event = "catalog-unpacked", %err, "control: endpoints cannot be told");
            None
        }
    }
}
