//! A running control replica.

use {
    crate::{
        admin, claims, feed,
        fleet::Fleet,
        log::{LeaderAddr, Log},
        operators::Operators,
        roster,
    },
    edge::{Server, ServerLimits},
    eyre::{Result, eyre},
    intent::WeightStore,
    parking_lot::Mutex,
    settings::ControlSettings,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::task::JoinHandle,
    tower::service_fn,
    wire::{Clock, Identity, Incoming, Listener, Traffic, msg},
};

/// What all tasks of the process share.
pub(crate) struct Shared {
    pub(crate) settings: ControlSettings,
    pub(crate) operators: Operators,
    pub(crate) log: Log,
    pub(crate) fleet: Mutex<Fleet>,
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

impl Control {
    /// Binds both addresses and starts the replica.
    ///
    /// # Errors
    ///
    /// A file cannot be read or an address cannot be bound.
    pub async fn spawn(settings: ControlSettings) -> Result<Control> {
        let operators = Operators::open(&settings.operators)?;
        let identity = settings.tls_inner.as_ref().map(Identity::open).transpose();
        let identity = identity.map_err(|it| eyre!("control: read keys: {it}"))?;
        let traffic = Traffic::default();
        let listener = Listener::bind(settings.inner, identity, traffic.clone()).await?;
        let inner = listener.addr();
        let shared = Arc::new(Shared {
            log: Log::open(LeaderAddr { inner, admin: settings.admin }),
            settings,
            operators,
            fleet: Mutex::default(),
            clock: Clock::start(),
            traffic,
        });
        let server = serve_admin(&shared).await?;
        let tasks = vec![
            tokio::spawn(accept(shared.clone(), listener)),
            tokio::spawn(roster::run(shared.clone())),
        ];
        tracing::info!("control: serves routers on {inner}, operators on {}", server.addr());
        Ok(Control { shared, inner, server, tasks })
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
        self.shared.log.stop();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    /// The time of day in milliseconds since 1970; it travels in commands and is never compared to [`Clock`].
    pub(crate) fn wall_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
    }

    /// The limits of the weight store.
    pub(crate) fn weights(&self) -> WeightStore {
        let limits = self.settings.weights;
        WeightStore { image_bytes: limits.image_bytes, rate_bytes: limits.rate_bytes }
    }
}

async fn serve_admin(shared: &Arc<Shared>) -> Result<Server> {
    let (addr, shared) = (shared.settings.admin, shared.clone());
    let service = service_fn(move |request| admin::serve(shared.clone(), request));
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
        msg::LEDGER_PATH => claims::serve(shared, incoming.stream).await,
        path => return tracing::warn!("control: {peer} asks for unknown {path}"),
    };
    if let Err(err) = ended {
        tracing::debug!("control: stream ended: {err}");
    }
}
