//! A gateway with its own control replica and scripted endpoints.

#![allow(dead_code, unused_imports, reason = "each test target uses a part of these")]
#![allow(clippy::disallowed_methods, reason = "tests read the clock")]

mod client;
mod crashing;
mod endpoint;
mod link;
mod replica;

pub(crate) use {
    client::{Client, Connection, Response, read_response},
    crashing::{CrashingEndpoints, EVENTS, Framing, Trigger},
    endpoint::{Behavior, Endpoint, ReceivedRequest, SIGNED, chunk, event, read_request},
    link::{Cut, Link, SWITCH_TIME},
    replica::{HEARTBEAT_INTERVAL, Liveness, OnRequest, Replica},
};

use {
    control::{Control, EvacuationStore, RoutingConfigStore},
    directory::{Directory, DirectoryError, ListedEndpoint, Listing},
    gateway::{Gateway, HeaderNames},
    model::{Digest, Domain, HostName, Name},
    route::{
        CallerLimits, Engine, Route, RouteKind, RoutingConfig, Service, Team, WeightedService,
    },
    settings::{
        ColdSettings, ControlSettings, GatewaySettings, ListingSettings, LogLevel, LogSettings,
        Overload, RetrySettings, WeightStoreLimits,
    },
    smallvec::smallvec,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, LazyLock, Mutex, OnceLock,
            atomic::{AtomicU16, Ordering},
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        runtime::{Builder, Runtime},
        time::{Instant, sleep},
    },
};

/// How long a test may wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// How long the news of a new gateway may take to reach the others.
pub(crate) const MEMBERSHIP_DELAY: Duration = Duration::from_millis(1_500);

const RETRIES: RetrySettings = RetrySettings { ratio: 0.2, slack: 50.0 };

static METRICS: OnceLock<telemetry::Metrics> = OnceLock::new();

pub(crate) const TEAM_KEY: &str = "key-of-one";

/// A directory whose endpoints are set by tests.
#[derive(Clone, Default)]
pub(crate) struct StaticList(Arc<Mutex<Vec<ListedEndpoint>>>);

impl StaticList {
    pub(crate) fn replace(&self, endpoints: &[ListedEndpoint]) {
        *self.0.lock().expect("list is poisoned") = endpoints.to_vec();
    }
}

impl Directory for StaticList {
    async fn list(&self) -> Result<Listing, DirectoryError> {
        let endpoints = self.0.lock().map_err(|it| DirectoryError { reason: it.to_string() })?;
        Ok(Listing { endpoints: endpoints.clone(), cold: Vec::new(), calls: 1 })
    }
}

/// A gateway on a runtime of its own, so that it can end without a shutdown.
pub(crate) struct KillableGateway {
    pub(crate) gateway: Gateway,
    runtime: Option<Runtime>,
}

impl KillableGateway {
    /// Ends the gateway at once, like a process that is killed.
    pub(crate) fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        // A runtime must not be dropped where it could block a task.
        self.runtime.take().into_iter().for_each(Runtime::shutdown_background);
    }
}

impl Drop for KillableGateway {
    fn drop(&mut self) {
        self.end();
    }
}

