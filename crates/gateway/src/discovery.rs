//! The list of endpoints: told by control, or read by this process while control tells nothing.

use {
    crate::shared::Shared,
    directory::{Directory, Listed, Pace},
    dispatch::Change,
    model::{MILLISECOND, Time},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// After how many milliseconds without news of a replica that reads the list this process reads it: three of a
/// replica's beats are lost then.
const CONTROL_TIMEOUT_MS: u64 = 3_000;

/// How often this process looks whether it must read the list.
const POLL: Duration = Duration::from_millis(250);

/// Reads the list whenever control does not tell, for as long as the process runs.
pub(crate) async fn run<D>(shared: Arc<Shared>, directory: D)
where
    D: Directory,
{
    let settings = shared.settings.listing;
    let mut pace = Pace::new(settings.interval_ms, settings.rate);
    let mut reading = false;
    loop {
        if !is_control_silent(&shared) {
            reading = false;
            sleep(POLL).await;
            continue;
        }
        if !reading {
            tracing::info!(
                event = "directory-read",
                "gateway: control tells nothing, reads the list"
            );
        }
        reading = true;
        let listed = directory.list().await;
        let failed = listed.is_err();
        match listed {
            Ok(listing) => {
                pace.listed(listing.calls);
                // Control may have spoken meanwhile, with a newer list.
                if is_control_silent(&shared) {
                    apply(&shared, &listing.endpoints);
                }
            }
            Err(err) => tracing::warn!(event = "directory-lost", %err, "gateway: list not read"),
        }
        let readers = shared.membership.lock().routers.len();
        sleep(pace.pause(readers, failed, rand::random())).await;
    }
}

fn is_control_silent(shared: &Shared) -> bool {
    let updated = Time(shared.catalog_updated_at.load(Ordering::Relaxed));
    shared.now() >= updated + CONTROL_TIMEOUT_MS * MILLISECOND
}

/// Puts a list of endpoints in force.
pub(crate) fn apply(shared: &Shared, endpoints: &[Listed]) {
    let now = shared.now();
    let mut dispatcher = shared.dispatcher.lock();
    let changes = dispatcher.refresh(endpoints);
    let next = dispatcher.start_all(now);
    shared.notify_waiters(&mut dispatcher, next);
    drop(dispatcher);
    shared.endpoints_loaded.store(true, Ordering::Relaxed);
    changes.iter().for_each(log);
}

fn log(change: &Change) {
    match change {
        Change::Added(it) => tracing::debug!(
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
