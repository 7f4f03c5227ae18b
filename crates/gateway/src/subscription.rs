//! The stream on which a control replica sends updates to this gateway.

use {
    crate::{
        evacuations::{self, EvacuationSet},
        field_requests::{self, FieldRequest},
        layout::{self, installed_version},
        relay,
        shared::Shared,
    },
    derive_more::Debug,
    directory::Catalog,
    fanout::{RequestCause, Turn},
    model::{Domain, Name},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep, timeout, timeout_at},
    },
    wire::{
        Peer, Step, WireError,
        msg::{WATCH_PATH, WatchHello, WatchRequest, WatchUpdate},
    },
};

/// How long a replica may be silent before its connection is replaced: three missed heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The timeout for opening a stream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The delay before reconnecting to a replica.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// An update received from a control replica.
pub(crate) struct ReplicaUpdate {
    pub(crate) replica: SocketAddr,
    pub(crate) update: Update,
}

/// The content of an update.
pub(crate) enum Update {
    Membership {
        routers: Vec<(SocketAddr, Domain)>,
        replicas: Vec<SocketAddr>,
    },
    Catalog(Catalog),
    /// The cold endpoints of that list, and for how many milliseconds they remain cold.
    Cold(Vec<(Name, u32)>),
    Heartbeat {
        has_leader: bool,
        listing_is_recent: bool,
    },
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
    let stream = stream?;
    let protocol = stream.protocol;
    let (mut send, mut recv) = stream.split();
    let version = installed_version(shared);
    let (addr, domain) = (shared.settings.inner, shared.settings.domain.clone());
    send.send(&WatchHello { addr, domain, version }).await?;
    tracing::info!(event = "control-found", %replica, version, "gateway: watching control replica");
    let mut subscription = Subscription::new(shared.clone(), replica, protocol);
    let mut times_out_at = Instant::now() + SILENCE_TIMEOUT;
    let mut received = recv.received();
    let mut layout_changes = shared.layout_changed.subscribe();
    loop {
        layout_changes.mark_unchanged();
        if *catalog_wanted.borrow_and_update() && !subscription.catalog_requested {
            subscription.catalog_requested = true;
            send.send(&WatchRequest::Catalog).await?;
        }
        if let Some(installed_version) = subscription.next_layout_request() {
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
            changed = layout_changes.changed() => match changed {
                Ok(()) => continue,
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
        if let Some(update) = subscription.apply(message)?
            && sender.send(ReplicaUpdate { replica, update }).await.is_err()
        {
            return Ok(());
        }
    }
}

/// The state of a subscription to a replica.
#[derive(Debug)]
struct Subscription {
    #[debug(skip)]
    shared: Arc<Shared>,
    replica: SocketAddr,
    /// The protocol that the replica speaks.
    protocol: u32,
    /// The highest version that the replica announced.
    announced: Option<u64>,
    /// When to see again whether a request is due.
    request_at: Option<Instant>,
    /// Whether a requested configuration is outstanding.
    layout_pending: bool,
    /// Whether fields that the installed configuration lacks were requested here.
    fields_pending: bool,
    /// Whether the endpoint list was requested.
    catalog_requested: bool,
    catalog: Option<Catalog>,
    routers: Vec<(SocketAddr, Domain)>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.layout_requests.lock().record_lost(now, self.replica);
        self.shared.layout_changed.send_replace(());
    }
}

impl Subscription {
    fn new(shared: Arc<Shared>, replica: SocketAddr, protocol: u32) -> Subscription {
        Subscription {
            shared,
            replica,
            protocol,
            announced: None,
            request_at: None,
            layout_pending: false,
            fields_pending: false,
            catalog_requested: false,
            catalog: None,
            routers: Vec::new(),
        }
    }

    /// Returns the installed version to send with a configuration request, if one is due. A request
    /// is due if it is this replica's turn to be asked for a newer version than the installed one,
    /// or if the version requested here has arrived from elsewhere.
    fn next_layout_request(&mut self) -> Option<Option<u64>> {
        let (shared, replica) = (&self.shared, self.replica);
        let installed = installed_version(shared);
        self.request_at = None;
        if self.announced <= installed {
            // A replica that speaks an older protocol does not know the fields either.
            let announced =
                self.announced.filter(|_| self.protocol >= field_requests::MIN_PROTOCOL);
            match shared.field_requests.lock().next(shared.now(), replica, announced) {
                FieldRequest::None => {}
                FieldRequest::At(at) => self.request_at = Some(shared.clock.deadline(at)),
                FieldRequest::Now => {
                    tracing::info!(
                        event = "fields-requested",
                        version = installed,
                        %replica,
                        "gateway: requested a configuration again, as its sender did not know all fields"
                    );
                    self.layout_pending = false;
                    self.fields_pending = true;
                    // A replica sends the version that this gateway has only if it seems to have none.
                    return Some(None);
                }
            }
            let fields_arrived =
                self.fields_pending && !shared.field_requests.lock().is_incomplete();
            self.fields_pending &= !fields_arrived;
            let is_obsolete = std::mem::take(&mut self.layout_pending) || fields_arrived;
            return is_obsolete.then_some(installed);
        }
        let cause = match shared.layout_requests.lock().next(shared.now(), replica) {
            Turn::Idle => return None,
            Turn::Wait(at) => {
                self.request_at = Some(shared.clock.deadline(at));
                return None;
            }
            Turn::Ask { cause, repeat_at } => {
                self.request_at = Some(shared.clock.deadline(repeat_at));
                cause
            }
        };
        tracing::info!(
            event = "configuration-requested",
            version = self.announced,
            before = installed,
            %replica,
            %cause,
            "gateway: requested a configuration"
        );
        self.layout_pending = true;
        self.fields_pending = false;
        Some(installed)
    }

    /// Applies a message; returns the update for the watcher, if any.
    fn apply(&mut self, message: WatchUpdate) -> Result<Option<Update>, WireError> {
        let (shared, replica) = (&self.shared, self.replica);
        match message {
            WatchUpdate::Announce { version } => {
                self.announced = self.announced.max(Some(version));
                layout::record_announcement(shared, replica, version);
            }
            WatchUpdate::Layout(_) | WatchUpdate::LayoutDelta(_) => {
                if !layout::apply(shared, replica, &message)? {
                    let cause = RequestCause::NotApplicable;
                    layout::settle_request(shared, replica, cause);
                }
            }
            WatchUpdate::Refer { version, router } => {
                tracing::info!(
                    event = "configuration-referred",
                    version,
                    %replica,
                    provider = %router,
                    "gateway: referred to another gateway for a configuration"
                );
                tokio::spawn(relay::fetch(shared.clone(), replica, router, version));
            }
            WatchUpdate::Catalog(compressed) => {
                let catalog = compressed.decode::<Catalog>();
                let catalog = catalog.map_err(|it| WireError::new(Step::Receive, replica, it))?;
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
            WatchUpdate::Evacuations { revision, domains } => {
                evacuations::apply(shared, replica, EvacuationSet { revision, domains });
            }
            WatchUpdate::Cold { endpoints } => return Ok(Some(Update::Cold(endpoints))),
            WatchUpdate::Heartbeat { has_leader, listing_is_recent } => {
                return Ok(Some(Update::Heartbeat { has_leader, listing_is_recent }));
            }
        }
        Ok(None)
    }
}
