//! A running router.

use {
    crate::{
        admin, entry, feed, handoff,
        metrics::Metrics,
        note::{self, NOTE_PATH},
        probe,
        shared::Shared,
    },
    edge::{Server, ServerLimits, ServerTls},
    eyre::{Result, eyre},
    model::SECOND,
    settings::RouterSettings,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        task::JoinHandle,
        time::{interval, sleep, timeout},
    },
    tower::service_fn,
    wire::{Identity, Listener, Traffic, msg::FORWARD_PATH},
};

/// Milliseconds between looks at the queues.
const TICK_MS: u64 = 50;

/// Milliseconds between looks at what is no longer needed.
const CLEAN_MS: u64 = 10_000;

/// Idle time after which a team's buckets are forgotten, in microseconds.
const IDLE_US: u64 = 60 * SECOND;

/// Milliseconds for which a leaving router still takes requests, until the balancer has seen that it is not ready.
const GRACE_MS: u64 = 2_000;

/// Milliseconds that requests in progress have at a shutdown.
const DRAIN_LIMIT_MS: u64 = 900_000;

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    callers: Server,
    admin: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl Router {
    /// Binds all addresses and starts to follow control.
    ///
    /// # Errors
    ///
    /// A key file cannot be read or an address cannot be bound.
    pub async fn spawn(settings: RouterSettings, telemetry: telemetry::Metrics) -> Result<Router> {
        let identity = settings.tls_inner.as_ref().map(Identity::open).transpose();
        let identity = identity.map_err(|it| eyre!("router: read keys: {it}"))?;
        let tls = settings.tls_callers.as_ref().map(|it| ServerTls::open(&it.cert, &it.key));
        let tls = tls.transpose().map_err(|it| eyre!("router: read keys towards callers: {it}"))?;
        let traffic = Traffic::default();
        let listener = Listener::bind(settings.inner, identity.clone(), traffic.clone()).await?;
        let metrics = Metrics::new(telemetry);
        let (listen, admin) = (settings.listen, settings.admin);
        let limits = ServerLimits {
            connections: settings.limits.connections,
            header_bytes: settings.limits.header_bytes,
            ..ServerLimits::default()
        };
        let shared =
            Arc::new(Shared::open(settings, identity.clone(), listener.addr(), traffic, metrics));
        let entry = shared.clone();
        let callers = service_fn(move |request| entry::answer(entry.clone(), request));
        let callers = Server::bind_with_tls(listen, limits, tls.clone(), callers).await?;
        let pages = shared.clone();
        let pages = service_fn(move |request| admin::answer(pages.clone(), request));
        let admin = Server::bind(admin, ServerLimits::default(), pages).await?;
        let mut tasks = vec![
            tokio::spawn(accept(shared.clone(), listener)),
            tokio::spawn(feed::run(shared.clone())),
            tokio::spawn(probe::run(shared.clone())),
            tokio::spawn(tick(shared.clone())),
            tokio::spawn(clean(shared.clone())),
        ];
        tasks.extend(identity.map(|it| tokio::spawn(it.reload_periodically())));
        tasks.extend(tls.map(|it| tokio::spawn(it.reload_periodically())));
        tracing::info!("router: serves callers on {}, routers on {}", callers.addr(), shared.inner);
        Ok(Router { shared, callers, admin, tasks })
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Where operators read metrics, health and readiness.
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Where other routers connect.
    pub fn inner(&self) -> SocketAddr {
        self.shared.inner
    }

    /// Hands over what this router owns, finishes every request in progress, and ends.
    pub async fn shutdown(self) {
        tracing::info!("router: draining");
        self.shared.leave();
        sleep(Duration::from_millis(GRACE_MS)).await;
        let limit = Duration::from_millis(DRAIN_LIMIT_MS);
        if timeout(limit, self.callers.shutdown()).await.is_err() {
            tracing::warn!("router: requests of callers were still in progress at the limit");
        }
        if timeout(limit, idle(&self.shared)).await.is_err() {
            tracing::warn!("router: attempts were still in progress at the limit");
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        tracing::info!("router: drained");
    }
}

/// Returns when nothing runs here, neither for callers of this router nor for those of others.
async fn idle(shared: &Shared) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    while shared.running() > 0 || shared.owned.lock().table.has_running() {
        ticks.tick().await;
    }
}

async fn accept(shared: Arc<Shared>, mut listener: Listener) {
    while let Some(incoming) = listener.accept().await {
        match incoming.path.as_str() {
            FORWARD_PATH => drop(tokio::spawn(handoff::accept(shared.clone(), incoming))),
            NOTE_PATH => drop(tokio::spawn(note::accept(shared.clone(), incoming))),
            path => tracing::warn!("router: {} asks for unknown {path}", incoming.peer),
        }
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        shared.owned.lock().tick(now);
    }
}

async fn clean(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(CLEAN_MS));
    loop {
        ticks.tick().await;
        let idle = shared.clock.now().saturating_sub(IDLE_US);
        shared.limits.lock().evict_idle(idle);
        shared.forget_peers();
    }
}
