//! Instants on one process's monotonic clock.
//!
//! Decision code stores instants and deadlines, never durations, and never reads a clock: `now` is an argument.

use {
    derive_more::{Debug, Display},
    serde::{Deserialize, Serialize},
    std::ops::Add,
};

/// Microseconds in a millisecond.
pub const MILLISECOND: u64 = 1_000;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

/// An instant in microseconds on the monotonic clock of one process.
///
/// Instants of different processes cannot be compared; what travels is the time that remains.
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
    /// The instant that no clock reaches.
    pub const NEVER: Time = Time(u64::MAX);

    /// The microseconds from `earlier` to this instant, zero if it is not earlier.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// This instant moved back by `micros`, at the earliest the clock's zero.
    pub fn saturating_sub(self, micros: u64) -> Time {
        Time(self.0.saturating_sub(micros))
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// The instant `micros` microseconds later.
    fn add(self, micros: u64) -> Time {
        Time(self.0.saturating_add(micros))
    }
}
