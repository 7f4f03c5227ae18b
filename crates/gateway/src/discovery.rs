//! Endpoint discovery: applies the list that the control plane sends, and reads the directory
//! directly while the control plane is silent.

use {
    crate::shared::Shared,
    directory::{Directory, ListedEndpoint, PollInterval},
    dispatch::EndpointChange,
    model::{MILLISECOND, Time},
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
        let listed = directory.list().await;
        let failed = listed.is_err();
        match listed {
            Ok(listing) => {
                pace.record_calls(listing.calls);
                // The control plane may have sent a newer list in the meantime.
                if is_control_silent(&shared) {
                    apply(&shared, &listing.endpoints);
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
        shared.startup_progress.send_replace(());
    }
    changes.iter().for_each(log);
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
