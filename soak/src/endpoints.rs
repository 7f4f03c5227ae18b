//! The mock endpoints of a run and the directory that lists them.

use {
    crate::{
        config::{SLOTS, ephemeral_addr},
        disturbances::Cause,
        endpoint::{Endpoint, Identity},
        history::SharedHistory,
        plan::{Behavior, Component, FleetSize, LinkFault},
        proxy::Proxy,
    },
    derive_more::Debug,
    directory::ListedEndpoint,
    edge::{Body, Server, ServerLimits, full},
    eyre::{Result, WrapErr},
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    model::Domain,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        time::sleep,
    },
    tower::service_fn,
};

/// How long an endpoint keeps running after it was listed as draining; longer than any request.
const DRAIN_TIME: Duration = Duration::from_millis(5_000);

/// How long an endpoint that a request crashed is down.
const PART_CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);

/// Pause before the address of a replaced endpoint is reused, which stands for the lag of the directory.
const DIRECTORY_LAG: Duration = Duration::from_millis(300);

/// An endpoint, its proxy and its directory entry.
#[derive(Debug)]
struct EndpointEntry {
    /// How often the endpoint of this entry was replaced.
    generation: u32,
    /// Whether gateways connect to the endpoint itself, so that they notice that it is gone.
    is_direct: bool,
    /// `None` while the endpoint is down.
    endpoint: Option<Endpoint>,
    identity: Identity,
    addr: SocketAddr,
    proxy: Proxy,
    draining: bool,
    started_at_ms: u64,
}

#[derive(Debug)]
struct Inner {
    entries: Vec<EndpointEntry>,
    /// Endpoints of another service that reuse the addresses of replaced ones.
    reused_addrs: Vec<(Endpoint, Proxy)>,
    /// Number of ongoing directory outages.
    outages: u32,
}

/// All endpoints of a run.
#[derive(Debug)]
pub(crate) struct Endpoints {
    history: SharedHistory,
    inner: Arc<Mutex<Inner>>,
    crashes: UnboundedSender<usize>,
    directory: SocketAddr,
    #[debug(skip)]
    _server: Server,
}

impl Endpoints {
    /// Starts the endpoints and the directory. With `is_direct`, gateways connect to the endpoints of models themselves.
    pub(crate) async fn start(
        size: FleetSize,
        is_direct: bool,
        history: SharedHistory,
    ) -> Result<Endpoints> {
        let (crashes, crashed) = unbounded_channel();
        let mut entries = Vec::new();
        for number in 0..size.models + size.plains {
            let service = if number < size.models { "model" } else { "plain" };
            let started = start_entry(number, 0, service, history.clone(), crashes.clone());
            let mut entry = started.await?;
            entry.is_direct = is_direct && service == "model";
            entries.push(entry);
        }
        let inner = Arc::new(Mutex::new(Inner { entries, reused_addrs: Vec::new(), outages: 0 }));
        let listed = inner.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let response = directory_response(&listed.lock());
            async move { Ok(response) }
        });
        let server = Server::bind(ephemeral_addr(), ServerLimits::default(), service).await?;
        let endpoints =
            Endpoints { history, inner, crashes, directory: server.addr(), _server: server };
        tokio::spawn(restart_crashed(endpoints.handle(), crashed));
        Ok(endpoints)
    }

    /// Returns the address of the directory.
    pub(crate) fn directory_addr(&self) -> SocketAddr {
        self.directory
    }

    /// Injects a link fault between gateways and an endpoint for `duration`.
    pub(crate) async fn inject_link_fault(
        &self,
        number: usize,
        fault: LinkFault,
        duration: Duration,
    ) {
        self.inner.lock().entries[number].proxy.apply(fault);
        sleep(duration).await;
        self.inner.lock().entries[number].proxy.clear();
    }

    /// Makes an endpoint misbehave for `duration`.
    pub(crate) async fn set_behavior(&self, number: usize, behavior: Behavior, duration: Duration) {
        let set = |behavior| {
            let inner = self.inner.lock();
            inner.entries[number].endpoint.iter().for_each(|it| it.set_behavior(behavior));
        };
        set(behavior);
        sleep(duration).await;
        set(Behavior::Healthy);
    }

    /// Crashes an endpoint and restarts it with the same id after `duration`.
    pub(crate) async fn crash(&self, number: usize, duration: Duration) -> Result<()> {
        self.handle().crash(number, duration).await
    }

    fn handle(&self) -> Handle {
        let (history, inner) = (self.history.clone(), self.inner.clone());
        Handle { history, inner, crashes: self.crashes.clone() }
    }

    /// Drains an endpoint and replaces it by a new one. An endpoint of another service reuses its address.
    pub(crate) async fn replace(&self, number: usize) -> Result<()> {
        let taken = {
            let mut inner = self.inner.lock();
            let entry = &mut inner.entries[number];
            match &entry.endpoint {
                Some(endpoint) if !entry.draining => {
                    endpoint.mark_draining(Instant::now());
                    entry.draining = true;
                    Some((entry.generation, entry.identity.service))
                }
                _ => None,
            }
        };
        let Some((generation, service)) = taken else { return Ok(()) };
        let (history, crashes) = (self.history.clone(), self.crashes.clone());
        let next = start_entry(number, generation + 1, service, history, crashes).await?;
        sleep(DRAIN_TIME).await;
        let old = {
            let mut inner = self.inner.lock();
            if inner.entries[number].endpoint.is_none() {
                // It crashed in the meantime and will restart with its old id.
                inner.entries[number].draining = false;
                return Ok(());
            }
            std::mem::replace(&mut inner.entries[number], next)
        };
        let addr = old.addr;
        drop(old.endpoint);
        sleep(DIRECTORY_LAG).await;
        let identity = Identity { number, id: format!("other-{number}"), service: "other" };
        let (history, crashes) = (self.history.clone(), self.crashes.clone());
        let other = Endpoint::bind(addr, identity, history, crashes).await?;
        self.inner.lock().reused_addrs.push((other, old.proxy));
        Ok(())
    }

    /// Makes the directory return errors for `duration`.
    pub(crate) async fn fail_directory(&self, duration: Duration) {
        self.history.begin_disturbance(Component::Directory, Cause::Fault, Instant::now());
        self.inner.lock().outages += 1;
        sleep(duration).await;
        self.inner.lock().outages -= 1;
        self.history.end_disturbance(Component::Directory, Cause::Fault, Instant::now());
    }
}

