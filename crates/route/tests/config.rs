//! Tests validation, lookups, publication and deltas of routing configurations.

mod common;

use {
    crate::common::{any_config, config},
    model::Digest,
    proptest::prelude::*,
    route::{
        ColdStart, ConfigError, PublishOutcome, PublishedConfig, Regions, Route, RouteDelta,
        RouteTable, RoutingConfig, WeightedService, allowed_regions,
    },
    rstest::rstest,
    smallvec::smallvec,
};

#[test]
fn a_valid_config_passes_the_check() {
    assert_eq!(config(1).check(), Ok(()));
}

#[rstest]
#[case::unknown_service(|it: &mut RoutingConfig| it.routes[0].split[0].service = "u".into())]
#[case::duplicate_prefix(|it: &mut RoutingConfig| it.routes[1].prefix = "/".into())]
#[case::zero_weight(|it: &mut RoutingConfig| it.routes[0].split[0].weight = 0)]
#[case::no_services(|it: &mut RoutingConfig| it.routes[0].split.clear())]
#[case::zero_timeout(|it: &mut RoutingConfig| it.routes[0].timeout_ms = 0)]
#[case::invalid_prefix(|it: &mut RoutingConfig| it.routes[0].prefix = "/z".into())]
#[case::duplicate_service(|it: &mut RoutingConfig| it.services[1].name = "s".into())]
#[case::shared_key(|it: &mut RoutingConfig| it.teams[1].keys.push(Digest::of(b"k1")))]
#[case::empty_region_of_route(|it: &mut RoutingConfig| it.routes[0].regions.push("".into()))]
#[case::empty_region_of_team(|it: &mut RoutingConfig| it.teams[0].regions.push("".into()))]
#[case::negative_cold_start(|it: &mut RoutingConfig| it.services[0].cold = cold(-1.0, 8.0))]
#[case::unknown_cold_start(|it: &mut RoutingConfig| it.services[0].cold = cold(f64::NAN, 8.0))]
#[case::negative_cold_rate(|it: &mut RoutingConfig| it.services[0].cold = cold(1.0, -8.0))]
#[case::endless_cold_rate(|it: &mut RoutingConfig| it.services[0].cold = cold(1.0, f64::INFINITY))]
#[case::duplicate_team(|it: &mut RoutingConfig| it.teams[1].name = "one".into())]
fn an_invalid_config_is_rejected(#[case] invalidate: fn(&mut RoutingConfig)) {
    let mut config = config(1);
    invalidate(&mut config);
    assert!(config.check().is_err());
}

#[rstest]
#[case::none(&[], &[], None)]
#[case::of_the_route(&["a", "b"], &[], Some(&["a", "b"][..]))]
#[case::of_the_team(&[], &["a"], Some(&["a"][..]))]
#[case::of_both(&["a", "b"], &["b", "c"], Some(&["b"][..]))]
#[case::nothing_in_common(&["a"], &["b"], Some(&[][..]))]
fn regions_of_route_and_team_both_apply(
    #[case] route: &[&str],
    #[case] team: &[&str],
    #[case] expected: Option<&[&str]>,
) {
    let names = |it: &[&str]| it.iter().map(|it| (*it).into()).collect::<Regions>();
    assert_eq!(allowed_regions(&names(route), &names(team)), expected.map(names));
}

/// Streams of a route must not be resumed at its service if they may have begun at another one.
#[rstest]
#[case::same(&[("/a", "s")], &[("/a", "s")], &[])]
#[case::changed(&[("/a", "s")], &[("/a", "t")], &["/a"])]
#[case::new(&[], &[("/a", "s")], &[])]
#[case::gone(&[("/a", "s")], &[], &[])]
#[case::new_below(&[("/a", "s")], &[("/a", "s"), ("/a/b", "t")], &["/a/b"])]
#[case::new_below_with_the_same(&[("/a", "s")], &[("/a", "s"), ("/a/b", "s")], &[])]
#[case::gone_below(&[("/a", "s"), ("/a/b", "t")], &[("/a", "s")], &["/a"])]
#[case::new_beside(&[("/a", "s")], &[("/a", "s"), ("/b", "t")], &[])]
fn routes_that_get_requests_of_another_service_are_found(
    #[case] before: &[(&str, &str)],
    #[case] after: &[(&str, &str)],
    #[case] moved: &[&str],
) {
    let table = |routes: &[(&str, &str)]| {
        let mut config = config(1);
        let template = config.routes.swap_remove(0);
        config.routes = routes
            .iter()
            .map(|(prefix, service)| {
                let split = smallvec![WeightedService { service: (*service).into(), weight: 1 }];
                Route { prefix: (*prefix).into(), split, ..template.clone() }
            })
            .collect();
        RouteTable::new(config.into())
    };
    let found = table(after).moved_routes(&table(before));
    let found: Vec<_> = found.iter().map(|it| &*it.1).collect();
    assert_eq!(found, moved);
}

