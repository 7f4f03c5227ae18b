//! Metrics of a gateway.

use {
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
    std::sync::OnceLock,
};

/// Counters and histograms, created on first use, when telemetry has been initialized.
#[derive(Default)]
pub(crate) struct Metrics {
    instruments: OnceLock<Instruments>,
}

struct Instruments {
    requests: Counter<u64>,
    sends: Counter<u64>,
    first_byte: Histogram<f64>,
    cold: Counter<u64>,
    evacuated: Gauge<u64>,
}

impl Metrics {
    fn instruments(&self) -> &Instruments {
        self.instruments.get_or_init(|| {
            let meter = telemetry::meter("gateway");
            Instruments {
                requests: meter.u64_counter("gateway_requests").build(),
                sends: meter.u64_counter("gateway_sends").build(),
                cold: meter.u64_counter("gateway_cold_endpoints").build(),
                evacuated: meter.u64_gauge("gateway_evacuated_domains").build(),
                first_byte: meter.f64_histogram("gateway_first_byte_ms").build(),
            }
        })
    }

    /// Counts a request by its outcome.
    pub(crate) fn record_request(&self, outcome: &'static str) {
        self.instruments().requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a send to an endpoint by its outcome.
    pub(crate) fn record_send(&self, ending: &'static str) {
        self.instruments().sends.add(1, &[KeyValue::new("ending", ending)]);
    }

    /// Counts an endpoint that begins or ceases to be believed cold, by the source of the belief.
    pub(crate) fn record_cold(&self, source: String, change: &'static str) {
        let labels = [KeyValue::new("source", source), KeyValue::new("change", change)];
        self.instruments().cold.add(1, &labels);
    }

    /// Records the number of evacuated domains.
    pub(crate) fn record_evacuated(&self, domains: usize) {
        self.instruments().evacuated.record(domains as u64, &[]);
    }

    /// Records the time to the first byte of a response, in milliseconds.
    pub(crate) fn record_first_byte(&self, millis: f64) {
        self.instruments().first_byte.record(millis, &[]);
    }
}
