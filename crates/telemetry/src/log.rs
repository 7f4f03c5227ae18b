//! Log lines by `tracing`, to standard error.

use {
    settings::{LogFormat, LogLevel, LogSettings},
    std::io::stderr,
    tracing::level_filters::LevelFilter,
    tracing_subscriber::fmt,
};

pub(crate) fn open(settings: &LogSettings) {
    let builder = fmt().with_writer(stderr).with_target(false).with_max_level(level(settings));
    let started = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if started.is_err() {
        tracing::debug!("telemetry: this process logs already");
    }
}

fn level(settings: &LogSettings) -> LevelFilter {
    match settings.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    }
}
