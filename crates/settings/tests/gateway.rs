//! Tests the settings of a gateway that only some deployments have.

use {
    model::Domain,
    rstest::rstest,
    settings::{ColdSettings, GatewaySettings, SettingsError, parse},
    std::path::Path,
};

const MINIMAL: &str = r#"
host = "edge-1"
domain = "prg-a"
listen = "127.0.0.1:8080"
inner = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
control = ["127.0.0.1:9001"]
"#;

fn gateway(rest: &str) -> Result<GatewaySettings, SettingsError> {
    parse(Path::new("gateway.toml"), &format!("{MINIMAL}{rest}"))
}

/// Guards against a new field that existing files must have.
#[test]
fn regions_and_cold_limits_are_optional() {
    let settings = gateway("").expect("refused");
    assert!(settings.regions.is_empty());
    assert_eq!(settings.cold, ColdSettings { over: 1.0, slack: 0.0 });
}

#[test]
fn regions_are_given_by_domain() {
    let settings = gateway("[regions]\nprg-a = \"cz\"\n\"fra.1\" = \"de\"\n").expect("refused");
    let region = |it: &str| settings.regions.get(&Domain(it.into())).map(|it| &**it);
    assert_eq!((region("prg-a"), region("fra.1"), region("x")), (Some("cz"), Some("de"), None));
}

#[rstest]
#[case::empty_region("[regions]\nprg-a = \"\"", "regions: expected non-empty names")]
#[case::empty_domain("[regions]\n\"\" = \"cz\"", "regions: expected non-empty names")]
#[case::no_name("[regions]\nprg-a = 1", "regions.prg-a: invalid type")]
#[case::zero_over("[cold]\nover = 0", "gateway.toml:9: cold.over: expected more than 0")]
#[case::endless_over("[cold]\nover = inf", "cold.over: expected more than 0")]
#[case::negative_slack("[cold]\nslack = -1", "cold.slack: expected at least 0")]
#[case::unknown_slack("[cold]\nslack = nan", "cold.slack: expected at least 0")]
#[case::unknown_key("[cold]\nunder = 1", "cold.under: unknown field `under`")]
fn invalid_values_are_refused(#[case] rest: &str, #[case] expected: &str) {
    let line = gateway(rest).expect_err("accepted").to_string();
    assert!(line.contains(expected), "{line}");
}