pub(crate) struct Fixture {
    pub(crate) gateway: Gateway,
    pub(crate) configs: RoutingConfigStore,
    pub(crate) addr: SocketAddr,
    pub(crate) admin: SocketAddr,
    list: StaticList,
    control: Control,
    others: Vec<Gateway>,
    _data: TempDir,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The first port for listeners that a test binds again.
const FIRST_PORT: u16 = 20_000;

/// The ports that one test process uses, and the number of such ranges below the ephemeral ports.
const PORTS_PER_PROCESS: u16 = 600;
const PORT_RANGES: u32 = 20;

/// Returns a port below the ephemeral range, so that no other socket takes it before it is bound.
pub(crate) fn free_port() -> SocketAddr {
    static NEXT: LazyLock<AtomicU16> = LazyLock::new(|| {
        // Test processes that run at the same time must not take each other's ports.
        let process = (std::process::id() % PORT_RANGES) as u16;
        AtomicU16::new(FIRST_PORT + process * PORTS_PER_PROCESS)
    });
    loop {
        let addr = SocketAddr::from(([127, 0, 0, 1], NEXT.fetch_add(1, Ordering::Relaxed)));
        if std::net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Fixture {
    /// Starts a gateway with `layout` and these endpoints, and waits until it is ready.
    pub(crate) async fn start(layout: &RoutingConfig, endpoints: &[ListedEndpoint]) -> Fixture {
        let fixture = Fixture::start_unconfigured(endpoints).await;
        fixture.publish(layout).await;
        wait_until(|| fixture.gateway.is_ready()).await;
        fixture
    }

    /// Starts a gateway without a configuration.
    pub(crate) async fn start_unconfigured(endpoints: &[ListedEndpoint]) -> Fixture {
        Fixture::start_with(endpoints, 1_000.0, RETRIES).await
    }

    /// Starts a gateway with `layout` and these endpoints, whose settings name these regions, and waits
    /// until it is ready.
    pub(crate) async fn start_in_regions(
        layout: &RoutingConfig,
        endpoints: &[ListedEndpoint],
    ) -> Fixture {
        let fixture = Fixture::start(layout, endpoints).await;
        fixture.gateway.set_regions(regions());
        fixture
    }

    /// Starts a gateway without a configuration, whose control replica has a link of `link_mbps`
    /// Mbit/s.
    pub(crate) async fn start_on_link(link_mbps: f64) -> Fixture {
        Fixture::start_with(&[], link_mbps, RETRIES).await
    }

    /// Starts a gateway with `layout`, these endpoints and this retry budget, and waits until it
    /// is ready.
    pub(crate) async fn start_with_retries(
        layout: &RoutingConfig,
        endpoints: &[ListedEndpoint],
        retries: RetrySettings,
    ) -> Fixture {
        let fixture = Fixture::start_with(endpoints, 1_000.0, retries).await;
        fixture.publish(layout).await;
        wait_until(|| fixture.gateway.is_ready()).await;
        fixture
    }

    /// Starts a gateway without a configuration and with these endpoints, whose control replica has
    /// a link of `link_mbps` Mbit/s.
    pub(crate) async fn start_listing_on_link(
        endpoints: &[ListedEndpoint],
        link_mbps: f64,
    ) -> Fixture {
        Fixture::start_with(endpoints, link_mbps, RETRIES).await
    }

    async fn start_with(
        endpoints: &[ListedEndpoint],
        link_mbps: f64,
        retries: RetrySettings,
    ) -> Fixture {
        let data = tempfile::tempdir().expect("failed to create a directory");
        let settings = ControlSettings { link_mbps, ..control_settings(&data) };
        let mut control = Control::spawn(settings).await.expect("failed to start control");
        control.wait_until_leader().await;
        let list = StaticList(Arc::new(Mutex::new(endpoints.to_vec())));
        control.poll_directory(list.clone());
        let settings = GatewaySettings { retries, ..gateway_settings(control.internal_addr()) };
        let admin = settings.admin;
        let gateway = start_gateway(settings, list.clone()).await;
        let (addr, configs) = (gateway.addr(), control.routing_configs());
        let others = Vec::new();
        Fixture { gateway, configs, addr, admin, list, control, others, _data: data }
    }

    /// Starts a gateway with `layout` for each list of endpoints. Control has no list, so that each
    /// gateway reads its own one. Waits until all know each other.
    pub(crate) async fn start_with_lists(
        layout: &RoutingConfig,
        lists: &[(&str, Vec<ListedEndpoint>)],
    ) -> Fixture {
        let data = tempfile::tempdir().expect("failed to create a directory");
        let control = Control::spawn(control_settings(&data)).await;
        let control = control.expect("failed to start control");
        control.wait_until_leader().await;
        let mut gateways = Vec::new();
        let mut admin = None;
        for (domain, endpoints) in lists {
            let domain = Domain((*domain).into());
            let settings = GatewaySettings {
                domain,
                regions: regions(),
                ..gateway_settings(control.internal_addr())
            };
            admin.get_or_insert(settings.admin);
            let list = StaticList(Arc::new(Mutex::new(endpoints.clone())));
            gateways.push(start_gateway(settings, list).await);
        }
        let others = gateways.split_off(1);
        let gateway = gateways.pop().expect("no list of endpoints");
        let (addr, configs) = (gateway.addr(), control.routing_configs());
        let (admin, list) = (admin.expect("no list of endpoints"), StaticList::default());
        let fixture = Fixture { gateway, configs, addr, admin, list, control, others, _data: data };
        fixture.publish(layout).await;
        wait_until(|| fixture.gateways().iter().all(|it| it.is_ready())).await;
        sleep(MEMBERSHIP_DELAY).await;
        fixture
    }

    /// Starts another gateway with the same control replica.
    pub(crate) async fn add_gateway(&mut self) {
        self.add_gateway_in("d0").await;
    }

    /// Starts another gateway in this domain with the same control replica.
    pub(crate) async fn add_gateway_in(&mut self, domain: &str) {
        let settings = GatewaySettings {
            domain: Domain(domain.into()),
            ..gateway_settings(self.control.internal_addr())
        };
        self.others.push(start_gateway(settings, self.list.clone()).await);
    }

    /// Takes a gateway that is not the first one out of the fixture.
    pub(crate) fn take_gateway(&mut self, at: usize) -> Gateway {
        self.others.remove(at - 1)
    }

    /// Starts another gateway in this domain with the same control replica, which can be killed.
    pub(crate) async fn start_killable(&self, domain: &str) -> KillableGateway {
        self.start_killable_with(domain, self.list.clone()).await
    }

    /// Like [`Fixture::start_killable`], with a list of endpoints of its own.
    pub(crate) async fn start_killable_with(
        &self,
        domain: &str,
        list: StaticList,
    ) -> KillableGateway {
        let settings = GatewaySettings {
            domain: Domain(domain.into()),
            ..gateway_settings(self.control.internal_addr())
        };
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("failed to start a runtime");
        let gateway = runtime.spawn(start_gateway(settings, list));
        let gateway = gateway.await.expect("the gateway panicked");
        KillableGateway { gateway, runtime: Some(runtime) }
    }

    /// Returns the settings of another gateway, which runs as a process of its own.
    pub(crate) fn process_settings(&self) -> GatewaySettings {
        GatewaySettings {
            listen: free_port(),
            inner: free_port(),
            // Control tells it the endpoints.
            directory: Some(free_port()),
            ..gateway_settings(self.control_addr())
        }
    }

    pub(crate) fn control_addr(&self) -> SocketAddr {
        self.control.internal_addr()
    }

    pub(crate) fn evacuations(&self) -> EvacuationStore {
        self.control.evacuations()
    }

    pub(crate) fn gateways(&self) -> Vec<&Gateway> {
        std::iter::once(&self.gateway).chain(&self.others).collect()
    }

    pub(crate) async fn publish(&self, layout: &RoutingConfig) {
        let document = serde_json::to_vec(layout).expect("failed to serialize the configuration");
        self.configs.publish(document.into()).await.expect("failed to publish the configuration");
    }

    pub(crate) fn set_endpoints(&self, endpoints: &[ListedEndpoint]) {
        self.list.replace(endpoints);
    }

    pub(crate) fn list(&self) -> StaticList {
        self.list.clone()
    }

    pub(crate) fn client(&self) -> Client {
        Client::new(self.addr)
    }
}

/// A control replica whose gateways can all be killed.
pub(crate) struct Site {
    pub(crate) list: StaticList,
    pub(crate) control: Control,
    _data: TempDir,
}

impl Site {
    /// Starts the replica with a configuration and these endpoints.
    pub(crate) async fn start(layout: &RoutingConfig, endpoints: &[ListedEndpoint]) -> Site {
        let data = tempfile::tempdir().expect("failed to create a directory");
        let control = Control::spawn(control_settings(&data)).await;
        let mut control = control.expect("failed to start control");
        control.wait_until_leader().await;
        let list = StaticList(Arc::new(Mutex::new(endpoints.to_vec())));
        control.poll_directory(list.clone());
        let document = serde_json::to_vec(layout).expect("failed to serialize the configuration");
        let published = control.routing_configs().publish(document.into()).await;
        published.expect("failed to publish the configuration");
        Site { list, control, _data: data }
    }

    /// Returns the settings of a gateway that has the same addresses after a restart.
    pub(crate) fn gateway_settings(&self, domain: &str) -> GatewaySettings {
        GatewaySettings {
            domain: Domain(domain.into()),
            listen: free_port(),
            inner: free_port(),
            ..gateway_settings(self.control.internal_addr())
        }
    }

    pub(crate) async fn start_gateway(&self, settings: GatewaySettings) -> KillableGateway {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("failed to start a runtime");
        let gateway = runtime.spawn(start_gateway(settings, self.list.clone()));
        let gateway = gateway.await.expect("the gateway panicked");
        KillableGateway { gateway, runtime: Some(runtime) }
    }
}

pub(crate) async fn start_gateway(settings: GatewaySettings, list: StaticList) -> Gateway {
    // Telemetry can be initialized only once per process.
    let open = || telemetry::init(&settings.log).expect("failed to initialize telemetry");
    let metrics = METRICS.get_or_init(open).clone();
    let gateway = Gateway::spawn(settings, HeaderNames::default(), list, metrics).await;
    gateway.expect("failed to start the gateway")
}

/// Returns the regions of the domains that tests use.
pub(crate) fn regions() -> BTreeMap<Domain, Name> {
    let regions = [("d0", "north"), ("d1", "north"), ("d2", "south"), ("d3", "south")];
    regions.map(|(domain, region)| (Domain(domain.into()), region.into())).into()
}

/// Waits until a gateway reports on its admin address that it is ready.
pub(crate) async fn wait_until_admin_ready(admin: SocketAddr) {
    let client = edge::Client::new(1_000);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !matches!(client.call(admin, "GET", "/ready", None, edge::empty()).await, Ok((200, _))) {
        assert!(Instant::now() < deadline, "gateway did not become ready in time");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until<F>(mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "condition did not hold in time");
        sleep(Duration::from_millis(10)).await;
    }
}

fn control_settings(data: &TempDir) -> ControlSettings {
    ControlSettings {
        advertise: None,
        directory: None,
        host: HostName("c1".into()),
        domain: Domain("d0".into()),
        data: data.path().join("data"),
        inner: any_port(),
        admin: any_port(),
        seeds: Vec::new(),
        bootstrap: false,
        tolerance: 1,
        link_mbps: 1_000.0,
        listing: ListingSettings { interval_ms: 50, rate: 1_000.0 },
        peers: Vec::new(),
        operators: None,
        tls_inner: None,
        host_list: None,
        memory_mb: 256.0,
        intake: Default::default(),
        weights: WeightStoreLimits::default(),
        log: LogSettings { level: LogLevel::Error, ..LogSettings::default() },
    }
}

pub(crate) fn gateway_settings(control: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        host: HostName("g1".into()),
        domain: Domain("d0".into()),
        listen: any_port(),
        admin: free_port(),
        inner: any_port(),
        control: vec![control],
        directory: None,
        tls_inner: None,
        grace_ms: 5_000,
        connections: 500,
        memory_mb: 260.0,
        intake: Default::default(),
        listing: ListingSettings { interval_ms: 50, rate: 1_000.0 },
        retries: RETRIES,
        regions: BTreeMap::new(),
        cold: ColdSettings::default(),
        overload: Overload::default(),
        log: LogSettings { level: LogLevel::Error, ..LogSettings::default() },
    }
}

/// Returns a route with the prefix `/NAME/` to a service.
pub(crate) fn route(name: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout_ms: 4_000,
        target_ms: 150,
        gap_ms: 100,
        priority: 1,
        split: smallvec![WeightedService { service: service.into(), weight: 1 }],
        attempts: 2,
        open: false,
        prompt_affinity: false,
        resumable: false,
        regions: smallvec![],
    }
}

/// Returns a configuration that routes `read`, `write`, `stream` and `resume` to the services
/// `plain` and `model`.
pub(crate) fn layout(version: u64) -> RoutingConfig {
    let engine = Engine { slots: 8, kv_tokens: 100_000, kv_bytes: 1_000 };
    let service = |name: &str, engine| Service {
        name: name.into(),
        health: "/health".into(),
        connections: 100,
        engine,
        cold: None,
    };
    let resume = Route { resumable: true, ..route("resume", RouteKind::Stream, "model") };
    RoutingConfig {
        version,
        routes: vec![
            route("read", RouteKind::Idempotent, "plain"),
            route("write", RouteKind::NonIdempotent, "plain"),
            route("stream", RouteKind::Stream, "model"),
            resume,
        ],
        services: vec![service("plain", None), service("model", Some(engine))],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 10_000,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
        teams: vec![Team {
            name: "one".into(),
            keys: vec![Digest::of(TEAM_KEY.as_bytes())],
            priority: None,
            regions: smallvec![],
        }],
    }
}
