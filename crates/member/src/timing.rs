//! The times that leases rest on.

use model::{MILLISECOND, SECOND, Time};

/// How long leases last and how far clocks may drift; all processes of a fleet must use the same.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaseTiming {
    /// The length of a lease, in microseconds.
    lease: u64,
    /// A router of which nothing newer is proved than so long ago is declared missing, in microseconds.
    silence: u64,
    /// How far two clocks may drift apart, in thousandths.
    drift: u64,
    /// After so long without an answer a heartbeat is given up, in microseconds.
    patience: u64,
}

impl Default for LeaseTiming {
    fn default() -> LeaseTiming {
        LeaseTiming { lease: 8 * SECOND, silence: 5 * SECOND, drift: 10, patience: 2 * SECOND }
    }
}

impl LeaseTiming {
    /// Sets the length of a lease; a router is declared missing when what is proved of it is five eighths of it old.
    ///
    /// Nothing changes if `micros` is shorter than 100 milliseconds.
    pub fn with_lease(self, micros: u64) -> LeaseTiming {
        if micros < 100 * MILLISECOND {
            return self;
        }
        LeaseTiming { lease: micros, silence: micros * 5 / 8, patience: micros / 4, ..self }
    }

    /// Sets how far two clocks may drift apart, in thousandths; at most 100.
    pub fn with_drift(self, permille: u64) -> LeaseTiming {
        LeaseTiming { drift: permille.min(100), ..self }
    }

    /// The length of a lease, in milliseconds.
    pub fn lease_ms(&self) -> u32 {
        (self.lease / MILLISECOND) as u32
    }

    /// How long a router may be silent, in microseconds.
    pub(crate) fn silence(&self) -> u64 {
        self.silence
    }

    /// How long a heartbeat may go unanswered, in microseconds.
    pub(crate) fn patience(&self) -> u64 {
        self.patience
    }

    /// When a lease that a heartbeat sent at `sent` renewed ends for its holder.
    pub(crate) fn holder_end(&self, sent: Time) -> Time {
        sent + (self.lease - self.lease * self.drift / 1000)
    }

    /// When a lease that was renewed no later than at `at` has ended for certain, on any other clock.
    pub(crate) fn certain_end(&self, at: Time) -> Time {
        at + (self.lease + self.lease * self.drift / 1000)
    }

    /// When a router that last sent an answered heartbeat at `contact` may use its fixed shares.
    ///
    /// Twice the lease: every lease that is valid then was granted after the leader had to declare this router missing.
    pub(crate) fn share_start(&self, contact: Time) -> Time {
        contact + 2 * (self.lease + self.lease * self.drift / 1000)
    }
}
