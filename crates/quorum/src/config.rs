//! Intervals of the consensus.

use {
    derive_more::{Debug, Display, Error},
    model::MILLISECOND,
};

/// Intervals and limits, in microseconds where they are times.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Config {
    pub(crate) heartbeat: u64,
    pub(crate) election: u64,
    pub(crate) lease: u64,
    pub(crate) voters: usize,
    pub(crate) size: usize,
    pub(crate) forget: u64,
    pub(crate) batch: usize,
    pub(crate) chunk: usize,
    pub(crate) tail: u64,
}

/// A setting that cannot be.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// The election timeout is less than three heartbeats.
    #[display("election timeout of {election} us is under three heartbeats of {heartbeat} us")]
    Timeouts {
        /// The heartbeat interval asked for, in microseconds.
        heartbeat: u64,
        /// The election timeout asked for, in microseconds.
        election: u64,
    },
    /// The drift margin is over half of the lease.
    #[display("drift margin of {percent} percent is over 50")]
    Drift {
        /// The margin asked for.
        percent: u64,
    },
}

impl Default for Config {
    fn default() -> Config {
        Config {
            heartbeat: 100 * MILLISECOND,
            election: 1_000 * MILLISECOND,
            lease: 900 * MILLISECOND,
            voters: 1,
            size: usize::MAX,
            forget: 4_000 * MILLISECOND,
            batch: 1 << 20,
            chunk: 1 << 20,
            tail: 1_024,
        }
    }
}

impl Config {
    /// Sets the heartbeat interval and the shortest election timeout in microseconds, and by how many percent clocks
    /// may run apart: the lease is so much shorter than the election timeout.
    ///
    /// # Errors
    ///
    /// The election timeout is less than three heartbeats, or the margin is over 50 percent.
    pub fn set_timeouts(
        &mut self,
        heartbeat: u64,
        election: u64,
        drift_percent: u64,
    ) -> Result<(), ConfigError> {
        if heartbeat == 0 || election < heartbeat.saturating_mul(3) {
            return Err(ConfigError::Timeouts { heartbeat, election });
        }
        if drift_percent > 50 {
            return Err(ConfigError::Drift { percent: drift_percent });
        }
        self.heartbeat = heartbeat;
        self.election = election;
        self.lease = election / 100 * (100 - drift_percent);
        Ok(())
    }

    /// Sets how many voters there must be before commands are taken, so that a group that has just been founded does
    /// not acknowledge what is on one disk only.
    pub fn set_voters(&mut self, voters: usize) {
        self.voters = voters.max(1);
    }

    /// Sets how many voters the group should have: a replica that joins a group of this size gets its vote only in
    /// place of a voter that has been silent for `forget` microseconds.
    pub fn set_size(&mut self, voters: usize, forget: u64) {
        self.size = voters.max(1);
        self.forget = forget;
    }

    /// Sets how many bytes of entries go into one message at most, but for a single entry that is longer.
    pub fn set_batch(&mut self, bytes: usize) {
        self.batch = bytes;
    }

    /// Sets the size of a piece of a snapshot in bytes.
    pub fn set_chunk(&mut self, bytes: usize) {
        self.chunk = bytes.max(1);
    }

    /// Sets how many entries before a snapshot are kept for replicas that lag a little.
    pub fn set_tail(&mut self, entries: u64) {
        self.tail = entries;
    }
}
