//! The process settings and routing configurations of a run.

use {
    crate::history::{RETRY_RATIO, RETRY_SLACK},
    eyre::{Result, WrapErr},
    model::{Digest, Domain, HostName},
    route::{
        CallerLimits, Engine, Route, RouteKind, RoutingConfig, Service, Team, WeightedService,
    },
    settings::{
        ColdSettings, ControlSettings, GatewaySettings, ListingSettings, LogFormat, LogSettings,
        Overload, RetrySettings, WeightStoreLimits,
    },
    smallvec::smallvec,
    std::{
        collections::BTreeMap,
        io::ErrorKind,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::Path,
        sync::{
            LazyLock,
            atomic::{AtomicU16, Ordering},
        },
    },
};

/// The team of all callers.
pub const TEAM: &str = "one";

/// The team key of all callers.
pub(crate) const KEY: &str = "key-of-one";

/// The operator token.
pub(crate) const TOKEN: &str = "operator-token";

/// The `Host` header of all requests.
pub(crate) const HOST: &str = "h";

/// Timeout of every route in milliseconds.
pub(crate) const TIMEOUT_MS: u64 = 4_000;

/// Grace period of a gateway in milliseconds; longer than any request.
pub(crate) const GRACE_MS: u64 = 6_000;

/// The prompt part that crashes endpoints, in hexadecimal.
pub(crate) const CRASHING_PART: &str = "bad";

/// The requests a second that a limited endpoint takes from all gateways.
pub(crate) const LIMIT: f64 = 3.0;

/// Maximum number of concurrent requests per endpoint.
pub(crate) const SLOTS: u32 = 16;

/// Maximum number of caller connections per gateway.
const CONNECTIONS: usize = 200;

/// Returns the configuration of a version. Its route `only-VERSION` is in no other configuration.
pub(crate) fn routing_config(version: u64) -> RoutingConfig {
    let engine = Engine { slots: SLOTS, kv_tokens: 100_000, kv_bytes: 1_000 };
    let service = |name: &str, engine| Service {
        name: name.into(),
        health: "/health".into(),
        connections: 1_000,
        engine,
        cold: None,
    };
    RoutingConfig {
        version,
        routes: vec![
            route("read", RouteKind::Idempotent, "plain"),
            route("write", RouteKind::NonIdempotent, "plain"),
            Route {
                resumable: true,
                prompt_affinity: true,
                ..route("stream", RouteKind::Stream, "model")
            },
            route(&format!("only-{version}"), RouteKind::Idempotent, "plain"),
        ],
        services: vec![service("plain", None), service("model", Some(engine))],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 10_000,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
        teams: vec![Team {
            name: TEAM.into(),
            keys: vec![Digest::of(KEY.as_bytes())],
            priority: None,
            regions: smallvec![],
        }],
    }
}

fn route(name: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout_ms: TIMEOUT_MS,
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

/// Returns the settings of a gateway.
pub(crate) fn gateway(
    number: usize,
    listen: SocketAddr,
    control: &[SocketAddr],
    directory: SocketAddr,
) -> Result<GatewaySettings> {
    Ok(GatewaySettings {
        host: HostName(format!("g{number}").into()),
        domain: domain(number),
        listen,
        admin: free_addr()?,
        inner: free_addr()?,
        control: control.to_vec(),
        directory: Some(directory),
        tls_inner: None,
        grace_ms: GRACE_MS,
        connections: CONNECTIONS,
        memory_mb: 256.0,
        intake: Default::default(),
        listing: listing(),
        retries: RetrySettings { ratio: RETRY_RATIO, slack: RETRY_SLACK },
        regions: BTreeMap::new(),
        cold: ColdSettings::default(),
        overload: Overload::default(),
        log: log(),
    })
}

/// Returns the settings of a control replica. `advertise`, one of `seeds`, is where others reach it.
pub(crate) fn control(
    number: usize,
    folder: &Path,
    inner: SocketAddr,
    advertise: SocketAddr,
    seeds: &[SocketAddr],
    directory: SocketAddr,
) -> Result<ControlSettings> {
    Ok(ControlSettings {
        host: HostName(format!("c{number}").into()),
        domain: domain(number),
        data: folder.join(format!("control-{number}")),
        inner,
        admin: free_addr()?,
        advertise: Some(advertise),
        seeds: seeds.to_vec(),
        bootstrap: true,
        tolerance: seeds.len() / 2,
        link_mbps: 1_000.0,
        directory: Some(directory),
        listing: listing(),
        peers: Vec::new(),
        operators: Some(folder.join("operators.toml")),
        tls_inner: None,
        host_list: None,
        memory_mb: 256.0,
        intake: Default::default(),
        weights: WeightStoreLimits::default(),
        log: log(),
    })
}

/// Returns the content of the operators file.
pub(crate) fn operators() -> String {
    let digest = Digest::of(TOKEN.as_bytes());
    format!("[[operator]]\nname = \"soak\"\ntoken = \"sha256:{digest}\"\n")
}

fn domain(number: usize) -> Domain {
    Domain(format!("d{}", number % 3).into())
}

fn listing() -> ListingSettings {
    ListingSettings { interval_ms: 500, rate: 100.0 }
}

fn log() -> LogSettings {
    LogSettings { format: LogFormat::Json, ..LogSettings::default() }
}

/// Returns an unused address of this run, for a process that binds it on every start.
///
/// # Errors
///
/// No port can be bound.
pub(crate) fn free_addr() -> Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let mut addr = ephemeral_addr();
    loop {
        addr.set_port(NEXT.fetch_add(1, Ordering::Relaxed));
        match TcpListener::bind(addr) {
            Ok(_) => return Ok(addr),
            Err(err) if err.kind() == ErrorKind::AddrInUse => {}
            Err(err) => return Err(err).wrap_err("failed to find a free port"),
        }
    }
}

/// First port for processes, below the ephemeral port range of the system.
const FIRST_PORT: u16 = 10_000;

/// Returns an address of this run with port 0, so that the system picks a port on bind.
///
/// Each run has its own loopback address. Ports that are free while a process restarts can then be taken neither by
/// another run nor by an outgoing connection, which uses 127.0.0.1.
pub(crate) fn ephemeral_addr() -> SocketAddr {
    static ADDR: LazyLock<Ipv4Addr> = LazyLock::new(|| {
        let [high, low, last]: [u8; 3] = rand::random();
        Ipv4Addr::new(127, high.clamp(1, 254), low, last.clamp(1, 254))
    });
    SocketAddr::from((*ADDR, 0))
}
