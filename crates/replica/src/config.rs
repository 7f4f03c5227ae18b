//! The settings of a replica.

use {
    derive_more::{Debug, Display, Error},
    model::{MILLISECOND, ReplicaId, hash64},
    quorum::{Config, Member, MemberRole, Membership},
    std::{net::SocketAddr, path::PathBuf},
};

/// How many milliseconds a voter may go without responding before it may be replaced or removed. Longer than the
/// longest restart of a host, so that a restarting host keeps its vote. With a heartbeat and the two entries of the
/// change (100 ms each), no longer than the 4 s for which a host counts as lost after its start, as another one may be
/// lost from then on.
pub const VOTER_TIMEOUT_MS: u64 = 3_700;

/// The settings of a replica, validated by the setters.
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

/// The addresses through which a replica finds its group.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Seeds {
    pub(crate) addrs: Vec<SocketAddr>,
    /// Whether this replica may bootstrap the group because none exists yet.
    pub(crate) bootstrap: bool,
    /// The intended number of voters.
    pub(crate) voters: usize,
}

/// A rejected setting.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// The election timeout is less than three heartbeats.
    #[display(
        "election timeout of {election_ms} ms is under three heartbeats of {heartbeat_ms} ms"
    )]
    Timeouts {
        /// The requested heartbeat interval, in milliseconds.
        heartbeat_ms: u64,
        /// The requested election timeout, in milliseconds.
        election_ms: u64,
    },
    /// The clock drift margin is over 50 percent.
    #[display("drift margin of {percent} percent is over 50")]
    Drift {
        /// The requested margin, in percent.
        percent: u64,
    },
}

impl ReplicaConfig {
    /// Returns settings with default timeouts for a group with a fixed set of addresses.
    ///
    /// `folder` is the data folder, `addr` the address at which the other replicas reach this one, and `peers` the
    /// addresses of the other replicas. All replicas must be given the same set of addresses: if none of them has ever
    /// been part of a group, the one with the lowest address bootstraps it.
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

    /// Returns settings for a replica that finds its group through seed addresses. Seeds that have since left the
    /// group do no harm.
    ///
    /// Replicas that start with `bootstrap` set, an empty data folder and their own address among the seeds bootstrap
    /// the group together. Each derives the same initial membership from the seeds, so a replica that restarts in the
    /// meantime does not bootstrap a different group. All others ask the seeds to join. The group grows to `voters`
    /// voters; further replicas are non-voters, and replace a voter that has not responded for [`VOTER_TIMEOUT_MS`].
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

    /// The initial members of the group, if this replica may bootstrap it.
    pub(crate) fn initial_members(&self) -> Option<Membership> {
        let seeds = self.seeds.as_ref().filter(|it| it.bootstrap)?;
        let member = |addr: &SocketAddr| Member {
            id: initial_id(*addr),
            addr: *addr,
            role: MemberRole::Voter,
        };
        let mut members: Vec<_> = seeds.addrs.iter().map(member).collect();
        members.sort_unstable_by_key(|it| it.id);
        seeds.addrs.contains(&self.addr).then(|| Membership(members.into()))
    }

    /// The id for a replica whose data folder is empty.
    pub(crate) fn new_id(&self) -> ReplicaId {
        match self.initial_members() {
            Some(_) => initial_id(self.addr),
            None => ReplicaId(rand::random_range(1..=u64::MAX)),
        }
    }

    /// The settings of the consensus.
    pub(crate) fn consensus(&self) -> Config {
        let mut config = Config::default();
        // Cannot fail: the setters of this type already enforce the same limits.
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

    /// Sets the heartbeat interval and the minimum election timeout, in milliseconds.
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

    /// Sets by how many percent the clocks of two hosts may differ in speed; the lease is shortened by that margin.
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

    /// Sets after how many bytes of applied commands a snapshot is taken.
    pub fn set_snapshot_log_bytes(&mut self, bytes: u64) {
        self.snapshot_bytes = bytes.max(1 << 10);
    }

    /// Sets the maximum size of the entries or of the snapshot chunk in one message, in bytes. A single larger entry
    /// is still sent.
    pub fn set_max_message_bytes(&mut self, bytes: usize) {
        self.message_bytes = bytes.max(1 << 10);
    }

    /// Sets whether waiting commands are synced together (group commit). Turned off only to measure its effect.
    pub fn set_batching(&mut self, batching: bool) {
        self.batching = batching;
    }
}

/// The id of the initial member at an address.
fn initial_id(addr: SocketAddr) -> ReplicaId {
    ReplicaId(hash64(addr.to_string().as_bytes()).max(1))
}

/// The number of the group with these initial members.
pub(crate) fn bootstrap_group_id(members: &Membership) -> u64 {
    let hash = members.0.iter().fold(0, |hash, it| model::mix2(hash, it.id.0));
    hash.max(1)
}
