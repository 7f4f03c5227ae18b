//! A running control replica.

use {
    crate::{
        admin,
        bulk_limiter::BulkLimiter,
        discovery::{self, Discovery},
        documents::DocumentLimiter,
        evacuations::{self, EvacuationSet, EvacuationStore},
        feed, host_list, leader_calls, ledger_calls,
        membership::{self, Membership},
        metrics::Metrics,
        operators::Operators,
        orders, origins,
        replicated_log::{ReplicaAddrs, ReplicatedLog},
        router_reports::RouterReports,
        routing_configs::{self, JsonFormat, RoutingConfigFormat, RoutingConfigStore},
        state_versions::{self, StateVersions},
        tasks::Tasks,
        watch_service::{self, Watchers},
    },
    directory::Directory,
    edge::{Server, ServerLimits, UploadMemory},
    eyre::{Report, Result, eyre},
    fanout::ConfigHistory,
    intake::Uploads,
    intent::{OrderProgress, WeightStore},
    parking_lot::Mutex,
    settings::ControlSettings,
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::watch,
    tower::service_fn,
    wire::{
        Clock, Dialer, Identity, Incoming, Listener, ListenerLimits, Peer, Traffic, TrafficClass,
        msg,
    },
};

/// The share of the process's memory that documents of operators may take.
const DOCUMENT_MEMORY_SHARE: f64 = 1.0 / 4.0;

/// The share of the process's memory that messages of other processes may take while they are received. It is apart from
/// that of documents, so that no operator keeps the group from replicating.
const MESSAGE_MEMORY_SHARE: f64 = 1.0 / 4.0;

const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// State shared by all tasks of the replica.
pub(crate) struct Shared {
    pub(crate) settings: ControlSettings,
    pub(crate) operators: Operators,
    pub(crate) log: ReplicatedLog,
    pub(crate) router_reports: Mutex<RouterReports>,
    pub(crate) membership: Mutex<Option<Membership>>,
    pub(crate) order_progress: Mutex<OrderProgress>,
    pub(crate) state_versions: watch::Sender<StateVersions>,
    pub(crate) config_format: Arc<dyn RoutingConfigFormat>,
    pub(crate) routing_config: watch::Sender<Option<Arc<ConfigHistory>>>,
    pub(crate) discovery: Discovery,
    pub(crate) origins: origins::KeptOrigins,
    pub(crate) evacuations: watch::Sender<Option<Arc<EvacuationSet>>>,
    pub(crate) watchers: Watchers,
    pub(crate) bulk_limiter: BulkLimiter,
    pub(crate) document_limiter: DocumentLimiter,
    /// The memory for documents of operators.
    pub(crate) document_memory: Arc<UploadMemory>,
    pub(crate) dialer: Dialer,
    /// The connection for calls to the leader.
    pub(crate) leader_peer: Mutex<Option<Peer>>,
    pub(crate) metrics: OnceLock<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) traffic: Traffic,
}

/// A running control replica. Call [`Control::shutdown`] to stop it; dropping it does not stop its tasks.
pub struct Control {
    shared: Arc<Shared>,
    internal_addr: SocketAddr,
    server: Server,
    tasks: Tasks,
}

/// The bound sockets of a replica that has not started yet. Requests to it are rejected.
///
/// Binding is separate from starting because replicas must know each other's addresses before any of them starts.
pub struct Sockets {
    identity: Option<Identity>,
    traffic: Traffic,
    listener: Listener,
    server: Server,
    shared_slot: Arc<OnceLock<Arc<Shared>>>,
    document_memory: Arc<UploadMemory>,
}

impl Sockets {
    /// Binds the internal and the admin address of the settings.
    ///
    /// # Errors
    ///
    /// A key cannot be read or an address cannot be bound.
    pub async fn bind(settings: &ControlSettings) -> Result<Sockets> {
        let identity = settings.tls_inner.as_ref().map(Identity::open).transpose();
        let identity = identity.map_err(|it| eyre!("control: cannot read TLS keys: {it}"))?;
        let traffic = Traffic::default();
        let memory_bytes = settings.memory_mb * BYTES_PER_MB;
        let document_memory = UploadMemory::new((memory_bytes * DOCUMENT_MEMORY_SHARE) as usize);
        let limits = ListenerLimits {
            connections: settings.intake.inner,
            memory: Uploads::shared((memory_bytes * MESSAGE_MEMORY_SHARE) as usize),
        };
        let listener =
            Listener::bind_with_limits(settings.inner, identity.clone(), traffic.clone(), limits);
        let listener = listener.await?;
        let shared_slot: Arc<OnceLock<Arc<Shared>>> = Arc::default();
        let server = serve_admin(settings, shared_slot.clone()).await?;
        Ok(Sockets { identity, traffic, listener, server, shared_slot, document_memory })
    }

