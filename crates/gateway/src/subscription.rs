//! The stream on which a control replica sends updates to this gateway.

use {
    crate::shared::{Announcement, LayoutRequest, Shared},
    directory::Catalog,
    dispatch::Dispatcher,
    model::Domain,
    route::{RouteDelta, RouteTable, RoutingConfig},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep, timeout, timeout_at},
    },
    wire::{
        CompressionError, Peer, Step, WireError,
        msg::{WATCH_PATH, WatchHello, WatchRequest, WatchUpdate},
    },
};

/// How long a replica may be silent before its connection is replaced: three missed heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The timeout for opening a stream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The delay before reconnecting to a replica.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// How long a replica may take to send a configuration before another one is asked for it. Once
/// each watched replica was asked, the interval doubles each time, as replicas with busy links
/// serve one router after the other.
const LAYOUT_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// How many replicas are asked again before the interval doubles: two of three may be lost right
/// after they announced a version.
const RETRIES_BEFORE_BACKOFF: u32 = 2;

/// The maximum number of times that the interval doubles.
const MAX_DOUBLINGS: u32 = 3;

/// How long a gateway with its first configuration waits for other replicas to report a newer one
/// before it is ready.
const SETTLE_DELAY: Duration = Duration::from_millis(1_000);

/// An update received from a control replica.
pub(crate) struct ReplicaUpdate {
    pub(crate) replica: SocketAddr,
    pub(crate) update: Update,
}

/// The content of an update.
pub(crate) enum Update {
    Membership { routers: Vec<(SocketAddr, Domain)>, replicas: Vec<SocketAddr> },
    Catalog(Catalog),
    Heartbeat { has_leader: bool, listing_is_recent: bool },
    Disconnected,
}

/// Subscribes to a replica, reconnecting forever, and forwards its updates.
pub(crate) async fn watch_replica(
    shared: Arc<Shared>,
    peer: Peer,
    sender: mpsc::Sender<ReplicaUpdate>,
    mut catalog_wanted: watch::Receiver<bool>,
) {
    let replica = peer.addr();
    loop {
        match subscribe(&shared, &peer, &sender, &mut catalog_wanted).await {
            Ok(()) => tracing::info!(event = "control-lost", %replica, "gateway: stream ended"),
            Err(err) => {
                tracing::info!(event = "control-lost", %replica, %err, "gateway: stream failed");
            }
        }
        // The receiver lives as long as the process.
        let _ = sender.send(ReplicaUpdate { replica, update: Update::Disconnected }).await;
        peer.retire().await;
        sleep(RECONNECT_DELAY).await;
    }
}

/// Subscribes to a replica until its stream ends or times out.
async fn subscribe(
    shared: &Arc<Shared>,
    peer: &Peer,
    sender: &mpsc::Sender<ReplicaUpdate>,
    catalog_wanted: &mut watch::Receiver<bool>,
) -> Result<(), WireError> {
    let replica = peer.addr();
    let Ok(stream) = timeout(OPEN_TIMEOUT, peer.open(WATCH_PATH)).await else { return Ok(()) };
    let (mut send, mut recv) = stream?.split();
    let version = installed_version(shared);
    let (addr, domain) = (shared.settings.inner, shared.settings.domain.clone());
    send.send(&WatchHello { addr, domain, version }).await?;
    tracing::info!(event = "control-found", %replica, version, "gateway: watching control replica");
    let mut subscription = Subscription::default();
    let mut times_out_at = Instant::now() + SILENCE_TIMEOUT;
    let mut received = recv.received();
    loop {
        if *catalog_wanted.borrow_and_update() && !subscription.catalog_requested {
            subscription.catalog_requested = true;
            send.send(&WatchRequest::Catalog).await?;
        }
        if let Some(installed_version) = subscription.next_layout_request(shared, replica) {
            send.send(&WatchRequest::Layout { installed_version }).await?;
        }
        let wake_at = subscription.request_at.unwrap_or(times_out_at).min(times_out_at);
        let message = tokio::select! {
            message = timeout_at(wake_at, recv.recv::<WatchUpdate>()) => message,
            changed = catalog_wanted.changed() => match changed {
                Ok(()) => continue,
                // The watcher is gone, so the process is exiting.
                Err(_) => return Ok(()),
            },
        };
        if recv.received() > received {
            // Bytes of a large message on a slow link count as activity.
            received = recv.received();
            times_out_at = Instant::now() + SILENCE_TIMEOUT;
        }
        let Ok(message) = message else {
            if Instant::now() >= times_out_at {
                return Ok(());
            }
            continue;
        };
        let Some(message) = message? else { return Ok(()) };
        let update = subscription.apply(shared, replica, message);
        let update = update.map_err(|it| WireError::new(Step::Receive, replica, it))?;
        if let Some(update) = update
            && sender.send(ReplicaUpdate { replica, update }).await.is_err()
        {
            return Ok(());
        }
    }
}

pub(crate) fn installed_version(shared: &Shared) -> Option<u64> {
    shared.table.load().as_ref().map(|it| it.config().version)
}

