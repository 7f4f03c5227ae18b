//! Tests the encoding in which processes send configurations to each other, also against that of commit 0d4d3b9.

mod common;

use {
    crate::common::{any_config, config},
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    model::{Digest, Name},
    proptest::prelude::*,
    route::{
        CallerLimits, ColdStart, Engine, FIELD_LEVEL, Route, RouteDelta, RouteKind, RoutingConfig,
        Service, Team, WeightedService,
    },
    rstest::rstest,
    serde::{Deserialize, Serialize},
    smallvec::{SmallVec, smallvec},
};

/// Written by the program of commit 0d4d3b9.
const OLD_CONFIG: &[u8] = include_bytes!("fixtures/config-0d4d3b9.bin");
const OLD_DELTA: &[u8] = include_bytes!("fixtures/delta-0d4d3b9.bin");

/// The types of commit 0d4d3b9, as that build reads them.
mod old {
    use super::*;

    #[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
    pub(super) struct Route {
        pub(super) name: Name,
        host: Name,
        prefix: Name,
        kind: RouteKind,
        pub(super) timeout_ms: u64,
        target_ms: u64,
        gap_ms: u64,
        priority: u8,
        split: SmallVec<[WeightedService; 2]>,
        attempts: u32,
        open: bool,
        affine: bool,
        resumable: bool,
    }

    #[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
    pub(super) struct Service {
        pub(super) name: Name,
        health: Name,
        connections: u32,
        engine: Option<Engine>,
    }

    #[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
    pub(super) struct Team {
        pub(super) name: Name,
        keys: Vec<Digest>,
        priority: Option<u8>,
    }

    #[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
    pub(super) struct Config {
        pub(super) version: u64,
        pub(super) routes: Vec<Route>,
        pub(super) services: Vec<Service>,
        limits: CallerLimits,
        pub(super) teams: Vec<Team>,
    }

    #[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
    pub(super) struct Delta {
        pub(super) base: u64,
        pub(super) version: u64,
        pub(super) routes: Vec<Route>,
        gone: Vec<(Name, Name)>,
        services: Option<Vec<Service>>,
        limits: Option<CallerLimits>,
        teams: Vec<Team>,
        disbanded: Vec<Name>,
    }
}

/// The section of a build with a later field, `extra`, and with more about the fields of this build.
#[derive(Serialize)]
struct LaterSection {
    level: u32,
    fields: Vec<(u32, Vec<u8>)>,
    extra: Name,
}

fn old_route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "api.example".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout_ms: 30_000,
        target_ms: 800,
        gap_ms: 600,
        priority: 1,
        split: smallvec![
            WeightedService { service: "model".into(), weight: 9 },
            WeightedService { service: "plain".into(), weight: 1 },
        ],
        attempts: 3,
        open: true,
        prompt_affinity: true,
        resumable: true,
        regions: smallvec![],
    }
}

/// The content of [`OLD_CONFIG`].
fn old_config() -> RoutingConfig {
    let engine = Engine { slots: 12, kv_tokens: 299_197, kv_bytes: 131_072 };
    let service = |name: &str, health: &str, connections, engine| Service {
        name: name.into(),
        health: health.into(),
        connections,
        engine,
        cold: None,
    };
    let team = |name: &str, keys: &[&[u8]], priority| Team {
        name: name.into(),
        keys: keys.iter().map(|it| Digest::of(it)).collect(),
        priority,
        regions: smallvec![],
    };
    RoutingConfig {
        version: 300,
        routes: vec![
            old_route("chat", RouteKind::Stream),
            old_route("write", RouteKind::NonIdempotent),
            old_route("read", RouteKind::Idempotent),
        ],
        services: vec![
            service("model", "/health", 70_000, Some(engine)),
            service("plain", "/", 6, None),
        ],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
        teams: vec![team("one", &[b"k1", b"k2"], Some(2)), team("two", &[], None)],
    }
}

/// The configuration to which [`OLD_DELTA`] leads from [`OLD_CONFIG`].
fn next_config() -> RoutingConfig {
    let mut config = old_config();
    config.version = 301;
    config.routes[0].timeout_ms = 40_000;
    config.routes.pop();
    config.services[1].connections = 7;
    config.limits.idle_ms = 16_000;
    config.teams[0].priority = None;
    config.teams.pop();
    config
}

fn sorted(mut it: RoutingConfig) -> RoutingConfig {
    it.routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    it.teams.sort_by(|a, b| a.name.cmp(&b.name));
    it
}

/// Guards against a change of the frozen encoding.
#[test]
fn bytes_of_the_old_build_are_read_and_written() {
    let read = RoutingConfig::decode(OLD_CONFIG).expect("not decoded");
    assert_eq!((&read.value, read.level), (&old_config(), 0));
    assert_eq!(old_config().encode(0).expect("not encoded"), OLD_CONFIG);
    let delta = RouteDelta::decode(OLD_DELTA).expect("not decoded");
    assert_eq!(delta.level, 0);
    let applied = delta.value.apply(&read.value).expect("wrong base");
    assert_eq!(sorted(applied), sorted(next_config()));
    assert_eq!(delta.value.encode(0).expect("not encoded"), OLD_DELTA);
}

