//! Tests what operators are told of a configuration before it is published.

mod common;

use {
    crate::common::{any_config, config, route},
    model::Digest,
    proptest::prelude::*,
    route::{ColdStart, Engine, Finding, RouteKind, RoutingConfig, Severity},
    rstest::rstest,
    smallvec::smallvec,
};

/// Returns the findings about a configuration without differences, one a line.
fn findings(config: &RoutingConfig) -> Vec<String> {
    let findings = config.review(None);
    findings.iter().map(|it| format!("{}: {it}", it.severity())).collect()
}

/// A configuration about which there is nothing to say.
fn sound() -> RoutingConfig {
    let mut config = config(1);
    config.routes[0].prefix = "/z/".into();
    config
}

#[test]
fn nothing_is_said_of_a_sound_config() {
    assert_eq!(findings(&sound()), [""; 0]);
}

#[rstest]
#[case::covered_route(|it: &mut RoutingConfig| {
    it.routes[0].prefix = "/".into();
    it.routes.push(route("a", "/q/", "s"));
}, "warning: route a/q/ has no effect: route a/ covers its prefix and is the same otherwise")]
#[case::upper_case_host(|it: &mut RoutingConfig| it.routes[0].host = "A".into(),
    "warning: route a/ matches no request: its host \"A\" is not in lower case or has a port")]
#[case::host_with_port(|it: &mut RoutingConfig| it.routes[0].host = "a:80".into(),
    "warning: route a/ matches no request: its host \"a:80\" is not in lower case or has a port")]
#[case::query_in_prefix(|it: &mut RoutingConfig| it.routes[0].prefix = "/a?b/".into(),
    "warning: route a/ matches no request: no path begins with \"/a?b/\"")]
#[case::unrouted_service(|it: &mut RoutingConfig| it.routes[1].split[0].service = "s".into(),
    "warning: service t gets no request: no route has it with a weight")]
#[case::team_without_keys(|it: &mut RoutingConfig| it.teams[0].keys.clear(),
    "warning: team one has no keys, so no request belongs to it")]
#[case::disjoint_regions(|it: &mut RoutingConfig| {
    it.routes[0].regions = smallvec!["north".into()];
    it.teams[1].regions = smallvec!["south".into()];
}, "warning: route a/ and team two allow no region in common, so all such requests are refused")]
#[case::late_target(|it: &mut RoutingConfig| it.routes[0].target_ms = 1_001,
    "warning: route a/: the target time is longer than the timeout")]
#[case::late_gap(|it: &mut RoutingConfig| {
    it.routes[0].kind = RouteKind::Stream;
    it.routes[0].gap_ms = 1_001;
}, "warning: route a/: the target between two events is longer than the timeout")]
#[case::gap_without_events(|it: &mut RoutingConfig| it.routes[0].gap_ms = 1,
    "warning: route a/: the target between two events applies to streams only")]
#[case::resumable_read(|it: &mut RoutingConfig| it.routes[0].resumable = true,
    "warning: route a/: only streams can be resumable")]
#[case::few_connections(|it: &mut RoutingConfig| {
    it.services[0].engine = Some(Engine { slots: 11, kv_tokens: 1, kv_bytes: 1 });
}, "warning: service s: an endpoint accepts fewer connections than its engine has slots")]
#[case::half_cold(|it: &mut RoutingConfig| {
    it.services[0].cold = Some(ColdStart { start_ms: 1.0, rate: 0.0 });
}, "warning: service s: its endpoints are never cold, as only one of the time and the rate is set")]
#[case::no_bodies(|it: &mut RoutingConfig| it.limits.body_bytes = 0,
    "warning: limits: every request with a body is refused")]
#[case::invalid(|it: &mut RoutingConfig| it.routes[0].timeout_ms = 0,
    "error: the timeout of route a/ is zero")]
fn each_doubt_is_found(#[case] change: fn(&mut RoutingConfig), #[case] expected: &str) {
    let mut config = sound();
    change(&mut config);
    let findings = findings(&config);
    assert!(findings.contains(&expected.to_owned()), "{findings:#?}");
}

/// Guards against an operator who has to send a file again and again to find all errors.
#[test]
fn all_errors_are_reported() {
    let mut config = sound();
    config.routes[0].timeout_ms = 0;
    config.routes[1].prefix = "x".into();
    config.teams[1].keys.push(Digest::of(b"k1"));
    config.services[0].cold = Some(ColdStart { start_ms: -1.0, rate: 1.0 });
    let findings = config.review(None);
    let errors = findings.iter().filter(|it| it.severity() == Severity::Error).count();
    assert_eq!(errors, 4, "{findings:#?}");
}

#[test]
fn differences_from_the_version_in_force_are_reported() {
    let old = sound();
    let mut new = sound();
    new.version = 2;
    new.routes[0].timeout_ms = 2_000;
    new.routes[1].prefix = "/new/".into();
    new.services[0].cold = Some(ColdStart { start_ms: 500.0, rate: 8.0 });
    new.limits.idle_ms = 1;
    new.teams[0].keys = vec![Digest::of(b"k1"), Digest::of(b"k3")];
    let findings: Vec<_> = new.review(Some(&old)).iter().map(ToString::to_string).collect();
    let expected = [
        "limits: idle_ms changes from 15000 to 1",
        "route a/: timeout_ms changes from 1000 to 2000",
        "route a/x/ is added",
        "route a/x/ is removed",
        "service s: cold changes from None to Some(ColdStart { start_ms: 500.0, rate: 8.0 })",
        "team one: keys changes from 2 keys to 2 keys, 1 of them kept",
    ];
    assert_eq!(findings, expected);
}

#[test]
fn a_version_that_is_not_newer_is_an_error() {
    let findings = sound().review(Some(&sound()));
    assert_eq!(findings, [Finding::NotNewer { version: 1, in_force: 1 }]);
    assert_eq!(findings[0].severity(), Severity::Error);
}

proptest! {
    /// The review must not call a configuration valid that control refuses, nor the reverse.
    #[test]
    fn errors_are_those_of_the_check(config in any_config(1)) {
        let findings = config.review(None);
        let is_valid = findings.iter().all(|it| it.severity() < Severity::Error);
        prop_assert_eq!(is_valid, config.check().is_ok());
    }

    #[test]
    fn equal_configs_do_not_differ(old in any_config(1), new in any_config(1)) {
        prop_assert!(old.changes_to(&old).is_empty());
        prop_assert_eq!(old.changes_to(&new).is_empty(), old == new);
    }
}
