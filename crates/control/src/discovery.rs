//! Polls the directory for endpoints and publishes the catalog to watch streams.
//!
//! Every replica polls on its own, so that routers learn of a leaving endpoint without depending on the leader.

use {
    crate::{cold_list::ColdList, control::Shared, topic::Topic},
    directory::{Catalog, Directory, ListedEndpoint, Listing, PollInterval},
    model::{Domain, MILLISECOND, SECOND, Time},
    parking_lot::Mutex,
    std::{
        collections::BTreeSet,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::{sync::watch, time::sleep},
    wire::{Compressed, Encoded, msg::WatchUpdate},
};

/// The maximum number of domains that are remembered, as the list may name any.
const MAX_KNOWN_DOMAINS: usize = 10_000;

/// How long the next listing may be overdue before the last one counts as stale, in microseconds.
const FRESHNESS_MARGIN: u64 = 2 * SECOND;

/// The endpoints that this replica last listed.
#[derive(Default)]
pub(crate) struct Discovery {
    pub(crate) catalog: watch::Sender<Option<Arc<Topic<Catalog>>>>,
    /// The catalog for gateways that know no evacuations: endpoints of evacuated domains are shown as draining. `None`
    /// until such a gateway connects.
    pub(crate) legacy_catalog: watch::Sender<Option<Arc<Topic<Catalog>>>>,
    /// Whether such a gateway connected since this process started.
    has_legacy_gateways: AtomicBool,
    /// The cold endpoints.
    pub(crate) cold: watch::Sender<ColdList>,
    /// The domains in which an endpoint was listed since this process started.
    pub(crate) known_domains: Mutex<BTreeSet<Domain>>,
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
        let requested_at = shared.clock.now();
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
            record_domains(&shared, &listing.endpoints);
            let now = shared.clock.now();
            // Before gateways are told: what this replica proves covers the lists of all of them.
            shared.origins.update_endpoints(now, requested_at, &listing.endpoints);
            update_catalog(&shared, listing);
            shared.discovery.cold.send_if_modified(|it| it.update(now, listing));
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
    update_legacy_catalog(shared);
}

/// Provides the catalog for gateways that know no evacuations.
pub(crate) fn provide_legacy_catalog(shared: &Shared) {
    if !shared.discovery.has_legacy_gateways.swap(true, Ordering::Relaxed) {
        update_legacy_catalog(shared);
    }
}

/// Updates the catalog for gateways that know no evacuations, if there are any.
pub(crate) fn update_legacy_catalog(shared: &Shared) {
    if !shared.discovery.has_legacy_gateways.load(Ordering::Relaxed) {
        return;
    }
    shared.discovery.legacy_catalog.send_if_modified(|topic| {
        let Some(catalog) = legacy_catalog(shared) else { return false };
        let next = match topic {
            None => Topic::new(catalog, encode_catalog),
            Some(previous) => {
                let delta = previous.value().diff(&catalog);
                if delta.is_empty() {
                    return false;
                }
                previous.next(catalog, Encoded::new(&WatchUpdate::CatalogDelta(delta)))
            }
        };
        *topic = Some(Arc::new(next));
        true
    });
}

fn legacy_catalog(shared: &Shared) -> Option<Catalog> {
    let topic = shared.discovery.catalog.borrow().clone()?;
    let evacuations = shared.evacuations.borrow().clone();
    let Some(set) = evacuations.filter(|it| !it.domains.is_empty()) else {
        return Some(topic.value().clone());
    };
    let mut endpoints = topic.value().endpoints();
    for endpoint in &mut endpoints {
        endpoint.draining |= set.domains.contains(&endpoint.domain);
    }
    Some(Catalog::from_endpoints(&endpoints))
}

fn record_domains(shared: &Shared, endpoints: &[ListedEndpoint]) {
    let mut known = shared.discovery.known_domains.lock();
    for endpoint in endpoints {
        if !known.contains(&endpoint.domain) && known.len() < MAX_KNOWN_DOMAINS {
            known.insert(endpoint.domain.clone());
        }
    }
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
