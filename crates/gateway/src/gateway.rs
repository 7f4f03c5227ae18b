//! The lifecycle of a gateway: startup, readiness and graceful shutdown.

use {
    crate::{
        cold, control, discovery, gossip,
        header_names::HeaderNames,
        layout, limits,
        metrics::Metrics,
        origins, outages, paths, quarantine, relay,
        sampler::Sampler,
        server,
        shared::{DEREGISTER_MS, Membership, Rejected, Shared, ShutdownPhase},
    },
    ::origin::Origins,
    ::quarantine::Quarantine,
    arc_swap::{ArcSwap, ArcSwapOption},
    directory::Directory,
    dispatch::Dispatcher,
    edge::{Body, ConnectionSlots, ResponseMemory, Server, ServerLimits, UploadMemory, full},
    eyre::{Result, WrapErr, eyre},
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    model::{Domain, MILLISECOND, Name, Time},
    parking_lot::Mutex,
    settings::GatewaySettings,
    std::{
        collections::{BTreeMap, HashMap},
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        task::JoinHandle,
        time::{sleep, sleep_until, timeout_at},
    },
    tower::service_fn,
    wire::{Clock, Dialer, Identity, Listener, ListenerLimits, Traffic, TrafficClass},
};

/// The share of the process's memory that responses being received may take. Their buffers are up to
/// three times as large while they grow.
const RESPONSE_MEMORY_SHARE: f64 = 1.0 / 8.0;

/// The share of the process's memory that clients' connections and the bodies of requests may take.
const UPLOAD_MEMORY_SHARE: f64 = 2.0 / 3.0;

/// The share of that memory that connections take at most, in percent.
const CONNECTION_MEMORY_PERCENT: usize = 50;

/// What a client's connection takes beside its receive buffer, in bytes: the buffer for the head of a request, and its
/// state.
const CONNECTION_BYTES: usize = 40 << 10;

const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// How often a gateway that is shutting down checks whether all connections are closed.
const SHUTDOWN_POLL: Duration = Duration::from_millis(20);

/// How long the last answers may take to be written at the end of the grace period, in
/// milliseconds.
const FINAL_WRITE_MS: u64 = 200;

/// How often waiting requests are retried, as requests that end on other gateways free capacity.
const QUEUE_POLL_MS: u64 = 50;