/// Guards against an extension section that the old build does not skip.
#[test]
fn the_old_build_reads_new_bytes() {
    let mut new = next_config();
    new.routes[0].regions = smallvec!["north".into()];
    new.teams[0].regions = smallvec!["south".into()];
    new.services[1].cold = Some(ColdStart { start_ms: 10_000.0, rate: 8.0 });
    let bytes = new.encode(FIELD_LEVEL).expect("not encoded");
    let (config, length): (old::Config, _) =
        decode_from_slice(&bytes, standard()).expect("old build cannot decode");
    assert!(length < bytes.len(), "no section");
    assert_eq!(
        encode_to_vec(&config, standard()).expect("not encoded"),
        next_config().encode(0).expect("not encoded")
    );
    let delta = RouteDelta::between(&old_config(), &new);
    let bytes = delta.encode(FIELD_LEVEL).expect("not encoded");
    let (delta, length): (old::Delta, _) =
        decode_from_slice(&bytes, standard()).expect("old build cannot decode");
    assert!(length < bytes.len(), "no section");
    assert_eq!((delta.base, delta.version, delta.routes[0].timeout_ms), (300, 301, 40_000));
}

/// Guards against fields that a build which does not know them passes on as known.
#[test]
fn a_value_without_a_section_has_defaults_and_says_so() {
    let bytes = config(1).encode(0).expect("not encoded");
    let read = RoutingConfig::decode(&bytes).expect("not decoded");
    assert_eq!(read.level, 0);
    assert!(read.value.routes.iter().all(|it| it.regions.is_empty()));
    assert_eq!(RoutingConfig::decode(&read.value.encode(0).expect("")).expect("").level, 0);
    // A section without any field that is set is a section.
    let bytes = old_config().encode(FIELD_LEVEL).expect("not encoded");
    let read = RoutingConfig::decode(&bytes).expect("not decoded");
    assert_eq!((read.value, read.level), (old_config(), FIELD_LEVEL));
}

/// Guards against a section that later builds cannot extend.
#[test]
fn fields_of_a_later_build_are_skipped() {
    let mut bytes = old_config().encode(0).expect("not encoded");
    let encode = |it: &Vec<(u32, Vec<Name>)>| encode_to_vec(it, standard()).expect("");
    let mut regions = encode(&vec![(1, vec!["north".into()])]);
    regions.extend(b"more about regions");
    let section = LaterSection {
        level: FIELD_LEVEL + 8,
        fields: vec![(77, b"unknown".to_vec()), (1, regions)],
        extra: "extra".into(),
    };
    bytes.extend(encode_to_vec(&section, standard()).expect("not encoded"));
    let mut expected = old_config();
    expected.routes[1].regions = smallvec!["north".into()];
    let read = RoutingConfig::decode(&bytes).expect("not decoded");
    assert_eq!((read.value, read.level), (expected, FIELD_LEVEL));
}

/// Guards against a restriction that is silently lost with a damaged section.
#[rstest]
#[case::cut_off(|it: &mut Vec<u8>| it.truncate(it.len() - 1))]
#[case::only_the_level(|it: &mut Vec<u8>| { it.truncate(OLD_CONFIG.len()); it.push(1); })]
#[case::unknown_route(|it: &mut Vec<u8>| {
    it.truncate(OLD_CONFIG.len());
    let content = encode_to_vec(vec![(3_u32, vec!["north"])], standard()).expect("");
    it.extend(encode_to_vec((1_u32, vec![(1_u32, content)]), standard()).expect(""));
})]
fn a_damaged_section_is_an_error(#[case] damage: fn(&mut Vec<u8>)) {
    let mut config = old_config();
    config.routes[0].regions = smallvec!["north".into()];
    let mut bytes = config.encode(FIELD_LEVEL).expect("not encoded");
    damage(&mut bytes);
    assert!(RoutingConfig::decode(&bytes).is_err());
}

/// Guards against a restriction that ends because an old replica sends the next version.
#[test]
fn a_later_version_without_the_fields_inherits_them() {
    let mut older = config(1);
    older.routes[0].regions = smallvec!["north".into()];
    older.teams[1].regions = smallvec!["south".into()];
    older.services[1].cold = Some(ColdStart { start_ms: 5.0, rate: 8.0 });
    let mut newer = config(2);
    newer.routes.remove(1);
    newer.routes[0].timeout_ms = 7;
    let mut expected = newer.clone();
    expected.routes[0].regions.clone_from(&older.routes[0].regions);
    expected.teams[1].regions.clone_from(&older.teams[1].regions);
    expected.services[1].cold = older.services[1].cold;
    newer.inherit(&older);
    assert_eq!(newer, expected);
}

proptest! {
    #[test]
    fn a_config_survives_the_round_trip(config in any_config(1)) {
        let read = RoutingConfig::decode(&config.encode(FIELD_LEVEL)?)?;
        prop_assert_eq!((read.value, read.level), (config, FIELD_LEVEL));
    }

    #[test]
    fn a_delta_that_was_sent_yields_the_new_config(old in any_config(1), new in any_config(2)) {
        let delta = RouteDelta::between(&old, &new).encode(FIELD_LEVEL)?;
        let applied = RouteDelta::decode(&delta)?.value.apply(&old);
        prop_assert_eq!(applied.map(sorted), Ok(sorted(new)));
    }

    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = RoutingConfig::decode(&bytes);
        let _ = RouteDelta::decode(&bytes);
    }

    /// Random bytes rarely get past the first list, so valid ones are damaged too.
    #[test]
    fn damaged_bytes_never_panic(
        config in any_config(1),
        damage in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = config.encode(FIELD_LEVEL)?;
        for (at, byte) in damage {
            *at.get_mut(&mut bytes) = byte;
        }
        let _ = RoutingConfig::decode(&bytes);
        let _ = RouteDelta::decode(&bytes);
    }
}