/// What is needed to crash and restart endpoints.
struct Handle {
    history: SharedHistory,
    inner: Arc<Mutex<Inner>>,
    crashes: UnboundedSender<usize>,
}

impl Handle {
    /// Crashes an endpoint and restarts it with the same id after `duration`.
    async fn crash(&self, number: usize, duration: Duration) -> Result<()> {
        let crashed = {
            let mut inner = self.inner.lock();
            let entry = &mut inner.entries[number];
            entry.endpoint.take().map(|_| (entry.addr, entry.identity.clone()))
        };
        let Some((addr, identity)) = crashed else { return Ok(()) };
        sleep(duration).await;
        let (history, crashes) = (self.history.clone(), self.crashes.clone());
        let restarted = Endpoint::bind(addr, identity, history, crashes).await?;
        let mut inner = self.inner.lock();
        let entry = &mut inner.entries[number];
        if entry.draining {
            restarted.mark_draining(Instant::now());
        }
        entry.endpoint = Some(restarted);
        entry.started_at_ms = unix_time_ms();
        Ok(())
    }
}

/// Restarts the endpoints that a request crashed.
async fn restart_crashed(handle: Handle, mut crashed: UnboundedReceiver<usize>) {
    let handle = Arc::new(handle);
    while let Some(number) = crashed.recv().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            let (component, history) = (Component::Endpoint(number), handle.history.clone());
            history.begin_disturbance(component, Cause::Fault, Instant::now());
            if let Err(err) = handle.crash(number, PART_CRASH_DOWNTIME).await {
                history.record_violation("restart", &format!("{component}: {err:#}"));
            }
            history.end_disturbance(component, Cause::Fault, Instant::now());
        });
    }
}

async fn start_entry(
    number: usize,
    generation: u32,
    service: &'static str,
    history: SharedHistory,
    crashes: UnboundedSender<usize>,
) -> Result<EndpointEntry> {
    let identity = Identity { number, id: format!("{service}-{number}-{generation}"), service };
    let endpoint = Endpoint::bind(ephemeral_addr(), identity.clone(), history, crashes).await?;
    let addr = endpoint.addr();
    let proxy = Proxy::bind(addr).await.wrap_err("failed to start the proxy of an endpoint")?;
    let (endpoint, started_at_ms) = (Some(endpoint), unix_time_ms());
    Ok(EndpointEntry {
        generation,
        is_direct: false,
        endpoint,
        identity,
        addr,
        proxy,
        draining: false,
        started_at_ms,
    })
}

fn directory_response(inner: &Inner) -> Response<Body> {
    let listed = |entry: &EndpointEntry| ListedEndpoint {
        id: entry.identity.id.as_str().into(),
        service: entry.identity.service.into(),
        addr: if entry.is_direct { entry.addr } else { entry.proxy.addr() },
        domain: Domain(format!("d{}", entry.identity.number % 3).into()),
        slots: SLOTS,
        draining: entry.draining,
        started_at_ms: Some(entry.started_at_ms),
        build: None,
    };
    let listed: Vec<_> = inner.entries.iter().map(listed).collect();
    let body = serde_json::to_vec(&listed).ok().filter(|_| inner.outages == 0);
    match body {
        Some(body) => Response::new(full(body)),
        None => {
            let mut response = Response::new(full("directory unavailable\n"));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
