//! Logs and metrics, set up once for each process.
//!
//! Log lines go to standard output and never block. Metrics are kept by `opentelemetry` and read as a Prometheus page, which each
//! process serves on its admin address; all names start with `jasminefront_`.

mod log;
mod metrics;

pub use crate::metrics::{Metrics, meter};

use {eyre::Result, settings::LogSettings};

/// Starts logging and metrics. A subscriber that this process already has is kept.
///
/// # Errors
///
/// The metrics exporter cannot be registered.
pub fn init(settings: &LogSettings) -> Result<Metrics> {
    log::init(settings);
    Metrics::init()
}
