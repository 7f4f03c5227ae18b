//! Endpoint discovery: applies the list that the control plane sends, and reads the directory
//! directly while the control plane is silent.

use {
    crate::shared::Shared,
    directory::{Directory, ListedEndpoint, PollInterval},
    dispatch::EndpointChange,
    model::{MILLISECOND, Name, Time},
    path::Endpoint,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How long the control plane may go without reporting a current endpoint list before this process
/// reads the directory, in milliseconds. It equals three missed heartbeats.
const CONTROL_TIMEOUT_MS: u64 = 3_000;

/// How often this process checks whether it must read the directory.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reads the directory while the control plane is silent, for as long as the process runs.
pub(crate) async fn run<D>(shared: Arc<Shared>, directory: D)
where
    D: Directory,
{
    let settings = shared.settings.listing;
    let mut pace = PollInterval::new(settings.interval_ms, settings.rate);
    let mut reading = false;
    loop {
        if !is_control_silent(&shared) {
            reading = false;
            sleep(POLL_INTERVAL).await;
            continue;
        }
        if !reading {
            tracing::info!(
                event = "directory-read",
                "gateway: control plane is silent, reading the directory"
            );
        }
        reading = true;
        let requested_at = shared.now();
        let listed = directory.list().await;
        let failed = listed.is_err();
        match listed {
            Ok(listing) => {
                pace.record_calls(listing.calls);
                // The control plane may have sent a newer list in the meantime.
                if is_control_silent(&shared) {
                    apply(&shared, &listing.endpoints);
                    shared.origins.lock().confirm_endpoints(requested_at);
                    apply_cold(&shared, cold_until(shared.now(), &listing.cold));
                }
            }
            Err(err) => {
                tracing::warn!(
                    event = "directory-lost",
                    %err,
                    "gateway: failed to read the directory"
                )
            }
        }
        let readers = shared.membership.lock().routers.len();
        sleep(pace.next_delay(readers, failed, rand::random())).await;
    }
}

/// Returns whether the list of endpoints was not confirmed for some time.
pub(crate) fn is_control_silent(shared: &Shared) -> bool {
    let updated = Time(shared.catalog_updated_at.load(Ordering::Relaxed));
    shared.now() >= updated + CONTROL_TIMEOUT_MS * MILLISECOND
}

/// Applies a list of endpoints.
pub(crate) fn apply(shared: &Shared, endpoints: &[ListedEndpoint]) {
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    let changes = dispatcher.update_endpoints(endpoints);
    let next = dispatcher.start_all_queued(now);
    let incarnations = dispatcher.incarnations();
    shared.notify_waiters(&mut dispatcher, next);
    drop(dispatcher);
    let endpoints_by_path =
        incarnations.into_iter().map(|(service, incarnation)| Endpoint { service, incarnation });
    shared.paths.lock().set_endpoints(endpoints_by_path);
    shared.origins.lock().update_endpoints(now, endpoints);
    if !shared.endpoints_loaded.swap(true, Ordering::Relaxed) {
        shared.progress.send_replace(());
    }
    changes.iter().for_each(log);
}

/// Returns until when endpoints are cold.
pub(crate) fn cold_until(now: Time, endpoints: &[(Name, u32)]) -> Vec<(Name, Time)> {
    let until = |(id, remaining_ms): &(Name, u32)| {
        (id.clone(), now + u64::from(*remaining_ms) * MILLISECOND)
    };
    endpoints.iter().map(until).collect()
}

/// Returns for how many milliseconds the listed endpoints remain cold; 0 for those that are not.
pub(crate) fn cold_remaining(shared: &Shared) -> Vec<(Name, u32)> {
    let (now, cold) = (shared.now(), shared.cold.lock());
    let remaining = |(id, until): &(Name, Time)| {
        (id.clone(), (until.since(now) / MILLISECOND).try_into().unwrap_or(u32::MAX))
    };
    cold.iter().map(remaining).collect()
}

/// Applies what the list of endpoints says about which of them are cold.
pub(crate) fn apply_cold(shared: &Shared, cold: Vec<(Name, Time)>) {
    *shared.cold.lock() = cold;
    let endpoints = cold_remaining(shared);
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    dispatcher.set_cold(now, &endpoints);
    let next = dispatcher.start_all_queued(now);
    shared.notify_waiters(&mut dispatcher, next);
    drop(dispatcher);
    tracing::debug!(
        event = "cold-endpoints",
        endpoints = endpoints.len(),
        "gateway: cold endpoints of the list applied"
    );
}

fn log(change: &EndpointChange) {
    match change {
        EndpointChange::Added(it) => tracing::debug!(
            event = "endpoint-added",
            endpoint = %it.id,
            service = %it.service,
            addr = %it.addr,
            version = it.build.as_deref(),
            build = %it.build_id(),
            "gateway: endpoint added"
        ),
        EndpointChange::Draining(id) => {
            tracing::info!(
                event = "endpoint-draining",
                endpoint = %id,
                "gateway: endpoint is draining"
            );
        }
        EndpointChange::Removed(id) => {
            tracing::info!(event = "endpoint-gone", endpoint = %id, "gateway: endpoint removed");
        }
        EndpointChange::Restarted(id) => {
            tracing::info!(
                event = "endpoint-restarted",
                endpoint = %id,
                "gateway: endpoint restarted"
            );
        }
    }
}
