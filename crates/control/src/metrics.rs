//! What a replica shows on its metrics page.

use {
    crate::control::Shared,
    opentelemetry::{KeyValue, metrics::Gauge},
    wire::TrafficClass,
};

/// The gauges of this process.
pub(crate) struct Metrics {
    telemetry: telemetry::Metrics,
    state: Gauge<u64>,
}

impl Metrics {
    /// Registers the gauges.
    pub(crate) fn new(telemetry: telemetry::Metrics) -> Metrics {
        let state = telemetry::meter("control").u64_gauge("control_state").build();
        Metrics { telemetry, state }
    }

    /// Returns the Prometheus page.
    pub(crate) fn page(&self, shared: &Shared) -> String {
        for (name, value) in values(shared) {
            self.state.record(value, &[KeyValue::new("value", name)]);
        }
        self.telemetry.page()
    }
}

fn values(shared: &Shared) -> [(&'static str, u64); 9] {
    let orders = *shared.orders.lock();
    let (revision, epoch, routers, claims) = shared.log.with(|it| {
        let roster = it.rosters.current();
        let revision = it.intents.config().revision.0;
        (revision, roster.epoch.0, roster.routers.len() as u64, it.ledger.len() as u64)
    });
    [
        ("leads", shared.log.leads().into()),
        ("votes", shared.log.votes().into()),
        ("revision", revision),
        ("epoch", epoch),
        ("routers", routers),
        ("claims", claims),
        ("orders_due", orders.pending as u64),
        ("control_bytes_sent", shared.traffic.sent(TrafficClass::Control)),
        ("control_bytes_received", shared.traffic.received(TrafficClass::Control)),
    ]
}
