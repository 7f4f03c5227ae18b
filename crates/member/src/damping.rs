//! Holds back what comes and goes until it has settled.

use model::{SECOND, Time};

/// How long something must stay up after its first fall, in microseconds; doubled by each further one.
const SETTLE: u64 = 2 * SECOND;

/// The longest that something must stay up, in microseconds.
const LONGEST: u64 = 64 * SECOND;

/// After so long without a fall all falls are forgotten, in microseconds.
const FORGET: u64 = 600 * SECOND;

/// Whether a router or an endpoint that comes and goes may be counted on.
///
/// A fall counts at once. A rise counts at once the first time, and after a wait that doubles with each fall.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlapDamping {
    up: bool,
    falls: u32,
    /// When it last fell or rose.
    changed: Time,
}

impl FlapDamping {
    /// Takes what was seen.
    pub fn observe(&mut self, now: Time, up: bool) {
        if self.up == up {
            return;
        }
        if now.since(self.changed) >= FORGET {
            self.falls = 0;
        }
        if !up {
            self.falls += 1;
        }
        self.up = up;
        self.changed = now;
    }

    /// Whether it is up and has settled.
    pub fn is_stable(&self, now: Time) -> bool {
        self.up && now >= self.stable_at()
    }

    /// When it settles if it stays up.
    pub fn stable_at(&self) -> Time {
        match self.falls {
            0 => self.changed,
            falls => self.changed + (SETTLE << (falls - 1).min(10)).min(LONGEST),
        }
    }
}
