//! A running control replica.

use {
    crate::{
        admin,
        bulk::Bulk,
        claims,
        discovery::{self, Discovery},
        feed,
        fleet::Fleet,
        hosts,
        layout_topic::LayoutTopic,
        layouts::{self, LayoutFormat, Layouts, OwnFormat},
        log::{Log, ReplicaAddr},
        metrics::Metrics,
        news::{self, News},
        operators::Operators,
        orders,
        roster::{self, Membership},
        watching::{self, Watchers},
    },
    directory::Directory,
    edge::{Server, ServerLimits},
    eyre::{Result, eyre},
    intent::{OrderProgress, WeightStore},
    parking_lot::Mutex,
    settings::ControlSettings,
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::{sync::watch, task::JoinHandle},
    tower::service_fn,
    wire::{Clock, Dialer, Identity, Incoming, Listener, Traffic, TrafficClass, msg},
};

/// What all tasks of the process share.
pub(crate) struct Shared {
    pub(crate) settings: ControlSettings,
    pub(crate) operators: Operators,
    pub(crate) log: Log,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) membership: Mutex<Option<Membership>>,
    pub(crate) orders: Mutex<OrderProgress>,
    pub(crate) news: watch::Sender<News>,
    pub(crate) format: Arc<dyn LayoutFormat>,
    pub(crate) layout: watch::Sender<Option<Arc<LayoutTopic>>>,
    pub(crate) discovery: Discovery,
    pub(crate) watchers: Watchers,
    pub(crate) bulk: Bulk,
    pub(crate) metrics: OnceLock<Metrics>,
    pub(crate) clock: Clock,
    pub(crate) traffic: Traffic,
}

/// A running control replica; dropping it ends its tasks.
pub struct Control {
    shared: Arc<Shared>,
    inner: SocketAddr,
    server: Server,
    tasks: Vec<JoinHandle<()>>,
}

/// The bound sockets of a replica that has not started yet; requests to it are refused.
///
/// Replicas must know each other's addresses before any of them starts.
pub struct Sockets {
    identity: Option<Identity>,
    traffic: Traffic,
    listener: Listener,
    server: Server,
    slot: Arc<OnceLock<Arc<Shared>>>,
}

impl Sockets {
    /// Binds both addresses of the settings.
    ///
    /// # Errors
    ///
    /// A key cannot be read or an address cannot be bound.
    pub async fn bind(settings: &ControlSettings) -> Result<Sockets> {
        let identity = settings.tls_inner.as_ref().map(Identity::open).transpose();
        let identity = identity.map_err(|it| eyre!("control: read keys: {it}"))?;
        let traffic = Traffic::default();
        let listener = Listener::bind(settings.inner, identity.clone(), traffic.clone()).await?;
        let slot: Arc<OnceLock<Arc<Shared>>> = Arc::default();
        let server = serve_admin(settings.admin, slot.clone()).await?;
        Ok(Sockets { identity, traffic, listener, server, slot })
    }

    /// Where routers and replicas connect.
    pub fn inner(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.server.addr()
    }
}

impl Control {
    /// Binds both addresses and starts the replica.
    ///
    /// # Errors
    ///
    /// A file cannot be read, an address cannot be bound or the data folder cannot be used.
    pub async fn spawn(settings: ControlSettings) -> Result<Control> {
        let sockets = Sockets::bind(&settings).await?;
        Control::start(settings, sockets).await
    }

    /// Starts the replica on bound sockets.
    ///
    /// # Errors
    ///
    /// A file cannot be read or the data folder cannot be used.
    pub async fn start(settings: ControlSettings, sockets: Sockets) -> Result<Control> {
        Control::start_with(settings, sockets, Arc::new(OwnFormat)).await
    }

