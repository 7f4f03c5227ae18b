//! Installs routing configurations.

use {
    crate::shared::{Announcement, Shared},
    dispatch::Dispatcher,
    fanout::ConfigHistory,
    route::{RouteDelta, RouteTable, RoutingConfig},
    serde::de::DeserializeOwned,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
    wire::{Compressed, Step, WireError, msg::WatchUpdate},
};

/// How long a gateway with its first configuration waits for other replicas to report a newer one
/// before it is ready.
const SETTLE_DELAY: Duration = Duration::from_millis(1_000);

pub(crate) fn installed_version(shared: &Shared) -> Option<u64> {
    shared.table.load().as_ref().map(|it| it.config().version)
}

/// Records when a version was first announced.
pub(crate) fn record_announcement(shared: &Shared, version: u64) {
    let mut newest = shared.announcement.lock();
    if newest.is_none_or(|it| it.version < version) {
        *newest = Some(Announcement { version, heard_at: Instant::now() });
    }
}

/// Installs the configuration in an update from a replica or another gateway, if it is newer than
/// the installed one. Other updates are ignored.
///
/// # Errors
///
/// The configuration cannot be decoded.
pub(crate) fn apply(
    shared: &Arc<Shared>,
    sender: SocketAddr,
    update: &WatchUpdate,
) -> Result<(), WireError> {
    let mut history = shared.layout_history.lock();
    let installed = history.as_deref();
    let next = match update {
        WatchUpdate::Layout(compressed) => {
            let layout: RoutingConfig = decode(compressed, sender)?;
            if installed.is_some_and(|it| it.version() >= layout.version) {
                return Ok(());
            }
            ConfigHistory::new(Arc::new(layout))
        }
        WatchUpdate::LayoutDelta(compressed) => {
            let delta: RouteDelta = decode(compressed, sender)?;
            let Some(installed) = installed else { return Ok(()) };
            // Another process may have sent the same version in the meantime.
            let Ok(layout) = delta.apply(installed.config()) else { return Ok(()) };
            installed.next_with_delta(Arc::new(layout), compressed.clone())
        }
        _ => return Ok(()),
    };
    install(shared, sender, installed.map(ConfigHistory::version), next.config());
    *history = Some(Arc::new(next));
    drop(history);
    shared.layout_changed.send_replace(());
    Ok(())
}

fn decode<T>(compressed: &Compressed, sender: SocketAddr) -> Result<T, WireError>
where
    T: DeserializeOwned,
{
    compressed.decode().map_err(|it| WireError::new(Step::Receive, sender, it))
}

/// Puts a configuration in force. The caller holds the lock of the history.
fn install(
    shared: &Arc<Shared>,
    sender: SocketAddr,
    installed: Option<u64>,
    layout: &Arc<RoutingConfig>,
) {
    let announcement = shared.announcement.lock().filter(|it| it.version >= layout.version);
    let request = shared.layout_request.lock().filter(|it| it.version >= layout.version);
    tracing::info!(
        event = "configuration",
        version = layout.version,
        before = installed,
        replica = %sender,
        routes = layout.routes.len(),
        announced_ms = announcement.map(|it| it.heard_at.elapsed().as_millis() as u64),
        requested_ms = request.map(|it| it.first_sent_at.elapsed().as_millis() as u64),
        "gateway: configuration applied"
    );
    set_kv_capacities(&mut shared.dispatcher.lock(), layout);
    shared.table.store(Some(Arc::new(RouteTable::new(layout.clone()))));
    if installed.is_none() {
        shared.startup_progress.send_replace(());
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(SETTLE_DELAY).await;
            shared.layout_settled.store(true, Ordering::Relaxed);
        });
    }
}

fn set_kv_capacities(dispatcher: &mut Dispatcher, layout: &RoutingConfig) {
    for service in &layout.services {
        dispatcher.set_kv_capacity(&service.name, service.engine.as_ref().map(|it| it.kv_tokens));
    }
}