/// A search over all lengths of a prefix would take minutes.
#[test]
fn moved_routes_are_found_beside_a_very_long_prefix() {
    let table = |service: &str| {
        let mut config = config(1);
        let mut route = config.routes.swap_remove(0);
        route.prefix = "/".repeat(4 << 20).as_str().into();
        route.split = smallvec![WeightedService { service: service.into(), weight: 1 }];
        config.routes = vec![route];
        RouteTable::new(config.into())
    };
    assert_eq!(table("t").moved_routes(&table("s")).len(), 1);
}

fn cold(start_ms: f64, rate: f64) -> Option<ColdStart> {
    Some(ColdStart { start_ms, rate })
}

/// Guards against documents from before the fields existed that are refused.
#[test]
fn the_fields_of_later_builds_are_optional_in_json() {
    let mut document = serde_json::to_value(config(1)).expect("not serialized");
    let mut remove = |list: &str, field: &str| {
        for entry in document[list].as_array_mut().expect("no list") {
            entry.as_object_mut().expect("no object").remove(field).expect("field is missing");
        }
    };
    remove("routes", "regions");
    remove("teams", "regions");
    remove("services", "cold");
    assert_eq!(serde_json::from_value::<RoutingConfig>(document).ok(), Some(config(1)));
}

#[test]
fn the_error_names_route_and_service() {
    let mut config = config(1);
    config.routes[0].split[0].service = "u".into();
    let error = ConfigError::UnknownService { route: "a/".into(), service: "u".into() };
    assert_eq!(config.check(), Err(error));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(config(1).into());
    let found =
        |host: &str, path: &str| table.find(host, path, 0).map(|it| it.route.prefix.clone());
    assert_eq!(found("a", "/x/y/z").as_deref(), Some("/x/y/"));
    assert_eq!(found("A", "/x/z").as_deref(), Some("/x/"));
    assert_eq!(found("a", "/x").as_deref(), Some("/"));
    assert_eq!(found("b", "/x/"), None);
}

#[test]
fn requests_split_by_weight() {
    let mut config = config(1);
    config.routes[0].split = smallvec![
        WeightedService { service: "s".into(), weight: 9 },
        WeightedService { service: "t".into(), weight: 1 }
    ];
    let table = RouteTable::new(config.into());
    let to_t = |draw| &*table.find("a", "/", draw).expect("no route found").service.name == "t";
    assert_eq!((0..1_000).filter(|it| to_t(*it)).count(), 100);
}

#[test]
fn a_key_identifies_its_team() {
    let table = RouteTable::new(config(1).into());
    assert_eq!(table.team_by_key(b"k2").map(|it| &*it.name), Some("two"));
    assert_eq!(table.team_by_key(b"k3"), None);
}

proptest! {
    /// In whatever order configurations are published, the highest version is in force, with the content that was
    /// published first under that version.
    #[test]
    fn the_highest_version_is_in_force(
        publications in proptest::collection::vec((0_u64..20, any::<u8>()), 1..60),
    ) {
        let mut published = PublishedConfig::default();
        let mut expected: Option<(u64, u8)> = None;
        for (version, content) in publications {
            let newer = expected.is_none_or(|it| version > it.0);
            let outcome = published.publish(version, vec![content]);
            prop_assert_eq!(outcome == PublishOutcome::InForce, newer);
            if newer {
                expected = Some((version, content));
            }
            prop_assert_eq!(published.version(), expected.map(|it| it.0));
            prop_assert_eq!(published.document(), &[expected.expect("nothing was published").1]);
        }
    }

    /// Applying a delta yields the configuration that it was computed for, up to the order of routes and teams.
    #[test]
    fn applying_a_delta_yields_the_new_config(old in any_config(1), new in any_config(2)) {
        let delta = RouteDelta::between(&old, &new);
        let sorted = |mut it: RoutingConfig| {
            it.routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
            it.teams.sort_by(|a, b| a.name.cmp(&b.name));
            it
        };
        prop_assert_eq!(delta.apply(&old).map(sorted), Ok(sorted(new.clone())));
        prop_assert!(delta.apply(&new).is_err());
    }
}
