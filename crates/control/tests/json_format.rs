//! Tests the default format of configurations.

use {
    control::{JsonFormat, RoutingConfigFormat},
    route::{CallerLimits, RoutingConfig},
};

/// Text in fields that are skipped is part of the document that operators read back.
#[test]
fn document_that_is_not_utf8_is_refused_unless_it_is_committed() {
    let limits = CallerLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    let config = RoutingConfig {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits,
        teams: Vec::new(),
    };
    let mut document = serde_json::to_vec(&config).unwrap();
    assert_eq!(document.pop(), Some(b'}'));
    let with_note = |note: &[u8]| [&document, b", \"note\": \"" as &[u8], note, b"\"}"].concat();
    assert!(JsonFormat.decode(&with_note(b"x")).is_ok());
    assert!(JsonFormat.decode(&with_note(b"\xff")).is_err());
    assert!(JsonFormat.decode_committed(&with_note(b"\xff")).is_ok());
}
