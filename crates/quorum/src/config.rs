//! Timeouts and limits of the consensus.

use {
    derive_more::{Debug, Display, Error},
    model::MILLISECOND,
};

/// The timeouts and limits of a replica. All times are in microseconds.
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

/// A rejected setting.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// The election timeout is less than three heartbeats.
    #[display(
        "election timeout of {election_timeout} us is under three heartbeats of {heartbeat_interval} us"
    )]
    Timeouts {
        /// The requested heartbeat interval, in microseconds.
        heartbeat_interval: u64,
        /// The requested election timeout, in microseconds.
        election_timeout: u64,
    },
    /// The clock drift margin is over 50 percent.
    #[display("drift margin of {percent} percent is over 50")]
    Drift {
        /// The requested margin, in percent.
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
    /// Sets the heartbeat interval and the minimum election timeout in microseconds, and the margin for clock drift:
    /// the lease is shorter than the election timeout by `drift_percent`.
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

    /// Sets the number of voters below which the leader rejects commands, so that a newly bootstrapped group does not
    /// acknowledge a command that is on one disk only.
    pub fn set_min_voters(&mut self, voters: usize) {
        self.min_voters = voters.max(1);
    }

    /// Sets the intended number of voters. Once the group has that many, a replica that joins becomes a voter only in
    /// place of a voter that has not responded for `voter_timeout` microseconds.
    pub fn set_target_voters(&mut self, voters: usize, voter_timeout: u64) {
        self.target_voters = voters.max(1);
        self.voter_timeout = voter_timeout;
    }

    /// Sets the maximum size of the entries in one message, in bytes. A single larger entry is still sent.
    pub fn set_max_batch_bytes(&mut self, bytes: usize) {
        self.max_batch_bytes = bytes;
    }

    /// Sets the size of a snapshot chunk in bytes.
    pub fn set_snapshot_chunk_bytes(&mut self, bytes: usize) {
        self.snapshot_chunk_bytes = bytes.max(1);
    }

    /// Sets how many entries before a snapshot are kept in memory, so that a replica that lags by few entries does not
    /// need the snapshot.
    pub fn set_retained_entries(&mut self, entries: u64) {
        self.retained_entries = entries;
    }
}
