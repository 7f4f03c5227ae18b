//! What all tasks of a router share.
//!
//! Lock order: `limits`, then `owned`; nothing is awaited under either. `peers`, `clients`, `replicas` and
//! `leader` are leaves: no other lock is taken under them.

use {
    crate::{call::Call, metrics::Metrics, note, owned::Owned, view::View},
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
    wire::{Clock, Dialer, Identity, Peer, Traffic, TrafficClass, msg::ToControl},
};

/// Retries that a thousand first attempts earn.
const RETRY_PERMILLE: u32 = 150;

/// Retries that are saved up at most.
const RETRY_RESERVE: u32 = 50;

/// Milliseconds without the head of an answer before its connection is taken to be silent.
const HEAD_LIMIT_MS: u64 = 5_000;

/// Milliseconds without a byte of an answer before its connection is taken to be silent.
const PROGRESS_LIMIT_MS: u64 = 2_000;

/// What all tasks of a router share.
pub(crate) struct Shared {
    pub(crate) settings: RouterSettings,
    pub(crate) clock: Clock,
    pub(crate) dialer: Dialer,
    /// Where other routers reach this one.
    pub(crate) inner: SocketAddr,
    /// A random number of this process.
    pub(crate) process: u64,
    pub(crate) limits: Mutex<TeamLimiter>,
    pub(crate) owned: Mutex<Owned>,
    pub(crate) budget: RetryBudget,
    pub(crate) metrics: Metrics,
    /// Wakes the feed when the router begins to leave.
    pub(crate) leaving: Notify,
    is_leaving: AtomicBool,
    me: OnceLock<RouterId>,
    views: watch::Sender<Arc<View>>,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    clients: Mutex<HashMap<EndpointId, EndpointClient>>,
    /// Connections to control replicas for claims; their bytes count as control traffic.
    replicas: Mutex<HashMap<SocketAddr, Peer>>,
    leader: Mutex<Option<SocketAddr>>,
    running: AtomicUsize,
    turn: AtomicU64,
}

impl Shared {
    /// Returns the state of a router that knows nothing yet and listens for other routers at `inner`.
    pub(crate) fn open(
        settings: RouterSettings,
        identity: Option<Identity>,
        inner: SocketAddr,
        traffic: Traffic,
        metrics: Metrics,
    ) -> Shared {
        let clock = Clock::start();
        let view = View::default();
        Shared {
            dialer: Dialer { identity, traffic, class: TrafficClass::Forward },
            settings,
            clock,
            inner,
            process: random(),
            limits: Mutex::new(TeamLimiter::new(1)),
            owned: Mutex::new(Owned::new()),
            budget: RetryBudget::new(RETRY_PERMILLE, RETRY_RESERVE),
            metrics,
            leaving: Notify::new(),
            is_leaving: AtomicBool::new(false),
            me: OnceLock::new(),
            views: watch::Sender::new(Arc::new(view)),
            peers: Mutex::default(),
            clients: Mutex::default(),
            replicas: Mutex::default(),
            leader: Mutex::default(),
            running: AtomicUsize::new(0),
            turn: AtomicU64::new(0),
        }
    }

    /// The view in force.
    pub(crate) fn view(&self) -> Arc<View> {
        self.views.borrow().clone()
    }

