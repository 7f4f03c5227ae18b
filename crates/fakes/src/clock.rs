//! Simulated clocks that drift apart.

use model::Time;

/// The monotonic clock of one process, with an offset and a drift relative to true time.
#[derive(Clone, Copy, Debug)]
pub struct DriftingClock {
    /// The clock's reading at true time zero.
    pub offset: Time,
    /// How much faster than true time the clock runs, in parts per million; negative if it runs
    /// slower.
    pub drift_ppm: i32,
}

impl DriftingClock {
    /// Returns the clock's reading at a true time.
    pub fn at(&self, true_time: Time) -> Time {
        let drift = i128::from(true_time.0) * i128::from(self.drift_ppm) / 1_000_000;
        self.offset + (i128::from(true_time.0) + drift).max(0) as u64
    }
}
