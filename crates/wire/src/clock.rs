//! The monotonic clock of this process.

use {model::Time, std::time::Instant};

/// Reads the monotonic clock as [`Time`] since the clock was made; copies share their zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    /// Returns a clock whose zero is one second ago, so that no instant is zero.
    pub fn start() -> Clock {
        let now = Instant::now();
        Clock { zero: now.checked_sub(std::time::Duration::from_secs(1)).unwrap_or(now) }
    }

    /// Returns the present instant.
    pub fn now(&self) -> Time {
        Time(self.zero.elapsed().as_micros() as u64)
    }

    /// Returns the instant of the tokio timer that corresponds to `at`.
    pub fn deadline(&self, at: Time) -> tokio::time::Instant {
        let far = std::time::Duration::from_secs(86_400 * 30);
        let from_zero = std::time::Duration::from_micros(at.0).min(self.zero.elapsed() + far);
        tokio::time::Instant::from_std(self.zero + from_zero)
    }
}