    /// As [`Control::start`], with routing configurations in another format than the product's own.
    ///
    /// # Errors
    ///
    /// As [`Control::start`].
    pub async fn start_with(
        settings: ControlSettings,
        sockets: Sockets,
        format: Arc<dyn LayoutFormat>,
    ) -> Result<Control> {
        let operators = Operators::open(settings.operators.as_deref())?;
        let inner = settings.advertise.unwrap_or(sockets.inner());
        let own = ReplicaAddr { inner, admin: sockets.admin() };
        let Sockets { identity, traffic, listener, server, slot } = sockets;
        let dialer = Dialer {
            identity: identity.clone(),
            traffic: traffic.clone(),
            class: TrafficClass::Control,
        };
        let clock = Clock::start();
        let log = Log::open(&settings, own, dialer, clock).await?;
        let bulk = Bulk::new(settings.link_mbps);
        let shared = Arc::new(Shared {
            settings,
            operators,
            log,
            fleet: Mutex::default(),
            membership: Mutex::default(),
            orders: Mutex::default(),
            news: watch::Sender::default(),
            format,
            layout: watch::Sender::default(),
            discovery: Discovery::default(),
            watchers: Watchers::default(),
            bulk,
            metrics: OnceLock::new(),
            clock,
            traffic,
        });
        slot.get_or_init(|| shared.clone());
        let mut tasks = vec![
            tokio::spawn(accept(shared.clone(), listener)),
            tokio::spawn(roster::run(shared.clone())),
            tokio::spawn(orders::run(shared.clone())),
            tokio::spawn(news::run(shared.clone())),
            tokio::spawn(layouts::run(shared.clone())),
            tokio::spawn(watching::run(shared.clone())),
        ];
        let hosts = shared.settings.host_list;
        tasks.extend(hosts.map(|it| tokio::spawn(hosts::run(shared.clone(), it))));
        tasks.extend(identity.map(|it| tokio::spawn(it.reload_periodically())));
        tracing::info!("control: serves routers on {}, operators on {}", own.inner, own.admin);
        Ok(Control { shared, inner: own.inner, server, tasks })
    }

    /// Serves a metrics page on the admin address.
    pub fn serve_metrics(&self, metrics: telemetry::Metrics) {
        self.shared.metrics.get_or_init(|| Metrics::new(metrics));
    }

    /// Reads the list of endpoints and tells the routers that watch.
    ///
    /// # Panics
    ///
    /// If called outside of a `tokio` runtime.
    pub fn serve_directory<D>(&mut self, directory: D)
    where
        D: Directory,
    {
        self.tasks.push(tokio::spawn(discovery::run(self.shared.clone(), directory)));
    }

    /// Returns the way to publish and read routing configurations.
    pub fn layouts(&self) -> Layouts {
        Layouts::new(self.shared.clone())
    }

    /// Whether this replica leads.
    pub fn leads(&self) -> bool {
        self.shared.log.leads()
    }

    /// Returns once this replica leads.
    pub async fn lead(&self) {
        self.shared.log.lead().await;
    }

    /// Where routers and replicas connect.
    pub fn inner(&self) -> SocketAddr {
        self.inner
    }

    /// Where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Ends the replica once operators have their answers.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
        self.shared.log.shutdown().await;
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    /// The time of day in milliseconds since 1970; it travels in commands and is never compared to [`Clock`].
    pub(crate) fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
    }

    /// A number from 0 to 1 that differs between replicas, to spread what they do at regular intervals.
    pub(crate) fn spread(&self) -> f64 {
        let now = self.clock.now().0;
        (model::mix2(self.log.id(), now) % 1_000) as f64 / 1_000.0
    }

    /// The limits of the weight store.
    pub(crate) fn weights(&self) -> WeightStore {
        let limits = self.settings.weights;
        WeightStore { image_bytes: limits.image_bytes, rate_bytes: limits.rate_bytes }
    }
}

/// Binds the admin address; until the slot is filled, requests are refused.
async fn serve_admin(addr: SocketAddr, slot: Arc<OnceLock<Arc<Shared>>>) -> Result<Server> {
    let service = service_fn(move |request| admin::serve(slot.get().cloned(), request));
    Ok(Server::bind(addr, ServerLimits::default(), service).await?)
}

async fn accept(shared: Arc<Shared>, mut listener: Listener) {
    while let Some(incoming) = listener.accept().await {
        tokio::spawn(serve(shared.clone(), incoming));
    }
}

async fn serve(shared: Arc<Shared>, incoming: Incoming) {
    let peer = incoming.peer;
    let ended = match incoming.path.as_str() {
        msg::FEED_PATH => feed::serve(shared, incoming.stream).await,
        msg::WATCH_PATH => watching::serve(shared, incoming.stream).await,
        msg::LEDGER_PATH => claims::serve(shared, incoming.stream).await,
        msg::REPLICA_PATH => return shared.log.incoming(incoming.stream),
        path => return tracing::warn!("control: {peer} asks for unknown {path}"),
    };
    if let Err(err) = ended {
        tracing::debug!("control: stream ended: {err}");
    }
}