/// The state of a subscription to a replica.
#[derive(Default, Debug)]
struct Subscription {
    /// The highest version that the replica announced.
    announced: Option<u64>,
    /// When to request the announced version, if it is not applied by then.
    request_at: Option<Instant>,
    /// Whether a requested configuration is outstanding.
    layout_pending: bool,
    /// Whether the endpoint list was requested.
    catalog_requested: bool,
    catalog: Option<Catalog>,
    routers: Vec<(SocketAddr, Domain)>,
}

impl Subscription {
    /// Returns the installed version to send with a configuration request, if one is due. A request
    /// is due if this replica announced a newer version than the installed one and no other replica
    /// was just asked for it, or if the version requested here has arrived from another replica.
    fn next_layout_request(&mut self, shared: &Shared, replica: SocketAddr) -> Option<Option<u64>> {
        let installed = installed_version(shared);
        if self.announced <= installed {
            self.request_at = None;
            return std::mem::take(&mut self.layout_pending).then_some(installed);
        }
        let now = Instant::now();
        if self.request_at.is_some_and(|it| now < it) {
            return None;
        }
        let mut pending_request = shared.layout_request.lock();
        let last = pending_request.filter(|it| self.announced <= Some(it.version));
        let pending = last.is_some_and(|it| now < it.expires_at);
        let retries = last.map_or(0, |it| it.retries + u32::from(!pending));
        let doublings = retries.saturating_sub(RETRIES_BEFORE_BACKOFF).min(MAX_DOUBLINGS);
        let expires_at = now + LAYOUT_RETRY_INTERVAL * 2u32.pow(doublings);
        self.request_at = Some(if pending { now + LAYOUT_RETRY_INTERVAL } else { expires_at });
        if pending {
            return None;
        }
        let first_sent_at = last.map_or(now, |it| it.first_sent_at);
        *pending_request = self.announced.map(|version| {
            tracing::info!(
                event = "configuration-requested",
                version,
                before = installed,
                %replica,
                retries,
                "gateway: requested a configuration"
            );
            LayoutRequest { version, first_sent_at, expires_at, retries }
        });
        self.layout_pending = true;
        Some(installed)
    }

    /// Applies a message; returns the update for the watcher, if any.
    fn apply(
        &mut self,
        shared: &Arc<Shared>,
        replica: SocketAddr,
        message: WatchUpdate,
    ) -> Result<Option<Update>, CompressionError> {
        match message {
            WatchUpdate::Announce { version } => {
                self.announced = self.announced.max(Some(version));
                record_announcement(shared, version);
                self.request_at = None;
            }
            WatchUpdate::Layout(compressed) => {
                install_layout(shared, replica, compressed.decode()?)
            }
            WatchUpdate::LayoutDelta(compressed) => {
                let step: RouteDelta = compressed.decode()?;
                let installed = shared.table.load_full();
                // Another replica may have sent the same version in the meantime.
                let next = installed.and_then(|it| step.apply(it.config()).ok());
                next.into_iter().for_each(|it| install_layout(shared, replica, it));
            }
            WatchUpdate::Catalog(compressed) => {
                let catalog: Catalog = compressed.decode()?;
                self.catalog = Some(catalog.clone());
                return Ok(Some(Update::Catalog(catalog)));
            }
            WatchUpdate::CatalogDelta(step) => {
                let Some(catalog) = &mut self.catalog else { return Ok(None) };
                catalog.apply(&step);
                return Ok(Some(Update::Catalog(catalog.clone())));
            }
            WatchUpdate::Fleet { routers, replicas } => {
                self.routers.clone_from(&routers);
                return Ok(Some(Update::Membership { routers, replicas }));
            }
            WatchUpdate::FleetDelta { added, removed, replicas } => {
                let remains = |it: &SocketAddr| {
                    !removed.contains(it) && !added.iter().any(|new| new.0 == *it)
                };
                self.routers.retain(|it| remains(&it.0));
                self.routers.extend(added);
                return Ok(Some(Update::Membership { routers: self.routers.clone(), replicas }));
            }
            WatchUpdate::Heartbeat { has_leader, listing_is_recent } => {
                return Ok(Some(Update::Heartbeat { has_leader, listing_is_recent }));
            }
        }
        Ok(None)
    }
}

/// Records when a version was first announced.
fn record_announcement(shared: &Shared, version: u64) {
    let mut newest = shared.announcement.lock();
    if newest.is_none_or(|it| it.version < version) {
        *newest = Some(Announcement { version, heard_at: Instant::now() });
    }
}

/// Installs a configuration if it is newer than the current one.
fn install_layout(shared: &Arc<Shared>, replica: SocketAddr, layout: RoutingConfig) {
    let installed = installed_version(shared);
    if installed.is_some_and(|it| it >= layout.version) {
        return;
    }
    let announcement = shared.announcement.lock().filter(|it| it.version >= layout.version);
    let request = shared.layout_request.lock().filter(|it| it.version >= layout.version);
    tracing::info!(
        event = "configuration",
        version = layout.version,
        before = installed,
        %replica,
        routes = layout.routes.len(),
        announced_ms = announcement.map(|it| it.heard_at.elapsed().as_millis() as u64),
        requested_ms = request.map(|it| it.first_sent_at.elapsed().as_millis() as u64),
        "gateway: configuration applied"
    );
    set_kv_capacities(&mut shared.dispatcher.lock(), &layout);
    shared.table.store(Some(Arc::new(RouteTable::new(Arc::new(layout)))));
    if installed.is_none() {
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
