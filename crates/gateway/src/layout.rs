//! Installs routing configurations.

use {
    crate::shared::{Announcement, Shared},
    dispatch::ColdRate,
    fanout::{ConfigHistory, RequestCause},
    model::MILLISECOND,
    route::{
        ColdStart, Decoded, EncodingError, FIELD_LEVEL, RouteDelta, RouteTable, RoutingConfig,
    },
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

/// How long it is known that a route led to another service, in milliseconds: the longest time for
/// which the origin of a stream is kept.
const MAX_MOVED_MS: u64 = 3_600_000;

pub(crate) fn installed_version(shared: &Shared) -> Option<u64> {
    shared.table.load().as_ref().map(|it| it.config().version)
}

/// Records that a replica announced a version.
pub(crate) fn record_announcement(shared: &Shared, replica: SocketAddr, version: u64) {
    tracing::info!(
        event = "configuration-announced",
        version,
        %replica,
        installed = installed_version(shared),
        "gateway: a control replica announced a configuration"
    );
    shared.layout_requests.lock().record_announced(replica, version);
    let mut newest = shared.announcement.lock();
    if newest.is_none_or(|it| it.version < version) {
        *newest = Some(Announcement { version, heard_at: Instant::now() });
    }
}

/// Records that a replica does not owe a configuration any more, so that another one can be asked.
pub(crate) fn settle_request(shared: &Shared, replica: SocketAddr, cause: RequestCause) {
    shared.layout_requests.lock().record_settled(shared.now(), replica, cause);
    shared.layout_changed.send_replace(());
}

/// Installs the configuration in an update from a replica or another gateway, if it is newer than
/// the installed one, or the same version with fields that the sender of the installed one did not
/// know. Other updates are ignored. Returns whether the configuration was installed.
///
/// # Errors
///
/// The configuration cannot be decoded.
pub(crate) fn apply(
    shared: &Arc<Shared>,
    sender: SocketAddr,
    update: &WatchUpdate,
) -> Result<bool, WireError> {
    let mut history = shared.layout_history.lock();
    let installed = history.as_deref();
    let next = match update {
        WatchUpdate::Layout(compressed) => {
            let Decoded { value: mut layout, level } =
                decode(compressed, sender, RoutingConfig::decode)?;
            if let Some(installed) = installed {
                if (installed.version(), installed.level()) >= (layout.version, level) {
                    return Ok(false);
                }
                inherit(&mut layout, level, installed);
            }
            ConfigHistory::with_level(Arc::new(layout), level)
        }
        WatchUpdate::LayoutDelta(compressed) => {
            let Decoded { value: delta, level } = decode(compressed, sender, RouteDelta::decode)?;
            let Some(installed) = installed else { return Ok(false) };
            // Another process may have sent the same version in the meantime.
            let Ok(mut layout) = delta.apply(installed.config()) else { return Ok(false) };
            inherit(&mut layout, level, installed);
            installed.next_with_delta(Arc::new(layout), compressed.clone(), level)
        }
        _ => return Ok(false),
    };
    let (version, level) = (next.version(), next.level());
    install(shared, sender, installed.map(ConfigHistory::version), &next);
    shared.field_requests.lock().record_received(version, level, sender);
    *history = Some(Arc::new(next));
    drop(history);
    shared.layout_changed.send_replace(());
    Ok(true)
}

/// Keeps restrictions of the installed configuration in force if the sender of a later one did not
/// know such fields.
fn inherit(layout: &mut RoutingConfig, level: u32, installed: &ConfigHistory) {
    if level < FIELD_LEVEL {
        layout.inherit(installed.config());
    }
}

fn decode<T, F>(
    compressed: &Compressed,
    sender: SocketAddr,
    decode: F,
) -> Result<Decoded<T>, WireError>
where
    F: Fn(&[u8]) -> Result<Decoded<T>, EncodingError>,
{
    let bytes = compressed.decompress().map_err(|it| WireError::new(Step::Receive, sender, it))?;
    decode(&bytes).map_err(|it| WireError::new(Step::Receive, sender, it))
}

/// Puts a configuration in force. The caller holds the lock of the history.
fn install(shared: &Arc<Shared>, sender: SocketAddr, installed: Option<u64>, next: &ConfigHistory) {
    let layout = next.config();
    let announcement = shared.announcement.lock().filter(|it| it.version >= layout.version);
    let now = shared.now();
    let requested_at = shared.layout_requests.lock().first_sent_at();
    tracing::info!(
        event = "configuration",
        version = layout.version,
        before = installed,
        replica = %sender,
        routes = layout.routes.len(),
        level = next.level(),
        announced_ms = announcement.map(|it| elapsed_ms(it.heard_at)),
        replaced_ms = shared.layout_installed_at.lock().map(elapsed_ms),
        requested_ms = requested_at.map(|it| now.since(it) / MILLISECOND),
        "gateway: configuration applied"
    );
    shared.layout_requests.lock().record_installed(now, layout.version, sender);
    *shared.layout_installed_at.lock() = Some(Instant::now());
    set_service_limits(shared, layout);
    let table = Arc::new(RouteTable::new(layout.clone()));
    let before = shared.table.swap(Some(table.clone()));
    if let Some(before) = before {
        let mut moved_routes = shared.moved_routes.lock();
        moved_routes.retain(|_, at| now < *at + MAX_MOVED_MS * MILLISECOND);
        moved_routes.extend(table.moved_routes(&before).into_iter().map(|it| (it, now)));
    }
    shared.progress.send_replace(());
    if installed.is_none() {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(SETTLE_DELAY).await;
            shared.layout_settled.store(true, Ordering::Relaxed);
            shared.progress.send_replace(());
        });
    }
}

/// Returns the milliseconds since `at`.
pub(crate) fn elapsed_ms(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}

fn set_service_limits(shared: &Shared, layout: &RoutingConfig) {
    let (now, cold) = (shared.now(), shared.settings.cold);
    let mut dispatcher = shared.dispatcher.lock();
    for service in &layout.services {
        let kv_tokens = service.engine.as_ref().map(|it| it.kv_tokens);
        dispatcher.set_kv_capacity(&service.name, kv_tokens);
        let rate = service.cold.filter(|it| it.start_ms > 0.0 && it.rate > 0.0);
        let rate = rate.map(|ColdStart { start_ms, rate }| ColdRate {
            start_ms: start_ms.ceil() as u64,
            rate,
            max_per_second: rate * cold.over + cold.slack,
        });
        dispatcher.set_cold_rate(now, &service.name, rate);
    }
}
