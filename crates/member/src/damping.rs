//! Flap damping: delays the use of a router or endpoint that repeatedly goes down and comes back.

use model::{SECOND, Time};

/// The time that something must stay up after its first failure before it is used again, in
/// microseconds. Each further failure doubles it.
const INITIAL_HOLD_DOWN: u64 = 2 * SECOND;

/// The upper limit of that time, in microseconds.
const MAX_HOLD_DOWN: u64 = 64 * SECOND;

/// After this time without a failure, earlier failures no longer count, in microseconds.
const RESET_AFTER: u64 = 600 * SECOND;

/// Decides whether a router or an endpoint that goes down and comes back can be relied on.
///
/// Going down takes effect immediately. Coming up takes effect immediately the first time, and
/// after that only when a wait is over, which doubles with each failure.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlapDamping {
    up: bool,
    failures: u32,
    /// When it last went up or down.
    changed: Time,
}

impl FlapDamping {
    /// Records whether it is up.
    pub fn observe(&mut self, now: Time, up: bool) {
        if self.up == up {
            return;
        }
        if now.since(self.changed) >= RESET_AFTER {
            self.failures = 0;
        }
        if !up {
            self.failures += 1;
        }
        self.up = up;
        self.changed = now;
    }

    /// Whether it is up and its wait is over.
    pub fn is_stable(&self, now: Time) -> bool {
        self.up && now >= self.stable_at()
    }

    /// Returns the instant at which its wait is over if it stays up.
    pub fn stable_at(&self) -> Time {
        match self.failures {
            0 => self.changed,
            failures => {
                self.changed + (INITIAL_HOLD_DOWN << (failures - 1).min(10)).min(MAX_HOLD_DOWN)
            }
        }
    }
}
