//! Intervals of the consensus.

use {
    derive_more::{Debug, Display, Error},
    model::MILLISECOND,
};

/// Intervals and limits, in microseconds where they are times.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Config {
    pub(crate) heartbeat_interval: u64,
    pub(crate) election_timeout: u64,
    pub(crate) lease_duration: u64,
    pub(crate) min_voters: usize,
    pub(crate) target_voters: usize,
    pub(crate) voter_timeout: u64,
    pub(crate) max_batch_bytes: usize,
    pub(crate) snapshot_chunk_bytes: usize,
    pub(crate) retained_entries: u64,
}

/// A setting that cannot be.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// The election timeout is less than three heartbeats.
    #[display(
        "election timeout of {election_timeout} us is under three heartbeats of {heartbeat_interval} us"
    )]
    Timeouts {
        /// The heartbeat interval asked for, in microseconds.
        heartbeat_interval: u64,
        /// The election timeout asked for, in microseconds.
        election_timeout: u64,
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
            heartbeat_interval: 100 * MILLISECOND,
            election_timeout: 1_000 * MILLISECOND,
            lease_duration: 900 * MILLISECOND,
            min_voters: 1,
            target_voters: usize::MAX,
            voter_timeout: 4_000 * MILLISECOND,
            max_batch_bytes: 1 << 20,
            snapshot_chunk_bytes: 1 << 20,
            retained_entries: 1_024,
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
        heartbeat_interval: u64,
        election_timeout: u64,
        drift_percent: u64,
    ) -> Result<(), ConfigError> {
        if heartbeat_interval == 0 || election_timeout < heartbeat_interval.saturating_mul(3) {
            return Err(ConfigError::Timeouts { heartbeat_interval, election_timeout });
        }
        if drift_percent > 50 {
            return Err(ConfigError::Drift { percent: drift_percent });
        }
        self.heartbeat_interval = heartbeat_interval;
        self.election_timeout = election_timeout;
        self.lease_duration = election_timeout / 100 * (100 - drift_percent);
        Ok(())
    }

    /// Sets how many voters there must be before commands are taken, so that a group that has just been founded does
    /// not acknowledge what is on one disk only.
    pub fn set_min_voters(&mut self, voters: usize) {
        self.min_voters = voters.max(1);
    }

    /// Sets how many voters the group should have: a replica that joins a group of this size gets its vote only in
    /// place of a voter that has been silent for `forget` microseconds.
    pub fn set_target_voters(&mut self, voters: usize, voter_timeout: u64) {
        self.target_voters = voters.max(1);
        self.voter_timeout = voter_timeout;
    }

    /// Sets how many bytes of entries go into one message at most, but for a single entry that is longer.
    pub fn set_max_batch_bytes(&mut self, bytes: usize) {
        self.max_batch_bytes = bytes;
    }

    /// Sets the size of a piece of a snapshot in bytes.
    pub fn set_snapshot_chunk_bytes(&mut self, bytes: usize) {
        self.snapshot_chunk_bytes = bytes.max(1);
    }

    /// Sets how many entries before a snapshot are kept for replicas that lag a little.
    pub fn set_retained_entries(&mut self, entries: u64) {
        self.retained_entries = entries;
    }
}
