//! Metrics of a router.

use {
    crate::shared::Shared,
    model::Refusal,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge},
    },
    wire::TrafficClass,
};

/// The metrics of this process.
pub(crate) struct Metrics {
    telemetry: telemetry::Metrics,
    started: Counter<u64>,
    refused: Counter<u64>,
    spilled: Counter<u64>,
    state: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new(telemetry: telemetry::Metrics) -> Metrics {
        let meter = telemetry::meter("router");
        Metrics {
            telemetry,
            started: meter.u64_counter("requests_started").build(),
            refused: meter.u64_counter("requests_refused").build(),
            spilled: meter.u64_counter("requests_spilled").build(),
            state: meter.u64_gauge("router_state").build(),
        }
    }

    /// Counts a validated request.
    pub(crate) fn record_started(&self) {
        self.started.add(1, &[]);
    }

    /// Counts a refusal, labelled with its outcome and reason.
    pub(crate) fn record_refused(&self, refusal: &Refusal) {
        let outcome = KeyValue::new("outcome", refusal.outcome.to_string());
        let reason = KeyValue::new("reason", refusal.reason.to_string());
        self.refused.add(1, &[outcome, reason]);
    }

    /// Counts an attempt that the owner rejected because the endpoint had no capacity.
    pub(crate) fn record_spilled(&self) {
        self.spilled.add(1, &[]);
    }

    /// Updates the gauges and renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self, shared: &Shared) -> String {
        self.observe(shared);
        self.telemetry.page()
    }

    fn observe(&self, shared: &Shared) {
        let view = shared.view();
        let traffic = &shared.dialer.traffic;
        let now = shared.clock.now();
        self.gauge("revision", view.config.revision.0);
        self.gauge("epoch", view.roster.epoch.0);
        self.gauge("lease_valid", u64::from(shared.owned.lock().membership.lease().is_valid(now)));
        self.gauge("control_bytes_sent", traffic.sent(TrafficClass::Control));
        self.gauge("control_bytes_received", traffic.received(TrafficClass::Control));
        self.gauge("forward_bytes_sent", traffic.sent(TrafficClass::Forward));
        self.gauge("forward_bytes_received", traffic.received(TrafficClass::Forward));
        self.gauge("requests_running", shared.running_count());
        let sums = shared.owned.lock().load_sums();
        for sum in sums {
            let service = KeyValue::new("service", sum.service.to_string());
            self.state.record(sum.sum.0, &[KeyValue::new("value", "owned_load"), service.clone()]);
            self.state.record(
                u64::from(sum.count),
                &[KeyValue::new("value", "owned_endpoints"), service],
            );
        }
    }

    fn gauge(&self, value: &'static str, reading: u64) {
        self.state.record(reading, &[KeyValue::new("value", value)]);
    }
}
