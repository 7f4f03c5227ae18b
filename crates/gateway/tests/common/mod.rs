//! A gateway with a control replica of its own and endpoints that answer as a script says.

#![allow(dead_code, unused_imports, reason = "each test file uses some of these")]
#![allow(clippy::disallowed_methods, reason = "tests read the clock")]

mod caller;
mod endpoint;

pub(crate) use {
    caller::{Answer, Caller},
    endpoint::{Endpoint, Got, Script, event},
};

use {
    control::{Control, Layouts},
    directory::{Directory, DirectoryError, ListedEndpoint, Listing},
    gateway::{Gateway, HeaderNames},
    model::{Digest, Domain, HostName},
    route::{
        CallerLimits, Engine, Route, RouteKind, RoutingConfig, Service, Team, WeightedService,
    },
    settings::{
        ControlSettings, GatewaySettings, ListingSettings, LogLevel, LogSettings, RetrySettings,
        WeightStoreLimits,
    },
    smallvec::smallvec,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, OnceLock},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::{Instant, sleep},
};

/// How long a test may wait for something that should happen.
const LIMIT: Duration = Duration::from_secs(15);

static METRICS: OnceLock<telemetry::Metrics> = OnceLock::new();

pub(crate) const KEY: &str = "key-of-one";

/// Endpoints that tests list.
#[derive(Clone, Default)]
pub(crate) struct StaticList(Arc<Mutex<Vec<ListedEndpoint>>>);

impl Directory for StaticList {
    async fn list(&self) -> Result<Listing, DirectoryError> {
        let endpoints = self.0.lock().map_err(|it| DirectoryError { reason: it.to_string() })?;
        Ok(Listing { endpoints: endpoints.clone(), calls: 1 })
    }
}

pub(crate) struct Bench {
    pub(crate) gateway: Gateway,
    pub(crate) layouts: Layouts,
    pub(crate) addr: SocketAddr,
    pub(crate) admin: SocketAddr,
    list: StaticList,
    _control: Control,
    _data: TempDir,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn free_port() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any()).expect("a free port");
    listener.local_addr().expect("its address")
}

impl Bench {
    /// Starts a gateway that serves `layout` with these endpoints, and waits until it is ready.
    pub(crate) async fn start(layout: &RoutingConfig, endpoints: &[ListedEndpoint]) -> Bench {
        let bench = Bench::start_empty(endpoints).await;
        bench.publish(layout).await;
        until(|| bench.gateway.is_ready()).await;
        bench
    }

    /// Starts a gateway for which there is no configuration.
    pub(crate) async fn start_empty(endpoints: &[ListedEndpoint]) -> Bench {
        let data = tempfile::tempdir().expect("a folder");
        let mut control = Control::spawn(control_settings(&data)).await.expect("control");
        control.lead().await;
        let list = StaticList(Arc::new(Mutex::new(endpoints.to_vec())));
        control.serve_directory(list.clone());
        let settings = gateway_settings(control.inner());
        let admin = settings.admin;
        // Telemetry is opened once for each process.
        let open = || telemetry::open(&settings.log).expect("metrics");
        let metrics = METRICS.get_or_init(open).clone();
        let gateway = Gateway::spawn(settings, HeaderNames::default(), list.clone(), metrics).await;
        let gateway = gateway.expect("a gateway");
        let (addr, layouts) = (gateway.addr(), control.layouts());
        Bench { gateway, layouts, addr, admin, list, _control: control, _data: data }
    }

    pub(crate) async fn publish(&self, layout: &RoutingConfig) {
        let document = serde_json::to_vec(layout).expect("a document");
        self.layouts.publish(document.into()).await.expect("published");
    }

    pub(crate) fn list(&self, endpoints: &[ListedEndpoint]) {
        *self.list.0.lock().expect("the list") = endpoints.to_vec();
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.addr)
    }
}

/// Waits until something holds.
pub(crate) async fn until<F>(mut holds: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < deadline, "not in time");
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
        inner: any(),
        admin: any(),
        seeds: Vec::new(),
        bootstrap: false,
        tolerance: 1,
        link_mbps: 1_000.0,
        listing: ListingSettings { interval_ms: 50, rate: 1_000.0 },
        peers: Vec::new(),
        operators: None,
        tls_inner: None,
        host_list: None,
        weights: WeightStoreLimits::default(),
        log: LogSettings { level: LogLevel::Error, ..LogSettings::default() },
    }
}

fn gateway_settings(control: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        host: HostName("g1".into()),
        domain: Domain("d0".into()),
        listen: any(),
        admin: free_port(),
        inner: any(),
        control: vec![control],
        directory: None,
        tls_inner: None,
        grace_ms: 5_000,
        connections: 100,
        listing: ListingSettings { interval_ms: 50, rate: 1_000.0 },
        retries: RetrySettings { ratio: 0.2, slack: 50.0 },
        log: LogSettings { level: LogLevel::Error, ..LogSettings::default() },
    }
}

/// A route below `/NAME/` to a service.
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
    }
}

/// Routes `read`, `write`, `stream` and `resume` to the services `plain` and `model`.
pub(crate) fn layout(version: u64) -> RoutingConfig {
    let engine = Engine { slots: 8, kv_tokens: 100_000, kv_bytes: 1_000 };
    let service = |name: &str, engine| Service {
        name: name.into(),
        health: "/health".into(),
        connections: 100,
        engine,
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
            keys: vec![Digest::of(KEY.as_bytes())],
            priority: None,
        }],
    }
}
