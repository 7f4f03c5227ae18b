//! The settings of a replica.

use {
    derive_more::{Debug, Display, Error},
    model::{MILLISECOND, ReplicaId, hash64},
    quorum::{Config, Member, Membership},
    std::{net::SocketAddr, path::PathBuf},
};

/// After how many milliseconds of silence another replica may take a voter's place: longer than the longest restart
/// of a host that comes back.
pub const VOTER_TIMEOUT_MS: u64 = 4_000;

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
    pub(crate) message_bytes: usize,
    pub(crate) seeds: Option<Seeds>,
}

/// The addresses that a group is formed from.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Seeds {
    pub(crate) addrs: Vec<SocketAddr>,
    /// Whether no group exists yet.
    pub(crate) bootstrap: bool,
    /// How many voters the group should have.
    pub(crate) voters: usize,
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
            message_bytes: 1 << 20,
            seeds: None,
        }
    }

    /// Returns settings of a replica that finds its group by seed addresses, which other replicas may have left since.
    ///
    /// Replicas that start with `bootstrap` set, an empty folder and their own address among the seeds found the group
    /// together: each of them derives the same first membership from the seeds, so a founder that restarts meanwhile
    /// founds no other group. All others ask the seeds to be taken in. The group grows to
    /// `voters`; further replicas have no vote, and replace a voter that has been silent for [`VOTER_TIMEOUT_MS`].
    pub fn from_seeds(
        folder: PathBuf,
        addr: SocketAddr,
        mut seeds: Vec<SocketAddr>,
        bootstrap: bool,
        voters: usize,
    ) -> ReplicaConfig {
        seeds.sort_unstable();
        seeds.dedup();
        let peers = seeds.iter().copied().filter(|it| *it != addr).collect();
        let mut config = ReplicaConfig::new(folder, addr, peers);
        config.seeds = Some(Seeds { addrs: seeds, bootstrap, voters });
        config
    }

    /// The members that this replica founds its group with, if it may.
    pub(crate) fn founders(&self) -> Option<Membership> {
        let seeds = self.seeds.as_ref().filter(|it| it.bootstrap)?;
        let member = |addr: &SocketAddr| Member { id: founder(*addr), addr: *addr, voter: true };
        let mut members: Vec<_> = seeds.addrs.iter().map(member).collect();
        members.sort_unstable_by_key(|it| it.id);
        seeds.addrs.contains(&self.addr).then(|| Membership(members.into()))
    }

    /// The id of a replica whose folder is empty.
    pub(crate) fn fresh_id(&self) -> ReplicaId {
        match self.founders() {
            Some(_) => founder(self.addr),
            None => ReplicaId(rand::random_range(1..=u64::MAX)),
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
        let replicas = match &self.seeds {
            Some(seeds) => seeds.voters,
            None => self.peers.len() + 1,
        };
        config.set_min_voters(replicas / 2 + 1);
        config.set_max_batch_bytes(self.message_bytes);
        config.set_snapshot_chunk_bytes(self.message_bytes);
        if self.seeds.is_some() {
            config.set_target_voters(replicas, VOTER_TIMEOUT_MS * MILLISECOND);
        }
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
    pub fn set_max_clock_drift(&mut self, percent: u64) -> Result<(), ConfigError> {
        if percent > 50 {
            return Err(ConfigError::Drift { percent });
        }
        self.drift_percent = percent;
        Ok(())
    }

    /// Sets after how many bytes of log a snapshot is taken.
    pub fn set_snapshot_log_bytes(&mut self, bytes: u64) {
        self.snapshot_bytes = bytes.max(1 << 10);
    }

    /// Sets how many bytes of entries or of a snapshot go into one message, but for a single entry that is longer.
    pub fn set_max_message_bytes(&mut self, bytes: usize) {
        self.message_bytes = bytes.max(1 << 10);
    }

    /// Sets whether commands that wait for the disk are synced together; off only to measure what it gives.
    pub fn set_batching(&mut self, batching: bool) {
        self.batching = batching;
    }
}

/// The id of the founder that listens at an address.
fn founder(addr: SocketAddr) -> ReplicaId {
    ReplicaId(hash64(addr.to_string().as_bytes()).max(1))
}

/// The number of the group that these members found.
pub(crate) fn founded_group(members: &Membership) -> u64 {
    let folded = members.0.iter().fold(0, |hash, it| model::mix2(hash, it.id.0));
    folded.max(1)
}
