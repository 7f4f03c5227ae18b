//! The durations on which leases depend.

use model::{MILLISECOND, SECOND, Time};

/// The lease duration and the clock drift bound. All processes of a fleet must use the same values.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaseTiming {
    /// The duration of a lease, in microseconds.
    lease: u64,
    /// A router whose last confirmed heartbeat is older than this is declared missing, in
    /// microseconds.
    silence_limit: u64,
    /// The maximum relative drift between two clocks, in thousandths.
    drift: u64,
    /// The time after which an unanswered heartbeat is abandoned, in microseconds.
    reply_timeout: u64,
}

impl Default for LeaseTiming {
    fn default() -> LeaseTiming {
        LeaseTiming {
            lease: 8 * SECOND,
            silence_limit: 5 * SECOND,
            drift: 10,
            reply_timeout: 2 * SECOND,
        }
    }
}

impl LeaseTiming {
    /// Sets the duration of a lease. A router is declared missing when its last confirmed heartbeat
    /// is older than five eighths of it.
    ///
    /// Values below 100 milliseconds are ignored.
    pub fn with_lease(self, micros: u64) -> LeaseTiming {
        if micros < 100 * MILLISECOND {
            return self;
        }
        LeaseTiming {
            lease: micros,
            silence_limit: micros * 5 / 8,
            reply_timeout: micros / 4,
            ..self
        }
    }

    /// Sets the maximum relative drift between two clocks, in thousandths; values above 100 are
    /// treated as 100.
    pub fn with_drift(self, permille: u64) -> LeaseTiming {
        LeaseTiming { drift: permille.min(100), ..self }
    }

    /// Returns the duration of a lease, in milliseconds.
    pub fn lease_ms(&self) -> u32 {
        (self.lease / MILLISECOND) as u32
    }

    /// Returns the age of the last confirmed heartbeat at which a router is declared missing, in
    /// microseconds.
    pub(crate) fn silence_limit(&self) -> u64 {
        self.silence_limit
    }

    /// Returns the time after which an unanswered heartbeat is abandoned, in microseconds.
    pub(crate) fn reply_timeout(&self) -> u64 {
        self.reply_timeout
    }

    /// Returns when a lease that was renewed by a heartbeat sent at `sent` expires for its holder.
    pub(crate) fn holder_expiry(&self, sent: Time) -> Time {
        sent + (self.lease - self.lease * self.drift / 1000)
    }

    /// Returns when a lease that was renewed at `at` or earlier has expired on every clock.
    pub(crate) fn latest_expiry(&self, at: Time) -> Time {
        at + (self.lease + self.lease * self.drift / 1000)
    }

    /// Returns when a router whose last answered heartbeat was sent at `last_contact` may use its
    /// fixed shares.
    ///
    /// This is twice the lease duration: every lease that is valid by then was granted after the
    /// leader had to declare this router missing.
    pub(crate) fn fixed_share_start(&self, last_contact: Time) -> Time {
        last_contact + 2 * (self.lease + self.lease * self.drift / 1000)
    }
}
