//! Routing configurations for tests.

#![allow(dead_code, unreachable_pub, reason = "each test uses some of this")]

use {
    model::Digest,
    proptest::{
        collection::{btree_map, vec},
        option,
        prelude::*,
    },
    route::{
        CallerLimits, ColdStart, Regions, Route, RouteKind, RoutingConfig, Service, Team,
        WeightedService,
    },
    smallvec::smallvec,
};

pub(crate) fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        gap_ms: 0,
        priority: 0,
        split: smallvec![WeightedService { service: service.into(), weight: 1 }],
        attempts: 2,
        open: false,
        prompt_affinity: false,
        resumable: false,
        regions: smallvec![],
    }
}

pub(crate) fn service(name: &str) -> Service {
    Service { name: name.into(), health: "/".into(), connections: 10, engine: None, cold: None }
}

pub(crate) fn team(name: &str, keys: &[&str]) -> Team {
    let keys = keys.iter().map(|it| Digest::of(it.as_bytes())).collect();
    Team { name: name.into(), keys, priority: None, regions: smallvec![] }
}

pub(crate) fn config(version: u64) -> RoutingConfig {
    RoutingConfig {
        version,
        routes: vec![route("a", "/", "s"), route("a", "/x/", "t"), route("a", "/x/y/", "s")],
        services: vec![service("s"), service("t")],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_000,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
        teams: vec![team("one", &["k1", "k1"]), team("two", &["k2"])],
    }
}

pub(crate) fn any_config(version: u64) -> impl Strategy<Value = RoutingConfig> {
    let routes = btree_map(0_u8..12, (1_u64..4, 0_u8..2, any_regions()), 0..10);
    let teams = btree_map(0_u8..8, (0_u8..4, any_regions()), 0..6);
    let services = vec(option::of((0_u8..9, 0_u8..9)), 1..3);
    (routes, teams, services, 1_u64..3).prop_map(move |(routes, teams, services, idle)| {
        let names = ["s", "t"];
        let routes = routes.into_iter().map(|(index, (timeout, service, regions))| {
            let mut route = route("a", &format!("/{index}/"), names[usize::from(service)]);
            route.timeout_ms = timeout;
            route.regions = regions;
            route
        });
        let teams = teams.into_iter().map(|(index, (key, regions))| {
            let team = team(&format!("{index}"), &[&format!("{index}.{key}")]);
            Team { regions, ..team }
        });
        let cold =
            |(start_ms, rate): (u8, u8)| ColdStart { start_ms: start_ms.into(), rate: rate.into() };
        let services = names.iter().zip(services);
        let services = services.map(|(name, it)| Service { cold: it.map(cold), ..service(name) });
        let mut config = config(version);
        config.services = services.collect();
        config.routes = routes.collect();
        config.teams = teams.collect();
        config.limits.idle_ms = idle;
        config
    })
}

fn any_regions() -> impl Strategy<Value = Regions> {
    vec("[a-c]{1,2}", 0..4).prop_map(|it| it.into_iter().map(Into::into).collect())
}
