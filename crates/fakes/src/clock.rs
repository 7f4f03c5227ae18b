//! Clocks of different processes, drifting apart.

use model::Time;

/// The monotonic clock of one process: another zero and another rate than true time.
#[derive(Clone, Copy, Debug)]
pub struct DriftingClock {
    /// What it showed at true time zero.
    pub offset: Time,
    /// How much faster than true time it runs, in millionths; may be negative.
    pub drift_ppm: i32,
}

impl DriftingClock {
    /// What it shows at a true time.
    pub fn at(&self, truth: Time) -> Time {
        let gained = i128::from(truth.0) * i128::from(self.drift_ppm) / 1_000_000;
        self.offset + (i128::from(truth.0) + gained).max(0) as u64
    }
}
