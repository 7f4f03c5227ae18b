//! Log lines by `tracing`, to standard output.
//!
//! A line is handed to a thread of its own and never waited for; lines beyond the rate that settings allow, or for
//! which that thread has no room, are dropped, counted, and reported once there is room again.

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

/// Lines that wait for the thread that writes them: a second at the usual rate.
const MAX_WAITING: usize = 4_096;

/// How much more than a second's bytes may be written at once: what a fault makes many requests say together.
const BURST_SECONDS: f64 = 4.0;

/// Keeps the thread that writes; what waits is written when the process ends.
static WORKER: OnceLock<WorkerGuard> = OnceLock::new();

pub(crate) fn init(settings: &LogSettings) {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING)
        .lossy(true)
        .finish(stdout());
    let bounded = Bounded::new(writer, settings.bytes_per_second);
    let builder = tracing_subscriber::fmt()
        .with_writer(bounded)
        .with_target(false)
        .with_max_level(level(settings));
    let started = match settings.format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    match started {
        Ok(()) => drop(WORKER.set(worker)),
        Err(_) => tracing::debug!("telemetry: this process logs already"),
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

/// Passes lines on as long as their bytes are within a rate.
#[derive(Clone, Debug)]
struct Bounded {
    #[debug(skip)]
    inner: NonBlocking,
    rate: f64,
    bucket: Arc<Mutex<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    bytes: f64,
    filled: Instant,
    dropped: u64,
}

impl Bounded {
    #[allow(clippy::disallowed_methods, reason = "logging reads the clock")]
    fn new(inner: NonBlocking, bytes_per_second: u64) -> Bounded {
        let rate = bytes_per_second as f64;
        let bucket = Bucket { bytes: rate * BURST_SECONDS, filled: Instant::now(), dropped: 0 };
        Bounded { inner, rate, bucket: Arc::new(Mutex::new(bucket)) }
    }

    /// Takes leave to write a line; returns how many lines were dropped before it, or nothing if it is dropped.
    #[allow(clippy::disallowed_methods, reason = "logging reads the clock")]
    fn take(&self, line: usize) -> Option<u64> {
        let mut bucket = self.bucket.lock();
        let now = Instant::now();
        let filled = now.duration_since(bucket.filled).as_secs_f64() * self.rate;
        bucket.bytes = (bucket.bytes + filled).min(self.rate * BURST_SECONDS);
        bucket.filled = now;
        if bucket.bytes < line as f64 {
            bucket.dropped += 1;
            return None;
        }
        bucket.bytes -= line as f64;
        Some(std::mem::take(&mut bucket.dropped))
    }
}

impl Write for Bounded {
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        match self.take(line.len()) {
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

impl<'a> MakeWriter<'a> for Bounded {
    type Writer = Bounded;

    fn make_writer(&'a self) -> Bounded {
        self.clone()
    }
}
