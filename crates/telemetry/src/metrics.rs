//! Metrics recorded with `opentelemetry` and exported in the Prometheus text format.

use {
    derive_more::Debug,
    eyre::{Result, WrapErr},
    opentelemetry::{global, metrics::Meter},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
};

const NAMESPACE: &str = "jasminefront";

/// The metrics of this process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    #[debug(skip)]
    _provider: SdkMeterProvider,
}

impl Metrics {
    pub(crate) fn init() -> Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .wrap_err("telemetry: cannot register the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        global::set_meter_provider(provider.clone());
        Ok(Metrics { registry, _provider: provider })
    }

    /// Returns all metrics in the Prometheus text format, one sample per line.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!("telemetry: cannot encode the metrics: {err}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Returns the meter of a component of this process. Call it after [`init`](crate::init).
pub fn meter(component: &'static str) -> Meter {
    global::meter(component)
}
