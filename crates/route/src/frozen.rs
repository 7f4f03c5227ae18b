//! The types of a configuration as commit 0d4d3b9 encodes them with `bincode`. Builds from then on read this encoding, so
//! these types must not change: later fields belong into the extension section (see [`crate::encoding`]).

use {
    crate::{
        config::{
            CallerLimits, Engine, Regions, Route, RouteKind, RoutingConfig, Service, Team,
            WeightedService,
        },
        delta::RouteDelta,
    },
    model::{Digest, Name},
    serde::{Deserialize, Serialize},
};

#[derive(Serialize, Deserialize)]
enum FrozenKind {
    Idempotent,
    NonIdempotent,
    Stream,
}

#[derive(Serialize, Deserialize)]
struct FrozenShare {
    service: Name,
    weight: u32,
}

#[derive(Serialize, Deserialize)]
struct FrozenRoute {
    name: Name,
    host: Name,
    prefix: Name,
    kind: FrozenKind,
    timeout_ms: u64,
    target_ms: u64,
    gap_ms: u64,
    priority: u8,
    split: Vec<FrozenShare>,
    attempts: u32,
    open: bool,
    prompt_affinity: bool,
    resumable: bool,
}

#[derive(Serialize, Deserialize)]
struct FrozenEngine {
    slots: u32,
    kv_tokens: u64,
    kv_bytes: u64,
}

#[derive(Serialize, Deserialize)]
struct FrozenService {
    name: Name,
    health: Name,
    connections: u32,
    engine: Option<FrozenEngine>,
}

#[derive(Serialize, Deserialize)]
struct FrozenLimits {
    header_bytes: u64,
    body_bytes: u64,
    header_ms: u64,
    idle_ms: u64,
}

#[derive(Serialize, Deserialize)]
struct FrozenTeam {
    name: Name,
    keys: Vec<Digest>,
    priority: Option<u8>,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct FrozenConfig {
    version: u64,
    routes: Vec<FrozenRoute>,
    services: Vec<FrozenService>,
    limits: FrozenLimits,
    teams: Vec<FrozenTeam>,
}

#[derive(Serialize, Deserialize)]
pub(crate) struct FrozenDelta {
    base: u64,
    version: u64,
    routes: Vec<FrozenRoute>,
    removed_routes: Vec<(Name, Name)>,
    services: Option<Vec<FrozenService>>,
    limits: Option<FrozenLimits>,
    teams: Vec<FrozenTeam>,
    removed_teams: Vec<Name>,
}

fn convert<A, B>(values: Vec<A>) -> Vec<B>
where
    B: From<A>,
{
    values.into_iter().map(B::from).collect()
}

fn freeze<'a, A, B>(values: &'a [A]) -> Vec<B>
where
    B: From<&'a A>,
{
    values.iter().map(B::from).collect()
}

impl From<&Route> for FrozenRoute {
    fn from(it: &Route) -> FrozenRoute {
        let share =
            |it: &WeightedService| FrozenShare { service: it.service.clone(), weight: it.weight };
        FrozenRoute {
            name: it.name.clone(),
            host: it.host.clone(),
            prefix: it.prefix.clone(),
            kind: match it.kind {
                RouteKind::Idempotent => FrozenKind::Idempotent,
                RouteKind::NonIdempotent => FrozenKind::NonIdempotent,
                RouteKind::Stream => FrozenKind::Stream,
            },
            timeout_ms: it.timeout_ms,
            target_ms: it.target_ms,
            gap_ms: it.gap_ms,
            priority: it.priority,
            split: it.split.iter().map(share).collect(),
            attempts: it.attempts,
            open: it.open,
            prompt_affinity: it.prompt_affinity,
            resumable: it.resumable,
        }
    }
}

