//! Logging with `tracing` to standard output.
//!
//! A separate thread writes the lines, so that logging never blocks. Lines that exceed the rate of the settings are
//! dropped and counted, and the count is reported before the next line within the rate. Lines that do not fit in the
//! queue of the writer thread are dropped as well.

use {
    derive_more::Debug,
    parking_lot::Mutex,
    settings::{LogFormat, LogLevel, LogSettings},
    std::{
        io::{Result, Write, stdout},
        sync::{Arc, OnceLock},
        time::Instant,
    },
    tracing::level_filters::LevelFilter,
    tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::fmt::MakeWriter,
};

/// Capacity of the queue of the writer thread, in lines: one second at the usual rate.
const MAX_QUEUED_LINES: usize = 4_096;

/// Size of a burst, in seconds of the allowed rate. A fault makes many requests log at the same time.
const BURST_SECONDS: f64 = 4.0;

/// Keeps the writer thread running. Dropping the guard would stop it after it has written the queued lines.
static WRITER_GUARD: OnceLock<WorkerGuard> = OnceLock::new();

pub(crate) fn init(settings: &LogSettings) {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(stdout());
    let limited_writer = RateLimitedWriter::new(writer, settings.bytes_per_second);
    let builder = tracing_subscriber::fmt()
        .with_writer(limited_writer)
        .with_target(false)
        .with_max_level(level_filter(settings));
    let result = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    match result {
        Ok(()) => drop(WRITER_GUARD.set(guard)),
        Err(_) => tracing::debug!("telemetry: logging is already initialized"),
    }
}

fn level_filter(settings: &LogSettings) -> LevelFilter {
    match settings.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    }
}

/// A writer that forwards lines within a byte rate and drops the others.
#[derive(Clone, Debug)]
struct RateLimitedWriter {
    #[debug(skip)]
    inner: NonBlocking,
    bytes_per_second: f64,
    bucket: Arc<Mutex<TokenBucket>>,
}

#[derive(Debug)]
struct TokenBucket {
    available_bytes: f64,
    refilled_at: Instant,
    dropped_lines: u64,
}

impl RateLimitedWriter {
    #[allow(clippy::disallowed_methods, reason = "logging reads the clock")]
    fn new(inner: NonBlocking, bytes_per_second: u64) -> RateLimitedWriter {
        let bytes_per_second = bytes_per_second as f64;
        let bucket = TokenBucket {
            available_bytes: bytes_per_second * BURST_SECONDS,
            refilled_at: Instant::now(),
            dropped_lines: 0,
        };
        RateLimitedWriter { inner, bytes_per_second, bucket: Arc::new(Mutex::new(bucket)) }
    }

    /// Takes the bytes of a line from the bucket. Returns the number of lines dropped since the last forwarded one, or
    /// `None` if this line must be dropped.
    #[allow(clippy::disallowed_methods, reason = "logging reads the clock")]
    fn try_take(&self, line_bytes: usize) -> Option<u64> {
        let mut bucket = self.bucket.lock();
        let now = Instant::now();
        let refill = now.duration_since(bucket.refilled_at).as_secs_f64() * self.bytes_per_second;
        bucket.available_bytes =
            (bucket.available_bytes + refill).min(self.bytes_per_second * BURST_SECONDS);
        bucket.refilled_at = now;
        if bucket.available_bytes < line_bytes as f64 {
            bucket.dropped_lines += 1;
            return None;
        }
        bucket.available_bytes -= line_bytes as f64;
        Some(std::mem::take(&mut bucket.dropped_lines))
    }
}

impl Write for RateLimitedWriter {
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        match self.try_take(line.len()) {
            None => {}
            Some(0) => drop(self.inner.write(line)?),
            Some(dropped) => {
                let report = format!("{{\"event\":\"lines-dropped\",\"lines\":{dropped}}}\n");
                let _ = self.inner.write(report.as_bytes())?;
                let _ = self.inner.write(line)?;
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> Result<()> {
        self.inner.flush()
    }
}

impl<'a> MakeWriter<'a> for RateLimitedWriter {
    type Writer = RateLimitedWriter;

    fn make_writer(&'a self) -> RateLimitedWriter {
        self.clone()
    }
}
