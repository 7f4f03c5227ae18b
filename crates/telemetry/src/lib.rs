//! Logging and metrics, initialized once per process.
//!
//! Log lines are written to standard output without blocking the caller. Metrics are recorded with `opentelemetry` and
//! exported in the Prometheus text format, which each process serves on its admin address. All metric names start with
//! `jasminefront_`.

mod log;
mod metrics;

pub use crate::metrics::{Metrics, meter};

use {eyre::Result, settings::LogSettings};

/// Initializes logging and metrics. If the process already has a `tracing` subscriber, that one is kept.
///
/// # Errors
///
/// The metrics exporter cannot be registered.
pub fn init(settings: &LogSettings) -> Result<Metrics> {
    log::init(settings);
    Metrics::init()
}
