//! Tests that recorded metrics appear in the Prometheus output.

use {opentelemetry::KeyValue, settings::LogSettings};

#[test]
fn a_counter_appears_in_the_prometheus_output() {
    let metrics = telemetry::init(&LogSettings::default()).unwrap();
    let refusals = telemetry::meter("router").u64_counter("refusals").build();
    refusals.add(3, &[KeyValue::new("reason", "overloaded")]);
    let text = metrics.render();
    assert!(text.contains("jasminefront_refusals_total{reason=\"overloaded\"} 3"), "{text}");
}