    /// Changes whenever another view comes into force.
    pub(crate) fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.subscribe()
    }

    /// Takes the id of this process; false if it has another one.
    pub(crate) fn welcome(&self, router: RouterId) -> bool {
        self.owned.lock().member.set_id(router);
        *self.me.get_or_init(|| router) == router
    }

    /// The id of this process, once it has one.
    pub(crate) fn me(&self) -> Option<RouterId> {
        self.me.get().copied()
    }

    /// Whether `router` is this process.
    pub(crate) fn is_me(&self, router: RouterId) -> bool {
        self.me.get() == Some(&router)
    }

    /// Whether the roster in force lists this router.
    pub(crate) fn is_listed(&self) -> bool {
        self.me.get().is_some_and(|it| self.view().roster.get(*it).is_some())
    }

    /// Whether this router is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Begins to leave: control gives what this router owns to others.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.leaving.notify_one();
    }

    /// Puts a configuration in force.
    pub(crate) fn install_config(&self, config: Arc<Config>) {
        let now = self.clock.now();
        let mut owned = self.owned.lock();
        let roster = self.view().roster.clone();
        owned.take_config(now, &config);
        self.install(&owned, config, roster);
    }

    /// Puts a roster in force, or keeps an older one for what missing routers may do by it.
    pub(crate) fn install_roster(self: &Arc<Shared>, roster: &Roster) {
        let now = self.clock.now();
        let mut owned = self.owned.lock();
        let view = self.view();
        owned.member.update_roster(now, roster, &view.config);
        if roster.epoch <= view.roster.epoch {
            return;
        }
        self.install(&owned, view.config.clone(), roster.clone());
        drop(owned);
        note::recall(self, &view, &self.view());
        let live = roster.routers.iter().filter(|it| it.state == RouterState::Live).count();
        self.limits.lock().set_router_count(live as u32);
    }

    /// Publishes a view; holding `owned` keeps two of them from crossing.
    fn install(&self, owned: &Owned, config: Arc<Config>, roster: Roster) {
        let owners = owned.member.owners().cloned().unwrap_or_default();
        tracing::info!("router: in force: {} {}", config.revision, roster.epoch);
        self.views.send_replace(Arc::new(View::new(config, roster, owners)));
    }

    /// Notes where a chat runs whose home is owned here.
    pub(crate) fn spilled(&self, chat: ChatKey, endpoint: EndpointId) {
        let now = self.clock.now();
        self.owned.lock().table.record_spill(now, chat, endpoint);
    }

    /// What this router remembers of an endpoint, for its next owner.
    pub(crate) fn memory(&self, endpoint: EndpointId) -> OwnerHandover {
        let now = self.clock.now();
        let view = self.view();
        let homes = view.endpoint(endpoint).and_then(|it| {
            let image = it.images.first().cloned();
            view.homes(it.service, &image)
        });
        let Some(homes) = homes else { return OwnerHandover::default() };
        self.owned.lock().table.handover(now, homes, endpoint)
    }

    /// Takes over what the former owner of an endpoint remembered.
    pub(crate) fn take_memory(&self, endpoint: EndpointId, memory: &OwnerHandover) {
        let now = self.clock.now();
        self.owned.lock().table.apply_handover(now, endpoint, memory);
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
        let dialer = || Dialer { class: TrafficClass::Control, ..self.dialer.clone() };
        self.replicas.lock().entry(addr).or_insert_with(|| Peer::new(addr, dialer())).clone()
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
    pub(crate) fn forget_peers(&self) {
        let view = self.view();
        self.peers.lock().retain(|addr, _| view.roster.routers.iter().any(|it| it.addr == *addr));
        self.clients.lock().retain(|id, _| view.endpoint(*id).is_some());
    }

    /// The connections to an endpoint.
    pub(crate) fn client(&self, endpoint: &Endpoint, kind: ServiceKind) -> EndpointClient {
        let limits = EndpointLimits {
            head_ms: HEAD_LIMIT_MS,
            progress_ms: PROGRESS_LIMIT_MS,
            ..EndpointLimits::default()
        };
        let mut clients = self.clients.lock();
        let fresh = || EndpointClient::new(endpoint.addr, kind, limits);
        let client = clients.entry(endpoint.id).or_insert_with(fresh);
        if client.peer() != endpoint.addr {
            *client = fresh();
        }
        client.clone()
    }

    /// The routers that may start work on an endpoint, in the order in which they are asked.
    pub(crate) fn holders(&self, view: &View, endpoint: EndpointId) -> SmallVec<[RouterId; 6]> {
        match (self.settings.routing, self.me.get()) {
            (Routing::Owner, _) | (_, None) => view.owners.holders(endpoint).into(),
            (_, Some(me)) => SmallVec::from_slice(&[*me]),
        }
    }

    /// The endpoints that a call is tried on, in order, by the routing of this router.
    pub(crate) fn choose(
        &self,
        call: &Call,
        homes: &RendezvousHash,
        most: usize,
    ) -> SmallVec<[EndpointId; 8]> {
        let mut order: SmallVec<[EndpointId; 8]> = match self.settings.routing {
            Routing::Owner | Routing::Rendezvous => {
                return homes.ranked(call.chat).take(most).collect();
            }
            Routing::RoundRobin | Routing::LeastReported => homes.ranked(call.chat).collect(),
        };
        order.sort_unstable();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed) as usize;
        let count = order.len().max(1);
        order.rotate_left(turn % count);
        if self.settings.routing == Routing::LeastReported {
            let owned = self.owned.lock();
            order.sort_by_key(|it| owned.reported(*it));
        }
        order.truncate(most);
        order
    }

    /// Milliseconds for which a request is quarantined, if it is.
    pub(crate) fn quarantined(&self, fingerprint: Digest) -> Option<u32> {
        let now = self.clock.now();
        self.owned.lock().suspects.quarantined(now, fingerprint)
    }

    /// Counts a request in until the returned guard is dropped.
    pub(crate) fn begin(self: &Arc<Shared>) -> Busy {
        self.running.fetch_add(1, Ordering::Relaxed);
        Busy(self.clone())
    }

    /// How many requests of callers run through this router, and attempts on endpoints by this router.
    pub(crate) fn running(&self) -> u64 {
        self.running.load(Ordering::Relaxed) as u64
    }

    /// The request's id as a short text for logs.
    pub(crate) fn short(request: RequestId) -> String {
        request.to_string()[..8].to_owned()
    }
}

/// A request or an attempt that is counted as running.
pub(crate) struct Busy(Arc<Shared>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
