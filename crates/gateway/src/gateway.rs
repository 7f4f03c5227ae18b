//! A running gateway.

use {
    crate::{
        gossip,
        header_names::HeaderNames,
        listing,
        metrics::Metrics,
        sampler::Sampler,
        server,
        shared::{Fleet, LEAVE_MS, Refused, Shared},
        watch as control,
    },
    arc_swap::ArcSwapOption,
    directory::Directory,
    dispatch::{CrashTracker, Dispatcher},
    edge::{Body, Server, ServerLimits, full},
    eyre::{Result, WrapErr, eyre},
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    model::{MILLISECOND, Time},
    parking_lot::Mutex,
    settings::GatewaySettings,
    std::{
        collections::HashMap,
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
        time::sleep,
    },
    tower::service_fn,
    wire::{Class, Clock, Dialer, Identity, Traffic},
};

/// How often a stopping gateway looks whether it is idle.
const IDLE_POLL: Duration = Duration::from_millis(50);

/// How often waiting requests are looked at, as room may come by what other routers end.
const WAIT_POLL_MS: u64 = 50;

/// A running gateway; dropping it ends its tasks.
pub struct Gateway {
    shared: Arc<Shared>,
    addr: SocketAddr,
    seeds: watch::Sender<Vec<SocketAddr>>,
    _admin: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Binds the addresses of the settings and starts to serve; requests are refused until control and the directory
    /// have been heard of.
    ///
    /// # Errors
    ///
    /// A key cannot be read or an address cannot be bound.
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
        let identity = identity.map_err(|it| eyre!("gateway: read keys: {it}"))?;
        let dialer = Dialer { identity, traffic: Traffic::default(), class: Class::Control };
        let socket = Arc::new(gossip::bind(settings.inner).await?);
        let mut settings = settings;
        settings.inner = socket.local_addr().wrap_err("gateway: read the bound address")?;
        let (seeds, watched) = watch::channel(settings.control.clone());
        let (listen, admin) = (settings.listen, settings.admin);
        let clock = Clock::start();
        let shared = Arc::new(Shared {
            dispatcher: Mutex::new(Dispatcher::new(settings.domain.clone())),
            settings,
            names,
            clock,
            started: clock.now(),
            process: rand::random(),
            table: ArcSwapOption::empty(),
            waiters: Mutex::new(HashMap::new()),
            budgets: Mutex::new(HashMap::new()),
            crashes: Mutex::new(CrashTracker::default()),
            fleet: Mutex::new(Fleet::default()),
            strikes: Mutex::new(Vec::new()),
            stopped_at: AtomicU64::new(0),
            stop: Notify::new(),
            asked: Mutex::new(None),
            told_at: AtomicU64::new(clock.now().0),
            listed: AtomicBool::new(false),
            settled: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            waiting: Notify::new(),
            metrics: Metrics::default(),
            sampler: Sampler::default(),
        });
        let (addr, server) = server::bind(shared.clone(), listen).await?;
        let admin = serve_admin(shared.clone(), admin, metrics).await?;
        let tasks = vec![
            server,
            tokio::spawn(control::run(shared.clone(), dialer, watched)),
            tokio::spawn(listing::run(shared.clone(), directory)),
            tokio::spawn(gossip::send(shared.clone(), socket.clone())),
            tokio::spawn(gossip::receive(shared.clone(), socket)),
            tokio::spawn(expire(shared.clone())),
        ];
        tracing::info!(
            event = "started",
            host = %shared.settings.host.0,
            domain = %shared.settings.domain.0,
            %addr,
            "gateway: serves callers"
        );
        Ok(Gateway { shared, addr, seeds, _admin: admin, tasks })
    }

    /// Where callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the gateway takes new callers.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.shared)
    }

    /// Replaces the addresses by which control replicas are found.
    pub fn set_control_addrs(&self, seeds: Vec<SocketAddr>) {
        self.seeds.send_if_modified(|it| {
            let changed = *it != seeds;
            if changed {
                tracing::info!(event = "reloaded", control = ?seeds, "gateway: settings changed");
                *it = seeds;
            }
            changed
        });
    }

    /// Ends the gateway: it is no longer ready, finishes what runs, and gives up at the end of its grace.
    pub async fn shutdown(self) {
        let shared = &self.shared;
        let began = shared.now();
        tracing::info!(event = "stopping", "gateway: takes no new callers");
        shared.stopped_at.store(began.0, Ordering::Relaxed);
        shared.stop.notify_waiters();
        let leave_at = began + LEAVE_MS * MILLISECOND;
        let give_up_at = shared.give_up_at(began);
        loop {
            let now = shared.now();
            let open = shared.connections.load(Ordering::Relaxed);
            if now >= give_up_at || (now >= leave_at && open == 0) {
                tracing::info!(event = "stopped", open, "gateway: ended");
                break;
            }
            sleep(IDLE_POLL).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn is_ready(shared: &Shared) -> bool {
    shared.stopped_at().is_none()
        && shared.settled.load(Ordering::Relaxed)
        && shared.listed.load(Ordering::Relaxed)
}

async fn serve_admin(
    shared: Arc<Shared>,
    addr: SocketAddr,
    metrics: telemetry::Metrics,
) -> Result<Server> {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = match request.uri().path() {
            "/metrics" => Response::new(full(metrics.render())),
            _ => readiness(&shared),
        };
        async move { Ok::<_, Infallible>(response) }
    });
    Ok(Server::bind(addr, ServerLimits::default(), service).await?)
}

fn readiness(shared: &Shared) -> Response<Body> {
    if is_ready(shared) {
        return Response::new(full("ready\n"));
    }
    let mut response = Response::new(full("not ready\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Refuses requests that waited as long as they could.
async fn expire(shared: Arc<Shared>) {
    loop {
        let deadline = shared.dispatcher.lock().next_deadline();
        if deadline == Time::NEVER {
            shared.waiting.notified().await;
            continue;
        }
        let poll = shared.now() + WAIT_POLL_MS * MILLISECOND;
        tokio::time::sleep_until(shared.clock.deadline(deadline.min(poll))).await;
        let now = shared.now();
        let mut dispatcher = shared.dispatcher.lock();
        let next = dispatcher.start_all_queued(now);
        shared.hand_out(&mut dispatcher, next);
        for (ticket, retry_ms) in dispatcher.expire(now) {
            if let Some(waiter) = shared.waiters.lock().remove(&ticket) {
                // The caller may have left at this moment.
                let _ = waiter.send(Err(Refused { retry_ms }));
            }
        }
    }
}
