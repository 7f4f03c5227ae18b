//! What all tasks of a router share.
//!
//! Lock order: `limits`, then `owned`; nothing is awaited under either. `peers`, `clients`, `replicas` and
//! `leader` are leaves: no other lock is taken under them.

use {
    crate::{call::Call, hint, metrics::Metrics, owned::OwnedEndpoints, view::ClusterView},
    admission::TeamLimiter,
    edge::{EndpointClient, EndpointLimits},
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
    wire::{Class, Clock, Dialer, Identity, Peer, Traffic, msg::ToControl},
};

/// Retries that a thousand first attempts earn.
const RETRY_PERMILLE: u32 = 150;

/// Retries that are saved up at most.
const MAX_SAVED_RETRIES: u32 = 50;

/// Milliseconds without the head of an answer before its connection is taken to be silent.
const HEAD_TIMEOUT_MS: u64 = 5_000;

/// Milliseconds without a byte of an answer before its connection is taken to be silent.
const PROGRESS_TIMEOUT_MS: u64 = 2_000;

/// What all tasks of a router share.
pub(crate) struct Shared {
    pub(crate) settings: RouterSettings,
    pub(crate) clock: Clock,
    pub(crate) dialer: Dialer,
    /// Where other routers reach this one.
    pub(crate) internal_addr: SocketAddr,
    /// A random number of this process.
    pub(crate) process_nonce: u64,
    pub(crate) team_limiter: Mutex<TeamLimiter>,
    pub(crate) owned: Mutex<OwnedEndpoints>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) metrics: Metrics,
    /// Wakes the feed when the router begins to leave.
    pub(crate) leave_notify: Notify,
    is_leaving: AtomicBool,
    own_id: OnceLock<RouterId>,
    view_sender: watch::Sender<Arc<ClusterView>>,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    endpoint_clients: Mutex<HashMap<EndpointId, EndpointClient>>,
    /// Connections to control replicas for claims; their bytes count as control traffic.
    control_peers: Mutex<HashMap<SocketAddr, Peer>>,
    leader: Mutex<Option<SocketAddr>>,
    running: AtomicUsize,
    round_robin: AtomicU64,
}