    /// Returns the address for routers and replicas.
    pub fn internal_addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns the address for operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

impl Control {
    /// Binds both addresses and starts the replica.
    ///
    /// # Errors
    ///
    /// A file cannot be read, an address cannot be bound or the data directory cannot be used.
    pub async fn spawn(settings: ControlSettings) -> Result<Control> {
        let sockets = Sockets::bind(&settings).await?;
        Control::start(settings, sockets).await
    }

    /// Starts the replica on bound sockets.
    ///
    /// # Errors
    ///
    /// A file cannot be read or the data directory cannot be used.
    pub async fn start(settings: ControlSettings, sockets: Sockets) -> Result<Control> {
        Control::start_with_format(settings, sockets, Arc::new(JsonFormat)).await
    }

    /// Like [`Control::start`], with a custom format for routing configurations.
    ///
    /// # Errors
    ///
    /// The same as for [`Control::start`].
    pub async fn start_with_format(
        settings: ControlSettings,
        sockets: Sockets,
        config_format: Arc<dyn RoutingConfigFormat>,
    ) -> Result<Control> {
        let operators = Operators::load(settings.operators.as_deref())?;
        let bound_addr = sockets.internal_addr();
        let internal = settings.advertise.unwrap_or(sockets.internal_addr());
        let own_addrs = ReplicaAddrs { internal, admin: sockets.admin_addr() };
        let Sockets { identity, traffic, listener, server, shared_slot, document_memory } = sockets;
        let dialer = Dialer {
            identity: identity.clone(),
            traffic: traffic.clone(),
            class: TrafficClass::Control,
        };
        let clock = Clock::start();
        let log = ReplicatedLog::open(&settings, own_addrs, dialer.clone(), clock).await?;
        let bulk_limiter = BulkLimiter::new(settings.link_mbps);
        let document_limiter = DocumentLimiter::new(settings.link_mbps, clock);
        let shared = Arc::new(Shared {
            settings,
            operators,
            log,
            router_reports: Mutex::default(),
            membership: Mutex::default(),
            order_progress: Mutex::default(),
            state_versions: watch::Sender::default(),
            config_format,
            routing_config: watch::Sender::default(),
            discovery: Discovery::default(),
            origins: origins::KeptOrigins::new(own_addrs.internal),
            evacuations: watch::Sender::default(),
            watchers: Watchers::default(),
            bulk_limiter,
            document_limiter,
            document_memory,
            dialer,
            leader_peer: Mutex::default(),
            metrics: OnceLock::new(),
            clock,
            traffic,
        });
        shared_slot.get_or_init(|| shared.clone());
        let mut tasks = Tasks::default();
        tasks.spawn(accept(shared.clone(), listener));
        tasks.spawn(membership::run(shared.clone()));
        tasks.spawn(orders::run(shared.clone()));
        tasks.spawn(state_versions::run(shared.clone()));
        tasks.spawn(routing_configs::run(shared.clone()));
        tasks.spawn(watch_service::run(shared.clone()));
        tasks.spawn(origins::run(shared.clone(), bound_addr));
        tasks.spawn(evacuations::run(shared.clone()));
        tasks.spawn(evacuations::record_protocol(shared.clone()));
        if let Some(hosts) = shared.settings.host_list {
            tasks.spawn(host_list::run(shared.clone(), hosts));
        }
        if let Some(identity) = identity {
            tasks.spawn(identity.reload_periodically());
        }
        tracing::info!(
            "control: listening for routers on {} and for operators on {}",
            own_addrs.internal,
            own_addrs.admin
        );
        Ok(Control { shared, internal_addr: own_addrs.internal, server, tasks })
    }

    /// Serves `/metrics` on the admin address.
    pub fn serve_metrics(&self, metrics: telemetry::Metrics) {
        self.shared.metrics.get_or_init(|| Metrics::new(metrics));
    }

