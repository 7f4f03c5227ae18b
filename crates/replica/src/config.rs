//! The settings of a replica.

use {
    derive_more::{Debug, Display, Error},
    model::MILLISECOND,
    quorum::Config,
    std::{net::SocketAddr, path::PathBuf},
};

/// The settings of a replica, checked as they are set.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ReplicaConfig {
    pub(crate) folder: PathBuf,
    pub(crate) addr: SocketAddr,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) heartbeat_ms: u64,
    pub(crate) election_ms: u64,
    pub(crate) drift_percent: u64,
    pub(crate) snapshot_bytes: u64,
    pub(crate) batching: bool,
}

/// A setting that cannot be.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// The election timeout is less than three heartbeats.
    #[display(
        "election timeout of {election_ms} ms is under three heartbeats of {heartbeat_ms} ms"
    )]
    Timeouts {
        /// The heartbeat interval asked for.
        heartbeat_ms: u64,
        /// The election timeout asked for.
        election_ms: u64,
    },
    /// The drift margin is over half of the lease.
    #[display("drift margin of {percent} percent is over 50")]
    Drift {
        /// The margin asked for.
        percent: u64,
    },
}

impl ReplicaConfig {
    /// Returns settings with default timeouts.
    ///
    /// `folder` is the data folder, `addr` where the other replicas reach this one, and `peers` where it reaches the
    /// other replicas. All replicas must be given the same set of addresses: the one with the lowest address founds
    /// the group when all of them are empty.
    pub fn new(folder: PathBuf, addr: SocketAddr, peers: Vec<SocketAddr>) -> ReplicaConfig {
        ReplicaConfig {
            folder,
            addr,
            peers,
            heartbeat_ms: 100,
            election_ms: 1_000,
            drift_percent: 10,
            snapshot_bytes: 16 << 20,
            batching: true,
        }
    }

    /// Returns the settings of the consensus.
    pub(crate) fn consensus(&self) -> Config {
        let mut config = Config::default();
        // The setters of this type refuse what that one refuses.
        let _ = config.set_timeouts(
            self.heartbeat_ms * MILLISECOND,
            self.election_ms * MILLISECOND,
            self.drift_percent,
        );
        let replicas = self.peers.len() + 1;
        config.set_voters(replicas / 2 + 1);
        config
    }

    /// Sets the heartbeat interval and the shortest election timeout, in milliseconds.
    ///
    /// # Errors
    ///
    /// The election timeout is less than three heartbeats.
    pub fn set_timeouts(&mut self, heartbeat_ms: u64, election_ms: u64) -> Result<(), ConfigError> {
        if heartbeat_ms == 0 || election_ms < heartbeat_ms * 3 {
            return Err(ConfigError::Timeouts { heartbeat_ms, election_ms });
        }
        self.heartbeat_ms = heartbeat_ms;
        self.election_ms = election_ms;
        Ok(())
    }

    /// Sets by how many percent clocks of two hosts may run apart; a lease is so much shorter.
    ///
    /// # Errors
    ///
    /// The margin is over 50.
    pub fn set_drift(&mut self, percent: u64) -> Result<(), ConfigError> {
        if percent > 50 {
            return Err(ConfigError::Drift { percent });
        }
        self.drift_percent = percent;
        Ok(())
    }

    /// Sets after how many bytes of log a snapshot is taken.
    pub fn set_snapshot(&mut self, bytes: u64) {
        self.snapshot_bytes = bytes.max(1 << 10);
    }

    /// Sets whether commands that wait for the disk are synced together; off only to measure what it gives.
    pub fn set_batching(&mut self, batching: bool) {
        self.batching = batching;
    }
}
