//! Evacuations of failure domains, as ordered by operators: endpoints of an evacuated domain get no requests.
//!
//! The set comes from control replicas and from other gateways. The highest revision wins and is kept, whatever is heard
//! later or not at all.

use {
    crate::shared::Shared,
    derive_more::Debug,
    model::Domain,
    std::net::SocketAddr,
    wire::{Encoded, msg::WatchUpdate},
};

/// The protocol that introduced evacuations and cold endpoints.
pub(crate) const MIN_PROTOCOL: u32 = 1;

/// The evacuated domains.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct EvacuationSet {
    pub(crate) revision: u64,
    pub(crate) domains: Vec<Domain>,
}

/// Puts a set in force, unless this gateway has it or a later one.
pub(crate) fn apply(shared: &Shared, sender: SocketAddr, set: EvacuationSet) {
    let mut current = shared.evacuations.lock();
    let before = current.as_ref().map(|it| it.revision);
    if before >= Some(set.revision) {
        return;
    }
    tracing::info!(
        event = "evacuations",
        revision = set.revision,
        before,
        %sender,
        domains = ?set.domains.iter().map(|it| it.0.as_ref()).collect::<Vec<_>>(),
        "gateway: set of evacuated domains applied"
    );
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    dispatcher.set_evacuated(now, &set.domains);
    let next = dispatcher.start_all_queued(now);
    shared.notify_waiters(&mut dispatcher, next);
    drop(dispatcher);
    shared.metrics.record_evacuated(set.domains.len());
    *current = Some(set);
}

/// Returns whether a domain is evacuated. What connects to an endpoint without asking the dispatcher at that time asks
/// this.
pub(crate) fn is_evacuated(shared: &Shared, domain: &Domain) -> bool {
    let current = shared.evacuations.lock();
    current.as_ref().is_some_and(|it| it.domains.contains(domain))
}

/// Returns whether this gateway has received a set.
pub(crate) fn is_known(shared: &Shared) -> bool {
    shared.evacuations.lock().is_some()
}

/// Encodes the set for another gateway.
pub(crate) fn encode(shared: &Shared) -> Option<Encoded> {
    let EvacuationSet { revision, domains } = shared.evacuations.lock().clone()?;
    Encoded::new(&WatchUpdate::Evacuations { revision, domains })
}