/// A running gateway. Dropping it without calling [`Gateway::shutdown`] does not stop its
/// background tasks.
pub struct Gateway {
    shared: Arc<Shared>,
    addr: SocketAddr,
    seeds: watch::Sender<Vec<SocketAddr>>,
    _admin: Server,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Binds the configured addresses and starts to serve. Requests are rejected until a
    /// configuration and an endpoint list have been received.
    ///
    /// # Errors
    ///
    /// Returns an error if a key cannot be read or an address cannot be bound.
    pub async fn spawn<D>(
        settings: GatewaySettings,
        names: HeaderNames,
        directory: D,
        metrics: telemetry::Metrics,
    ) -> Result<Gateway>
    where
        D: Directory,
    {
        let identity = settings.tls_inner.as_ref().map(Identity::open).transpose();
        let identity = identity.map_err(|it| eyre!("gateway: failed to read TLS keys: {it}"))?;
        let traffic = Traffic::default();
        let memory_bytes = settings.memory_mb * BYTES_PER_MB;
        let upload_bytes = (memory_bytes * UPLOAD_MEMORY_SHARE) as usize;
        let upload_memory = UploadMemory::new(upload_bytes);
        let limits =
            ListenerLimits { connections: settings.intake.inner, memory: upload_memory.uploads() };
        let listener =
            Listener::bind_with_limits(settings.inner, identity.clone(), traffic.clone(), limits);
        let listener = listener.await;
        let listener = listener.wrap_err("gateway: failed to bind for other gateways")?;
        let dialer = Dialer { identity, traffic, class: TrafficClass::Control };
        let mut settings = settings;
        settings.inner = listener.addr();
        let socket = Arc::new(gossip::bind(settings.inner).await?);
        let (seeds, seed_updates) = watch::channel(settings.control.clone());
        let (listen, admin) = (settings.listen, settings.admin);
        let clock = Clock::start();
        let response_bytes = memory_bytes * RESPONSE_MEMORY_SHARE;
        let connection_slots = connection_slots(&settings, &upload_memory, upload_bytes);
        let dispatcher = Dispatcher::new(settings.domain.clone(), rand::random());
        let mut origins = Origins::new(settings.inner);
        // Replicas outlive gateways, so they are asked before a list of members has arrived.
        origins.set_replicas(settings.inner, settings.control.iter().copied());
        let shared = Arc::new(Shared {
            dispatcher: Mutex::new(dispatcher),
            names,
            clock,
            dialer,
            started: clock.now(),
            instance_id: rand::random(),
            table: ArcSwapOption::empty(),
            moved_routes: Mutex::default(),
            layout_history: Mutex::default(),
            regions: ArcSwap::default(),
            field_requests: Mutex::default(),
            waiters: Mutex::new(HashMap::new()),
            budgets: Mutex::new(HashMap::new()),
            quarantine: Mutex::new(Quarantine::new(settings.inner)),
            limit_news: Notify::new(),
            cold_news: Notify::new(),
            paths: Mutex::default(),
            path_lost: watch::Sender::default(),
            peers: Mutex::default(),
            outage_news: Notify::new(),
            crash_news: Notify::new(),
            convicted: watch::Sender::default(),
            membership: Mutex::new(Membership::default()),
            origins: Mutex::new(origins),
            lookups: Mutex::new(HashMap::new()),
            gossip: socket.clone(),
            settings,
            is_relay: AtomicBool::new(false),
            shutdown_at: AtomicU64::new(0),
            shutdown_phase: watch::Sender::default(),
            layout_installed_at: Mutex::new(None),
            announcement: Mutex::new(None),
            layout_requests: Mutex::default(),
            layout_changed: watch::Sender::default(),
            progress: watch::Sender::default(),
            held: AtomicUsize::new(0),
            control_in_doubt: AtomicBool::new(false),
            catalog_updated_at: AtomicU64::new(clock.now().0),
            endpoints_loaded: AtomicBool::new(false),
            evacuations: Mutex::default(),
            cold: Mutex::default(),
            layout_settled: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            connection_slots,
            response_memory: Arc::new(ResponseMemory::new(response_bytes as usize)),
            upload_memory,
            busy_connections: AtomicUsize::new(0),
            waiter_added: Notify::new(),
            metrics: Metrics::default(),
            sampler: Sampler::default(),
        });
        shared.set_regions(shared.settings.regions.clone());
        let (addr, server) = server::bind(shared.clone(), listen).await?;
        let admin = serve_admin(shared.clone(), admin, metrics).await?;
        let tasks = vec![
            tokio::spawn(control::run(shared.clone(), seed_updates)),
            tokio::spawn(relay::serve(shared.clone(), listener)),
            tokio::spawn(relay::seek(shared.clone())),
            tokio::spawn(discovery::run(shared.clone(), directory)),
            tokio::spawn(gossip::send_reports(shared.clone(), socket.clone())),
            tokio::spawn(gossip::send_sums(shared.clone(), socket.clone())),
            tokio::spawn(gossip::receive(shared.clone(), socket)),
            tokio::spawn(quarantine::send_news(shared.clone())),
            tokio::spawn(quarantine::compare(shared.clone())),
            tokio::spawn(limits::send_reports(shared.clone())),
            tokio::spawn(outages::send_news(shared.clone())),
            tokio::spawn(origins::tell_due(shared.clone())),
            tokio::spawn(cold::send_reports(shared.clone())),
            tokio::spawn(paths::probe(shared.clone())),
            tokio::spawn(process_queue(shared.clone())),
        ];
        tracing::info!(
            event = "started",
            host = %shared.settings.host.0,
            domain = %shared.settings.domain.0,
            %addr,
            "gateway: serving clients"
        );
        Ok(Gateway { shared, addr, seeds, _admin: admin, server, tasks })
    }

