//! Limits how often a line is logged.

use {parking_lot::Mutex, std::time::Duration, tokio::time::Instant};

/// The minimum interval between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Admits a log line a second, and counts those that it suppresses.
#[derive(Debug, Default)]
pub(crate) struct LogThrottle(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    next_at: Option<Instant>,
    suppressed: u64,
}

impl LogThrottle {
    /// Returns the number of events since the last line, this one included, or `None` if no line may be logged now.
    pub(crate) fn admit(&self) -> Option<u64> {
        let mut state = self.0.lock();
        let now = Instant::now();
        state.suppressed += 1;
        if state.next_at.is_some_and(|it| now < it) {
            return None;
        }
        state.next_at = Some(now + LOG_INTERVAL);
        Some(std::mem::take(&mut state.suppressed))
    }
}
