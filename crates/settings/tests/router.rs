//! Tests that valid router settings are accepted, and invalid ones rejected with one line that names the file, the key
//! and the expected value.

use {
    proptest::{collection::vec, prelude::*},
    rstest::rstest,
    settings::{RouterSettings, Routing, SettingsError, load, parse},
    std::path::Path,
};

const VALID: &str = r#"
host = "entry-1"
domain = "prg-a"
listen = "127.0.0.1:8080"
inner = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
control = ["127.0.0.1:9001", "127.0.0.1:9002"]
routing = "least-reported"

[limits]
body-bytes = 1048576

[log]
level = "warn"
format = "json"
"#;

fn router(text: &str) -> Result<RouterSettings, SettingsError> {
    parse(Path::new("router.toml"), text)
}

#[test]
fn valid_settings_are_accepted() {
    let settings = router(VALID).unwrap();
    assert_eq!(settings.routing, Routing::LeastReported);
    assert_eq!(settings.limits.body_bytes, 1 << 20);
    assert_eq!(settings.limits.deadline_default_ms, 120_000);
}

#[rstest]
#[case::unknown_key("host =", "hots = 'x'\nhost =", "router.toml:2: hots: unknown field `hots`")]
#[case::unknown_nested_key(
    "body-bytes",
    "body",
    "router.toml:11: limits.body: unknown field `body`"
)]
#[case::missing_key("domain = \"prg-a\"", "", "domain: missing field `domain`")]
#[case::wrong_type("1048576", "'big'", "router.toml:11: limits.body-bytes: invalid type")]
#[case::invalid_addr("127.0.0.1:8081", "localhost", "router.toml:5: inner: invalid socket address")]
#[case::unknown_variant(
    "least-reported",
    "random",
    "router.toml:8: routing: unknown variant `random`"
)]
#[case::duplicate_key("domain =", "host =", "router.toml:3: host: duplicate key")]
#[case::not_toml("[limits]", "[limits", "router.toml:10")]
#[case::out_of_range("1048576", "0", "router.toml:11: limits.body-bytes: expected 1 to 16777216")]
#[case::duplicate_addr("9002", "9001", "router.toml:7: control: expected distinct addresses")]
fn errors_are_reported_on_one_line(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let line = router(&VALID.replace(from, to)).unwrap_err().to_string();
    assert!(line.contains(expected), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
}

#[test]
fn a_missing_file_is_reported() {
    let line = load::<RouterSettings>(Path::new("no-such.toml")).unwrap_err().to_string();
    assert!(line.starts_with("no-such.toml:0: file: expected a readable file"), "{line}");
}

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Any bytes yield settings or a one-line error.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..400)) {
        if let Err(err) = router(&String::from_utf8_lossy(&bytes)) {
            prop_assert_eq!(err.to_string().lines().count(), 1);
        }
    }

    /// A valid file with one range overwritten yields settings or a one-line error.
    #[test]
    fn a_damaged_file_never_panics(
        start in 0..VALID.len(),
        text in r"(\\n|[\PC\n\r]){0,12}",
        length in 0..20usize,
    ) {
        let end = (start + length).min(VALID.len());
        let damaged = format!("{}{text}{}", &VALID[..start], &VALID[end..]);
        if let Err(err) = router(&damaged) {
            prop_assert_eq!(err.to_string().lines().count(), 1);
        }
    }
}