impl Shared {
    /// Returns the state of a router that knows nothing yet and listens for other routers at `inner`.
    pub(crate) fn new(
        settings: RouterSettings,
        identity: Option<Identity>,
        internal_addr: SocketAddr,
        traffic: Traffic,
        metrics: Metrics,
    ) -> Shared {
        let clock = Clock::start();
        let view = ClusterView::default();
        Shared {
            dialer: Dialer { identity, traffic, class: Class::Forward },
            settings,
            clock,
            internal_addr,
            process_nonce: random(),
            team_limiter: Mutex::new(TeamLimiter::new(1)),
            owned: Mutex::new(OwnedEndpoints::new()),
            retry_budget: RetryBudget::new(RETRY_PERMILLE, MAX_SAVED_RETRIES),
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

    /// The view in force.
    pub(crate) fn view(&self) -> Arc<ClusterView> {
        self.view_sender.borrow().clone()
    }

    /// Changes whenever another view comes into force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<ClusterView>> {
        self.view_sender.subscribe()
    }

    /// Takes the id of this process; false if it has another one.
    pub(crate) fn set_id(&self, router: RouterId) -> bool {
        self.owned.lock().membership.set_id(router);
        *self.own_id.get_or_init(|| router) == router
    }

    /// The id of this process, once it has one.
    pub(crate) fn own_id(&self) -> Option<RouterId> {
        self.own_id.get().copied()
    }

    /// Whether `router` is this process.
    pub(crate) fn is_self(&self, router: RouterId) -> bool {
        self.own_id.get() == Some(&router)
    }

    /// Whether the roster in force lists this router.
    pub(crate) fn is_listed(&self) -> bool {
        self.own_id.get().is_some_and(|it| self.view().roster.get(*it).is_some())
    }

    /// Whether this router is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Begins to leave: control gives what this router owns to others.
    pub(crate) fn begin_shutdown(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.leave_notify.notify_one();
    }

    /// Puts a configuration in force.
    pub(crate) fn install_config(&self, config: Arc<Config>) {
        let now = self.clock.now();
        let mut owned = self.owned.lock();
        let roster = self.view().roster.clone();
        owned.update_config(now, &config);
        self.publish_view(&owned, config, roster);
    }

    /// Puts a roster in force, or keeps an older one for what missing routers may do by it.
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

    /// Publishes a view; holding `owned` keeps two of them from crossing.
    fn publish_view(&self, owned: &OwnedEndpoints, config: Arc<Config>, roster: Roster) {
        let owners = owned.membership.owners().cloned().unwrap_or_default();
        tracing::info!("router: in force: {} {}", config.revision, roster.epoch);
        self.view_sender.send_replace(Arc::new(ClusterView::new(config, roster, owners)));
    }

    /// Notes where a chat runs whose home is owned here.
    pub(crate) fn record_spill(&self, chat: ChatKey, endpoint: EndpointId) {
        let now = self.clock.now();
        self.owned.lock().table.record_spill(now, chat, endpoint);
    }

    /// What this router remembers of an endpoint, for its next owner.
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

    /// Takes over what the former owner of an endpoint remembered.
    pub(crate) fn apply_handover(&self, endpoint: EndpointId, handover: &OwnerHandover) {
        let now = self.clock.now();
        self.owned.lock().table.apply_handover(now, endpoint, handover);
    }

    /// Returns the heartbeat to send now, unless the one before is unanswered.
    pub(crate) fn heartbeat(&self, now: Time) -> Option<ToControl> {
        let revision = self.view().config.revision;
        self.owned.lock().heartbeat(now, revision, self.is_leaving())
    }

    /// The connection to another router.
    pub(crate) fn peer(&self, addr: SocketAddr) -> Peer {
        let mut peers = self.peers.lock();
        peers.entry(addr).or_insert_with(|| Peer::new(addr, self.dialer.clone())).clone()
    }

    /// The connection to a control replica, for claims.
    pub(crate) fn control_peer(&self, addr: SocketAddr) -> Peer {
        let dialer = || Dialer { class: Class::Control, ..self.dialer.clone() };
        self.control_peers.lock().entry(addr).or_insert_with(|| Peer::new(addr, dialer())).clone()
    }

    /// The control replica that last answered as leader.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        *self.leader.lock()
    }

    /// Notes which control replica leads.
    pub(crate) fn set_leader(&self, leader: SocketAddr) {
        *self.leader.lock() = Some(leader);
    }

    /// Drops connections to routers that are not in the roster.
    pub(crate) fn drop_unused_connections(&self) {
        let view = self.view();
        self.peers.lock().retain(|addr, _| view.roster.routers.iter().any(|it| it.addr == *addr));
        self.endpoint_clients.lock().retain(|id, _| view.endpoint(*id).is_some());
    }

    /// The connections to an endpoint.
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

    /// The routers that may start work on an endpoint, in the order in which they are asked.
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

    /// The endpoints that a call is tried on, in order, by the routing of this router.
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

    /// Milliseconds for which a request is quarantined, if it is.
    pub(crate) fn quarantined(&self, fingerprint: Digest) -> Option<u32> {
        let now = self.clock.now();
        self.owned.lock().suspects.quarantined(now, fingerprint)
    }

    /// Counts a request in until the returned guard is dropped.
    pub(crate) fn track_running(self: &Arc<Shared>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(self.clone())
    }

    /// How many requests of callers run through this router, and attempts on endpoints by this router.
    pub(crate) fn running_count(&self) -> u64 {
        self.running.load(Ordering::Relaxed) as u64
    }

    /// The request's id as a short text for logs.
    pub(crate) fn short_id(request: RequestId) -> String {
        request.to_string()[..8].to_owned()
    }
}

/// A request or an attempt that is counted as running.
pub(crate) struct RunningGuard(Arc<Shared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