    /// Starts polling the directory for endpoints; changes are sent to the routers that watch this replica.
    ///
    /// # Panics
    ///
    /// If called outside of a `tokio` runtime.
    pub fn poll_directory<D>(&mut self, directory: D)
    where
        D: Directory,
    {
        self.tasks.spawn(discovery::run(self.shared.clone(), directory));
    }

    /// Returns a handle for publishing and reading routing configurations.
    pub fn routing_configs(&self) -> RoutingConfigStore {
        RoutingConfigStore::new(self.shared.clone())
    }

    /// Returns the memory for the documents that operators send, for an API beside the admin one.
    pub fn document_memory(&self) -> Arc<UploadMemory> {
        self.shared.document_memory.clone()
    }

    /// Returns a handle for evacuating failure domains.
    pub fn evacuations(&self) -> EvacuationStore {
        EvacuationStore::new(self.shared.clone())
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.shared.log.is_leader()
    }

    /// Returns the counters of the bytes exchanged with routers and other replicas.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Waits until this replica is the leader.
    pub async fn wait_until_leader(&self) {
        self.shared.log.wait_until_leader().await;
    }

    /// Returns the address for routers and replicas.
    pub fn internal_addr(&self) -> SocketAddr {
        self.internal_addr
    }

    /// Returns the address for operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the seeds through which this replica finds its group, unless its settings name fixed peers instead.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        if !self.shared.settings.seeds.is_empty() {
            self.shared.log.set_seeds(seeds).await;
        }
    }

    /// Waits until the replica cannot work any more and returns the reason. The process must then be restarted.
    pub async fn failed(&self) -> Report {
        tokio::select! {
            () = self.shared.log.wait_until_stopped() => eyre!("control: the replica has stopped"),
            () = self.tasks.panicked() => eyre!("control: a background task panicked"),
        }
    }

    /// Stops the replica after the responses to pending admin requests are sent.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
        self.shared.log.shutdown().await;
        self.tasks.abort();
    }
}

impl Shared {
    /// Returns the wall-clock time in milliseconds since the Unix epoch (1970).
    ///
    /// It is recorded in commands and never compared to [`Clock`].
    pub(crate) fn unix_time_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
    }

    /// Returns a number in `0..1` that differs between replicas, to spread their periodic work.
    pub(crate) fn jitter(&self) -> f64 {
        let now = self.clock.now().0;
        (model::mix2(self.log.id(), now) % 1_000) as f64 / 1_000.0
    }

    /// Returns the limits of the weight store.
    pub(crate) fn weight_store(&self) -> WeightStore {
        let limits = self.settings.weights;
        WeightStore { image_bytes: limits.image_bytes, rate_bytes: limits.rate_bytes }
    }
}

/// Binds the admin address. Requests are rejected until `shared_slot` is set.
async fn serve_admin(
    settings: &ControlSettings,
    shared_slot: Arc<OnceLock<Arc<Shared>>>,
) -> Result<Server> {
    let intake = &settings.intake;
    let limits = ServerLimits::operators(intake.operators, intake.receive_bytes, intake.stall_ms);
    let service = service_fn(move |request| admin::serve(shared_slot.get().cloned(), request));
    Ok(Server::bind(settings.admin, limits, service).await?)
}

async fn accept(shared: Arc<Shared>, mut listener: Listener) {
    while let Some(incoming) = listener.accept().await {
        tokio::spawn(serve(shared.clone(), incoming));
    }
}

async fn serve(shared: Arc<Shared>, incoming: Incoming) {
    let peer = incoming.peer;
    let result = match incoming.path.as_str() {
        msg::FEED_PATH => feed::serve(shared, incoming.stream).await,
        msg::WATCH_PATH => watch_service::serve(shared, incoming.stream).await,
        msg::LEADER_PATH => leader_calls::serve(shared, incoming.stream).await,
        msg::LEDGER_PATH => ledger_calls::serve(shared, incoming.stream).await,
        msg::REPLICA_PATH => return shared.log.handle_stream(incoming.stream),
        path => return tracing::warn!("control: {peer} opened unknown path {path}"),
    };
    if let Err(err) = result {
        tracing::debug!("control: stream failed: {err}");
    }
}
