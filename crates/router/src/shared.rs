//! State shared by all tasks of a router.
//!
//! Lock order: `team_limiter`, then `owned`. Neither is held across an await point. `peers`, `endpoint_clients`,
//! `control_peers` and `leader` are leaf locks: no other lock is acquired while one of them is held.

use {
    crate::{call::Call, hint, metrics::Metrics, owned::OwnedEndpoints, view::ClusterView},
    admission::TeamLimiter,
    edge::{EndpointClient, EndpointLimits, ResponseMemory, UploadMemory},
    model::{
        ChatKey, Config, Digest, Endpoint, EndpointId, RequestId, Roster, RouterId, RouterState,
        ServiceKind, Time,
    },
    parking_lot::Mutex,
    placement::{OwnerHandover, RendezvousHash},
    rand::random,
    retry::RetryBudget,
    settings::{RouterSettings, Routing},
    smallvec::SmallVec,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
    },
    tokio::sync::{Notify, watch},
    wire::{Clock, Dialer, Identity, Peer, Traffic, TrafficClass, msg::ToControl},
};

/// The limit on all responses that are collected for the ledger at once, in bytes.
const MAX_COLLECTED_BYTES: usize = 48 << 20;

/// Number of retries allowed per thousand first attempts.
const RETRY_PERMILLE: u32 = 150;

/// Maximum number of unused retries that are saved.
const MAX_SAVED_RETRIES: u32 = 50;

/// Time without a response head after which a connection to an endpoint counts as dead, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 5_000;

/// Time without a byte of the response after which a connection to an endpoint counts as dead, in milliseconds.
const PROGRESS_TIMEOUT_MS: u64 = 2_000;

/// State shared by all tasks of a router.
pub(crate) struct Shared {
    pub(crate) settings: RouterSettings,
    pub(crate) clock: Clock,
    pub(crate) dialer: Dialer,
    /// The address at which other routers reach this one.
    pub(crate) internal_addr: SocketAddr,
    /// A random number that distinguishes this process from earlier ones on the same host.
    pub(crate) process_nonce: u64,
    pub(crate) team_limiter: Mutex<TeamLimiter>,
    pub(crate) owned: Mutex<OwnedEndpoints>,
    pub(crate) retry_budget: RetryBudget,
    /// The memory of the responses that are collected for the ledger.
    pub(crate) response_memory: Arc<ResponseMemory>,
    /// The memory for the bodies of requests.
    pub(crate) upload_memory: Arc<UploadMemory>,
    pub(crate) metrics: Metrics,
    /// Wakes the control feed when the router starts to shut down.
    pub(crate) leave_notify: Notify,
    is_leaving: AtomicBool,
    own_id: OnceLock<RouterId>,
    view_sender: watch::Sender<Arc<ClusterView>>,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    endpoint_clients: Mutex<HashMap<EndpointId, EndpointClient>>,
    /// Connections to control replicas for ledger calls; their bytes count as control traffic.
    control_peers: Mutex<HashMap<SocketAddr, Peer>>,
    leader: Mutex<Option<SocketAddr>>,
    running: AtomicUsize,
    round_robin: AtomicU64,
}

impl Shared {
    /// Creates the state of a router without a configuration or roster, which listens for other routers at
    /// `internal_addr`.
    pub(crate) fn new(
        settings: RouterSettings,
        identity: Option<Identity>,
        internal_addr: SocketAddr,
        traffic: Traffic,
        metrics: Metrics,
        upload_memory: Arc<UploadMemory>,
    ) -> Shared {
        let clock = Clock::start();
        let view = ClusterView::default();
        Shared {
            dialer: Dialer { identity, traffic, class: TrafficClass::Forward },
            settings,
            clock,
            internal_addr,
            process_nonce: random(),
            team_limiter: Mutex::new(TeamLimiter::new(1)),
            owned: Mutex::new(OwnedEndpoints::new()),
            retry_budget: RetryBudget::new(RETRY_PERMILLE, MAX_SAVED_RETRIES),
            response_memory: Arc::new(ResponseMemory::new(MAX_COLLECTED_BYTES)),
            upload_memory,
            metrics,
            leave_notify: Notify::new(),
            is_leaving: AtomicBool::new(false),
            own_id: OnceLock::new(),
            view_sender: watch::Sender::new(Arc::new(view)),
            peers: Mutex::default(),
            endpoint_clients: Mutex::default(),
            control_peers: Mutex::default(),
            leader: Mutex::default(),
            running: AtomicUsize::new(0),
            round_robin: AtomicU64::new(0),
        }
    }

