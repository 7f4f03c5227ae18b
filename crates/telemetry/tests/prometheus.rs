//! What is counted can be read on the page.

use {opentelemetry::KeyValue, settings::LogSettings};

#[test]
fn a_counter_stands_on_the_page() {
    let metrics = telemetry::init(&LogSettings::default()).unwrap();
    let refusals = telemetry::meter("router").u64_counter("refusals").build();
    refusals.add(3, &[KeyValue::new("reason", "overloaded")]);
    let page = metrics.render();
    assert!(page.contains("jasminefront_refusals_total{reason=\"overloaded\"} 3"), "{page}");
}
