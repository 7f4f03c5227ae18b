//! Instants on the monotonic clock of a process.
//!
//! Decision code stores instants and deadlines rather than durations, and never reads a clock:
//! `now` is always an argument.

use {
    derive_more::{Debug, Display},
    serde::{Deserialize, Serialize},
    std::ops::Add,
};

/// The number of microseconds in a millisecond.
pub const MILLISECOND: u64 = 1_000;

/// The number of microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// An instant on the monotonic clock of one process, in microseconds.
///
/// Instants of different processes cannot be compared; messages carry the remaining time instead.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Debug,
    Display,
)]
#[debug("{_0}us")]
#[display("{_0}us")]
pub struct Time(pub u64);

impl Time {
    /// An instant that is never reached, used as "no deadline".
    pub const NEVER: Time = Time(u64::MAX);

    /// Returns the microseconds from `earlier` to this instant, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant `micros` microseconds earlier, saturating at the zero of the clock.
    pub fn saturating_sub(self, micros: u64) -> Time {
        Time(self.0.saturating_sub(micros))
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// Returns the instant `micros` microseconds later, saturating at the maximum.
    fn add(self, micros: u64) -> Time {
        Time(self.0.saturating_add(micros))
    }
}
