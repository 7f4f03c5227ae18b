//! The monotonic clock of the process.

use {model::Time, std::time::Instant};

/// A monotonic clock that returns the [`Time`] since its origin. Copies share the origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose origin is one second ago, so that the current time is never zero.
    pub fn start() -> Clock {
        let now = Instant::now();
        Clock { origin: now.checked_sub(std::time::Duration::from_secs(1)).unwrap_or(now) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        Time(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the instant of the tokio timer that corresponds to `at`, at most 30 days from now.
    pub fn deadline(&self, at: Time) -> tokio::time::Instant {
        let max_delay = std::time::Duration::from_secs(86_400 * 30);
        let since_origin =
            std::time::Duration::from_micros(at.0).min(self.origin.elapsed() + max_delay);
        tokio::time::Instant::from_std(self.origin + since_origin)
    }
}
