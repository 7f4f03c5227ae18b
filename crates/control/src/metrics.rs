//! Metrics of a control replica.

use {
    crate::control::Shared,
    opentelemetry::{KeyValue, metrics::Gauge},
    wire::TrafficClass,
};

/// The gauges of this replica.
pub(crate) struct Metrics {
    telemetry: telemetry::Metrics,
    state_gauge: Gauge<u64>,
}

impl Metrics {
    /// Registers the gauges.
    pub(crate) fn new(telemetry: telemetry::Metrics) -> Metrics {
        let state_gauge = telemetry::meter("control").u64_gauge("control_state").build();
        Metrics { telemetry, state_gauge }
    }

    /// Records the current values and returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self, shared: &Shared) -> String {
        for (name, value) in state_values(shared) {
            self.state_gauge.record(value, &[KeyValue::new("value", name)]);
        }
        self.telemetry.render()
    }
}

fn state_values(shared: &Shared) -> [(&'static str, u64); 16] {
    let origins = shared.origins.counts();
    let progress = *shared.order_progress.lock();
    let (revision, epoch, routers, claims, evacuations, protocol) = shared.log.with_state(|it| {
        let roster = it.rosters.current();
        let revision = it.intents.config().revision.0;
        let evacuations = it.evacuations().active().len() as u64;
        let (routers, claims) = (roster.routers.len() as u64, it.ledger.len() as u64);
        (revision, roster.epoch.0, routers, claims, evacuations, u64::from(it.section.protocol))
    });
    [
        ("leads", shared.log.is_leader().into()),
        ("votes", shared.log.is_voter().into()),
        ("revision", revision),
        ("epoch", epoch),
        ("routers", routers),
        ("claims", claims),
        ("evacuations", evacuations),
        ("protocol", protocol),
        ("orders_due", progress.pending as u64),
        ("control_bytes_sent", shared.traffic.sent(TrafficClass::Control)),
        ("control_bytes_received", shared.traffic.received(TrafficClass::Control)),
        ("origins_kept", shared.origins.len() as u64),
        ("origin_messages", origins.messages),
        ("origin_answers", origins.answers),
        ("origin_malformed", origins.malformed),
        ("origin_unsent", origins.unsent),
    ]
}