impl From<FrozenRoute> for Route {
    fn from(it: FrozenRoute) -> Route {
        let share = |it: FrozenShare| WeightedService { service: it.service, weight: it.weight };
        Route {
            name: it.name,
            host: it.host,
            prefix: it.prefix,
            kind: match it.kind {
                FrozenKind::Idempotent => RouteKind::Idempotent,
                FrozenKind::NonIdempotent => RouteKind::NonIdempotent,
                FrozenKind::Stream => RouteKind::Stream,
            },
            timeout_ms: it.timeout_ms,
            target_ms: it.target_ms,
            gap_ms: it.gap_ms,
            priority: it.priority,
            split: it.split.into_iter().map(share).collect(),
            attempts: it.attempts,
            open: it.open,
            prompt_affinity: it.prompt_affinity,
            resumable: it.resumable,
            regions: Regions::new(),
        }
    }
}

impl From<&Service> for FrozenService {
    fn from(it: &Service) -> FrozenService {
        let engine = |it: &Engine| FrozenEngine {
            slots: it.slots,
            kv_tokens: it.kv_tokens,
            kv_bytes: it.kv_bytes,
        };
        FrozenService {
            name: it.name.clone(),
            health: it.health.clone(),
            connections: it.connections,
            engine: it.engine.as_ref().map(engine),
        }
    }
}

impl From<FrozenService> for Service {
    fn from(it: FrozenService) -> Service {
        let engine = |it: FrozenEngine| Engine {
            slots: it.slots,
            kv_tokens: it.kv_tokens,
            kv_bytes: it.kv_bytes,
        };
        Service {
            name: it.name,
            health: it.health,
            connections: it.connections,
            engine: it.engine.map(engine),
            cold: None,
        }
    }
}

impl From<CallerLimits> for FrozenLimits {
    fn from(it: CallerLimits) -> FrozenLimits {
        let CallerLimits { header_bytes, body_bytes, header_ms, idle_ms } = it;
        FrozenLimits { header_bytes, body_bytes, header_ms, idle_ms }
    }
}

impl From<FrozenLimits> for CallerLimits {
    fn from(it: FrozenLimits) -> CallerLimits {
        let FrozenLimits { header_bytes, body_bytes, header_ms, idle_ms } = it;
        CallerLimits { header_bytes, body_bytes, header_ms, idle_ms }
    }
}

impl From<&Team> for FrozenTeam {
    fn from(it: &Team) -> FrozenTeam {
        FrozenTeam { name: it.name.clone(), keys: it.keys.clone(), priority: it.priority }
    }
}

impl From<FrozenTeam> for Team {
    fn from(it: FrozenTeam) -> Team {
        Team { name: it.name, keys: it.keys, priority: it.priority, regions: Regions::new() }
    }
}

impl From<&RoutingConfig> for FrozenConfig {
    fn from(it: &RoutingConfig) -> FrozenConfig {
        FrozenConfig {
            version: it.version,
            routes: freeze(&it.routes),
            services: freeze(&it.services),
            limits: it.limits.into(),
            teams: freeze(&it.teams),
        }
    }
}

impl From<FrozenConfig> for RoutingConfig {
    fn from(it: FrozenConfig) -> RoutingConfig {
        RoutingConfig {
            version: it.version,
            routes: convert(it.routes),
            services: convert(it.services),
            limits: it.limits.into(),
            teams: convert(it.teams),
        }
    }
}

impl From<&RouteDelta> for FrozenDelta {
    fn from(it: &RouteDelta) -> FrozenDelta {
        FrozenDelta {
            base: it.base,
            version: it.version,
            routes: freeze(&it.routes),
            removed_routes: it.removed_routes.clone(),
            services: it.services.as_deref().map(freeze),
            limits: it.limits.map(FrozenLimits::from),
            teams: freeze(&it.teams),
            removed_teams: it.removed_teams.clone(),
        }
    }
}

impl From<FrozenDelta> for RouteDelta {
    fn from(it: FrozenDelta) -> RouteDelta {
        RouteDelta {
            base: it.base,
            version: it.version,
            routes: convert(it.routes),
            removed_routes: it.removed_routes,
            services: it.services.map(convert),
            limits: it.limits.map(CallerLimits::from),
            teams: convert(it.teams),
            removed_teams: it.removed_teams,
        }
    }
}
