//! Metrics of a gateway.

use {
    dispatch::Cause,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram},
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
    refusals: Counter<u64>,
    first_byte: Histogram<f64>,
}

impl Metrics {
    fn instruments(&self) -> &Instruments {
        self.instruments.get_or_init(|| {
            let meter = telemetry::meter("gateway");
            Instruments {
                requests: meter.u64_counter("gateway_requests").build(),
                sends: meter.u64_counter("gateway_sends").build(),
                refusals: meter.u64_counter("gateway_capacity_refusals").build(),
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

    /// Counts a request for which there is no capacity by the cause of its refusal.
    pub(crate) fn record_refusal(&self, cause: Cause) {
        self.instruments().refusals.add(1, &[KeyValue::new("cause", cause.to_string())]);
    }

    /// Records the time to the first byte of a response, in milliseconds.
    pub(crate) fn record_first_byte(&self, millis: f64) {
        self.instruments().first_byte.record(millis, &[]);
    }
}
