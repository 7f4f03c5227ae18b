//! A running router.

use {
    crate::{
        admin, control_feed, entry, forward,
        hint::{self, HINT_PATH},
        metrics::Metrics,
        probe,
        shared::Shared,
    },
    edge::{Server, ServerLimits, ServerTls, UploadMemory},
    eyre::{Result, eyre},
    model::SECOND,
    settings::RouterSettings,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        task::JoinHandle,
        time::{interval, sleep, timeout},
    },
    tower::service_fn,
    wire::{Identity, Listener, ListenerLimits, Traffic, msg::FORWARD_PATH},
};

/// The share of the process's memory that bodies of requests may take.
const UPLOAD_MEMORY_SHARE: f64 = 1.0 / 4.0;

const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// Interval between checks of the queues, in milliseconds.
const QUEUE_TICK_MS: u64 = 50;

/// Interval between cleanups of idle rate limits and unused connections, in milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 10_000;

/// Idle time after which a team's token buckets are evicted, in microseconds.
const TEAM_IDLE_US: u64 = 60 * SECOND;

/// Time for which a router that shuts down still accepts requests, in milliseconds. It lets the load balancer notice
/// that the router is no longer ready.
const READINESS_GRACE_MS: u64 = 2_000;

/// Time that requests in progress have to complete during a shutdown, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 900_000;

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    caller_server: Server,
    admin_server: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl Router {
    /// Binds all addresses and connects to the control service.
    ///
    /// # Errors
    ///
    /// Returns an error if a key file cannot be read or an address cannot be bound.
    pub async fn spawn(settings: RouterSettings, telemetry: telemetry::Metrics) -> Result<Router> {
        let identity = settings.tls_inner.as_ref().map(Identity::open).transpose();
        let identity =
            identity.map_err(|it| eyre!("router: cannot read the internal TLS keys: {it}"))?;
        let tls = settings.tls_callers.as_ref().map(|it| ServerTls::open(&it.cert, &it.key));
        let tls =
            tls.transpose().map_err(|it| eyre!("router: cannot read the caller TLS keys: {it}"))?;
        let traffic = Traffic::default();
        let intake = settings.intake;
        let memory_bytes = settings.memory_mb * BYTES_PER_MB;
        let upload_memory = UploadMemory::new((memory_bytes * UPLOAD_MEMORY_SHARE) as usize);
        let inner_limits =
            ListenerLimits { connections: intake.inner, memory: upload_memory.uploads() };
        let listener = Listener::bind_with_limits(
            settings.inner,
            identity.clone(),
            traffic.clone(),
            inner_limits,
        );
        let listener = listener.await?;
        let metrics = Metrics::new(telemetry);
        let (listen, admin) = (settings.listen, settings.admin);
        let limits = ServerLimits {
            name: "callers",
            connections: settings.limits.connections,
            header_bytes: settings.limits.header_bytes,
            receive_bytes: intake.receive_bytes,
            stall_ms: intake.stall_ms,
            ..ServerLimits::default()
        };
        let admin_limits =
            ServerLimits::operators(intake.operators, intake.receive_bytes, intake.stall_ms);
        let shared = Shared::new(
            settings,
            identity.clone(),
            listener.addr(),
            traffic,
            metrics,
            upload_memory,
        );
        let shared = Arc::new(shared);
        let entry_shared = shared.clone();
        let caller_service =
            service_fn(move |request| entry::handle(entry_shared.clone(), request));
        let caller_server =
            Server::bind_with_tls(listen, limits, tls.clone(), caller_service).await?;
        let admin_shared = shared.clone();
        let admin_service = service_fn(move |request| admin::handle(admin_shared.clone(), request));
        let admin_server = Server::bind(admin, admin_limits, admin_service).await?;
        let mut tasks = vec![
            tokio::spawn(accept(shared.clone(), listener)),
            tokio::spawn(control_feed::run(shared.clone())),
            tokio::spawn(probe::run(shared.clone())),
            tokio::spawn(tick_queues(shared.clone())),
            tokio::spawn(cleanup(shared.clone())),
        ];
        tasks.extend(identity.map(|it| tokio::spawn(it.reload_periodically())));
        tasks.extend(tls.map(|it| tokio::spawn(it.reload_periodically())));
        tracing::info!(
            "router: listening for callers on {} and for routers on {}",
            caller_server.addr(),
            shared.internal_addr
        );
        Ok(Router { shared, caller_server, admin_server, tasks })
    }

    /// The address at which callers connect.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_server.addr()
    }

    /// The address at which operators read metrics, health and readiness.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_server.addr()
    }

    /// The address at which other routers connect.
    pub fn internal_addr(&self) -> SocketAddr {
        self.shared.internal_addr
    }

    /// Hands over the endpoints that this router owns, completes the requests in progress, and stops.
    pub async fn shutdown(self) {
        tracing::info!("router: draining");
        self.shared.begin_shutdown();
        sleep(Duration::from_millis(READINESS_GRACE_MS)).await;
        let drain_timeout = Duration::from_millis(DRAIN_TIMEOUT_MS);
        if timeout(drain_timeout, self.caller_server.shutdown()).await.is_err() {
            tracing::warn!("router: callers' requests were in progress when the drain timed out");
        }
        if timeout(drain_timeout, wait_until_idle(&self.shared)).await.is_err() {
            tracing::warn!("router: attempts were in progress when the drain timed out");
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        tracing::info!("router: drained");
    }
}

/// Waits until no request is in progress, neither from callers of this router nor forwarded by other routers.
async fn wait_until_idle(shared: &Shared) {
    let mut ticks = interval(Duration::from_millis(QUEUE_TICK_MS));
    while shared.running_count() > 0 || shared.owned.lock().table.has_running() {
        ticks.tick().await;
    }
}

async fn accept(shared: Arc<Shared>, mut listener: Listener) {
    while let Some(incoming) = listener.accept().await {
        match incoming.path.as_str() {
            FORWARD_PATH => drop(tokio::spawn(forward::accept(shared.clone(), incoming))),
            HINT_PATH => drop(tokio::spawn(hint::accept(shared.clone(), incoming))),
            path => {
                tracing::warn!("router: {} opened a stream with unknown path {path}", incoming.peer)
            }
        }
    }
}

async fn tick_queues(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(QUEUE_TICK_MS));
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        shared.owned.lock().tick(now);
    }
}

async fn cleanup(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(CLEANUP_INTERVAL_MS));
    loop {
        ticks.tick().await;
        let idle_since = shared.clock.now().saturating_sub(TEAM_IDLE_US);
        shared.team_limiter.lock().evict_idle(idle_since);
        shared.drop_unused_connections();
    }
}