    /// The current view of the cluster.
    pub(crate) fn view(&self) -> Arc<ClusterView> {
        self.view_sender.borrow().clone()
    }

    /// Returns a receiver that is notified of each new view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<ClusterView>> {
        self.view_sender.subscribe()
    }

    /// Sets the ID of this process; returns `false` if it already has a different one.
    pub(crate) fn set_id(&self, router: RouterId) -> bool {
        self.owned.lock().membership.set_id(router);
        *self.own_id.get_or_init(|| router) == router
    }

    /// The ID of this process, once assigned.
    pub(crate) fn own_id(&self) -> Option<RouterId> {
        self.own_id.get().copied()
    }

    /// Whether `router` is this process.
    pub(crate) fn is_self(&self, router: RouterId) -> bool {
        self.own_id.get() == Some(&router)
    }

    /// Whether the current roster lists this router.
    pub(crate) fn is_listed(&self) -> bool {
        self.own_id.get().is_some_and(|it| self.view().roster.get(*it).is_some())
    }

    /// Whether this router is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Starts a shutdown: the control service reassigns the endpoints of this router.
    pub(crate) fn begin_shutdown(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.leave_notify.notify_one();
    }

    /// Installs a new configuration.
    pub(crate) fn install_config(&self, config: Arc<Config>) {
        let now = self.clock.now();
        let mut owned = self.owned.lock();
        let roster = self.view().roster.clone();
        owned.update_config(now, &config);
        self.publish_view(&owned, config, roster);
    }

    /// Installs a new roster. An older roster only updates the membership, because routers that are missing may still act
    /// on it.
    pub(crate) fn install_roster(self: &Arc<Shared>, roster: &Roster) {
        let now = self.clock.now();
        let mut owned = self.owned.lock();
        let view = self.view();
        owned.membership.update_roster(now, roster, &view.config);
        if roster.epoch <= view.roster.epoch {
            return;
        }
        self.publish_view(&owned, view.config.clone(), roster.clone());
        drop(owned);
        hint::request_handovers(self, &view, &self.view());
        let live = roster.routers.iter().filter(|it| it.state == RouterState::Live).count();
        self.team_limiter.lock().set_router_count(live as u32);
    }

    /// Publishes a view. The caller holds the lock of `owned`, so views are published in order.
    fn publish_view(&self, owned: &OwnedEndpoints, config: Arc<Config>, roster: Roster) {
        let owners = owned.membership.owners().cloned().unwrap_or_default();
        tracing::info!("router: installed {} and {}", config.revision, roster.epoch);
        self.view_sender.send_replace(Arc::new(ClusterView::new(config, roster, owners)));
    }

    /// Records that a chat whose home endpoint this router owns runs on `endpoint`.
    pub(crate) fn record_spill(&self, chat: ChatKey, endpoint: EndpointId) {
        let now = self.clock.now();
        self.owned.lock().table.record_spill(now, chat, endpoint);
    }

    /// Returns the state that this router keeps for an endpoint, for its next owner.
    pub(crate) fn handover(&self, endpoint: EndpointId) -> OwnerHandover {
        let now = self.clock.now();
        let view = self.view();
        let rendezvous = view.endpoint(endpoint).and_then(|it| {
            let image = it.images.first().cloned();
            view.rendezvous(it.service, &image)
        });
        let Some(rendezvous) = rendezvous else { return OwnerHandover::default() };
        self.owned.lock().table.handover(now, rendezvous, endpoint)
    }

    /// Applies the state that the former owner of an endpoint kept.
    pub(crate) fn apply_handover(&self, endpoint: EndpointId, handover: &OwnerHandover) {
        let now = self.clock.now();
        self.owned.lock().table.apply_handover(now, endpoint, handover);
    }

    /// Returns the next heartbeat, or `None` while the previous one is unanswered.
    pub(crate) fn heartbeat(&self, now: Time) -> Option<ToControl> {
        let revision = self.view().config.revision;
        self.owned.lock().heartbeat(now, revision, self.is_leaving())
    }

    /// Returns the connection to another router.
    pub(crate) fn peer(&self, addr: SocketAddr) -> Peer {
        let mut peers = self.peers.lock();
        peers.entry(addr).or_insert_with(|| Peer::new(addr, self.dialer.clone())).clone()
    }

    /// Returns the connection to a control replica for ledger calls.
    pub(crate) fn control_peer(&self, addr: SocketAddr) -> Peer {
        let dialer = || Dialer { class: TrafficClass::Control, ..self.dialer.clone() };
        self.control_peers.lock().entry(addr).or_insert_with(|| Peer::new(addr, dialer())).clone()
    }

    /// The control replica that last replied as leader.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        *self.leader.lock()
    }

    /// Sets the control replica that leads.
    pub(crate) fn set_leader(&self, leader: SocketAddr) {
        *self.leader.lock() = Some(leader);
    }

    /// Drops connections to routers that are not in the roster and to endpoints that are not in the configuration.
    pub(crate) fn drop_unused_connections(&self) {
        let view = self.view();
        self.peers.lock().retain(|addr, _| view.roster.routers.iter().any(|it| it.addr == *addr));
        self.endpoint_clients.lock().retain(|id, _| view.endpoint(*id).is_some());
    }

    /// Returns the connection pool of an endpoint.
    pub(crate) fn endpoint_client(&self, endpoint: &Endpoint, kind: ServiceKind) -> EndpointClient {
        let limits = EndpointLimits {
            head_ms: HEAD_TIMEOUT_MS,
            progress_ms: PROGRESS_TIMEOUT_MS,
            ..EndpointLimits::default()
        };
        let mut endpoint_clients = self.endpoint_clients.lock();
        let new_client = || EndpointClient::new(endpoint.addr, kind, limits);
        let client = endpoint_clients.entry(endpoint.id).or_insert_with(new_client);
        if client.peer() != endpoint.addr {
            *client = new_client();
        }
        client.clone()
    }

    /// Returns the routers that may start work on an endpoint, in the order in which they are tried.
    pub(crate) fn holders(
        &self,
        view: &ClusterView,
        endpoint: EndpointId,
    ) -> SmallVec<[RouterId; 6]> {
        match (self.settings.routing, self.own_id.get()) {
            (Routing::Owner, _) | (_, None) => view.owners.holders(endpoint).into(),
            (_, Some(own_id)) => SmallVec::from_slice(&[*own_id]),
        }
    }

    /// Returns the endpoints to try for a call, in order, according to the routing policy of this router.
    pub(crate) fn rank_candidates(
        &self,
        call: &Call,
        rendezvous: &RendezvousHash,
        limit: usize,
    ) -> SmallVec<[EndpointId; 8]> {
        let mut candidates: SmallVec<[EndpointId; 8]> = match self.settings.routing {
            Routing::Owner | Routing::Rendezvous => {
                return rendezvous.ranked(call.chat).take(limit).collect();
            }
            Routing::RoundRobin | Routing::LeastReported => rendezvous.ranked(call.chat).collect(),
        };
        candidates.sort_unstable();
        let offset = self.round_robin.fetch_add(1, Ordering::Relaxed) as usize;
        let count = candidates.len().max(1);
        candidates.rotate_left(offset % count);
        if self.settings.routing == Routing::LeastReported {
            let owned = self.owned.lock();
            candidates.sort_by_key(|it| owned.reported_load(*it));
        }
        candidates.truncate(limit);
        candidates
    }

    /// Returns the milliseconds until the quarantine of a request ends, if it is quarantined.
    pub(crate) fn quarantined(&self, fingerprint: Digest) -> Option<u32> {
        let now = self.clock.now();
        self.owned.lock().suspects.quarantined(now, fingerprint)
    }

    /// Counts a request or an attempt as running until the returned guard is dropped.
    pub(crate) fn track_running(self: &Arc<Shared>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(self.clone())
    }

    /// Number of callers' requests that this router drives plus the attempts that it runs on endpoints.
    pub(crate) fn running_count(&self) -> u64 {
        self.running.load(Ordering::Relaxed) as u64
    }

    /// Returns a prefix of the request ID for logs.
    pub(crate) fn short_id(request: RequestId) -> String {
        request.to_string()[..8].to_owned()
    }
}

/// Counts a request or an attempt as running until it is dropped.
pub(crate) struct RunningGuard(Arc<Shared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