    /// Returns the address on which clients are served.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the gateway accepts new clients.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.shared)
    }

    /// Returns the version of the configuration in force.
    pub fn layout_version(&self) -> Option<u64> {
        layout::installed_version(&self.shared)
    }

    /// Replaces the addresses used to find control replicas.
    pub fn set_control_addrs(&self, seeds: Vec<SocketAddr>) {
        self.seeds.send_if_modified(|it| {
            let changed = *it != seeds;
            if changed {
                tracing::info!(
                    event = "reloaded",
                    control = ?seeds,
                    "gateway: control addresses changed"
                );
                *it = seeds;
            }
            changed
        });
    }

    /// Replaces the regions of the failure domains.
    pub fn set_regions(&self, regions: BTreeMap<Domain, Name>) {
        if **self.shared.regions.load() != regions {
            tracing::info!(
                event = "reloaded",
                ?regions,
                "gateway: regions of failure domains changed"
            );
            self.shared.set_regions(regions);
        }
    }

    /// Shuts the gateway down gracefully.
    ///
    /// It stops being ready at once and serves its connections until its load balancer has noticed,
    /// then closes idle ones, finishes running requests and accepts what is left in the backlog of
    /// its listener. At the end of the grace period it answers unfinished requests with a failure.
    pub async fn shutdown(self) {
        let Gateway { shared, mut server, tasks, .. } = self;
        let shutdown_at = shared.now();
        shared.shutdown_at.store(shutdown_at.0, Ordering::Relaxed);
        shared.shutdown_phase.send_replace(ShutdownPhase::Draining);
        log_shutdown(&shared, "stopping", "gateway: shutting down");
        origins::leave(&shared).await;
        let expires_at = shared.shutdown_deadline(shutdown_at);
        let deregistered_at = (shutdown_at + DEREGISTER_MS * MILLISECOND).min(expires_at);
        sleep_until(shared.clock.deadline(deregistered_at)).await;
        shared.shutdown_phase.send_replace(ShutdownPhase::Closing);
        log_shutdown(&shared, "closing", "gateway: closing idle connections");
        wait_until_closed(&shared, expires_at).await;
        shared.shutdown_phase.send_replace(ShutdownPhase::Unbound);
        let unbound = timeout_at(shared.clock.deadline(expires_at), &mut server).await;
        wait_until_closed(&shared, expires_at).await;
        if shared.connections.load(Ordering::Relaxed) > 0 || unbound.is_err() {
            shared.shutdown_phase.send_replace(ShutdownPhase::Expired);
            log_shutdown(&shared, "grace-over", "gateway: ending unfinished requests");
            wait_until_closed(&shared, expires_at + FINAL_WRITE_MS * MILLISECOND).await;
        }
        log_shutdown(&shared, "stopped", "gateway: shutdown complete");
        server.abort();
        tasks.iter().for_each(JoinHandle::abort);
    }
}

fn connection_slots(
    settings: &GatewaySettings,
    memory: &Arc<UploadMemory>,
    memory_bytes: usize,
) -> Arc<ConnectionSlots> {
    let connections = settings.connections;
    let max_bytes = memory_bytes * CONNECTION_MEMORY_PERCENT / 100 / connections;
    let bytes = max_bytes.min(CONNECTION_BYTES + settings.intake.receive_bytes);
    ConnectionSlots::charged("clients", connections, memory, bytes)
}

/// Waits until no client connection is open, or until `deadline`.
async fn wait_until_closed(shared: &Shared, deadline: Time) {
    while shared.connections.load(Ordering::Relaxed) > 0 && shared.now() < deadline {
        sleep(SHUTDOWN_POLL).await;
    }
}

fn log_shutdown(shared: &Shared, event: &str, message: &str) {
    let open = shared.connections.load(Ordering::Relaxed);
    let busy = shared.busy_connections.load(Ordering::Relaxed);
    tracing::info!(event, open, busy, "{message}");
}

/// A gateway is ready a second after its first configuration at the earliest. It has a set of evacuated domains by then,
/// unless no control replica and no other gateway sends one.
fn is_ready(shared: &Shared) -> bool {
    shared.shutdown_at().is_none()
        && shared.layout_settled.load(Ordering::Relaxed)
        && shared.endpoints_loaded.load(Ordering::Relaxed)
}

async fn serve_admin(
    shared: Arc<Shared>,
    addr: SocketAddr,
    metrics: telemetry::Metrics,
) -> Result<Server> {
    let intake = &shared.settings.intake;
    let limits = ServerLimits::operators(intake.operators, intake.receive_bytes, intake.stall_ms);
    let service = service_fn(move |request: Request<Incoming>| {
        let response = match request.uri().path() {
            "/metrics" => Response::new(full(metrics.render())),
            _ => readiness_response(&shared),
        };
        async move { Ok::<_, Infallible>(response) }
    });
    Ok(Server::bind(addr, limits, service).await?)
}

fn readiness_response(shared: &Shared) -> Response<Body> {
    if is_ready(shared) {
        return Response::new(full("ready\n"));
    }
    let mut response = Response::new(full("not ready\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Starts waiting requests as capacity becomes available, and rejects those that have waited too
/// long.
async fn process_queue(shared: Arc<Shared>) {
    loop {
        let deadline = shared.dispatcher.lock().next_deadline();
        if deadline == Time::NEVER {
            shared.waiter_added.notified().await;
            continue;
        }
        let poll = shared.now() + QUEUE_POLL_MS * MILLISECOND;
        tokio::time::sleep_until(shared.clock.deadline(deadline.min(poll))).await;
        let now = shared.now();
        let mut dispatcher = shared.dispatcher.lock();
        let next = dispatcher.start_all_queued(now);
        shared.notify_waiters(&mut dispatcher, next);
        for (ticket, retry_ms) in dispatcher.expire(now) {
            if let Some(waiter) = shared.waiters.lock().remove(&ticket) {
                // The client may have disconnected just now.
                let _ = waiter.send(Err(Rejected { retry_ms }));
            }
        }
    }
}
