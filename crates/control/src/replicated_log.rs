//! Typed access to the replicated log: commands, outputs and addresses.

use {
    crate::{
        command::{Command, Output},
        section::limited,
        state::State,
    },
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    derive_more::{Debug, Display, Error},
    eyre::{Result, WrapErr},
    replica::{LeaderLease, ProposeError, Replica, ReplicaConfig, ReplicaStatus},
    settings::ControlSettings,
    std::{net::SocketAddr, time::Duration},
    tokio::{sync::watch, time::timeout},
    wire::{Clock, Dialer, Stream},
};

/// Time limit for committing a command.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// How long the link may be occupied by the log that a replica with an empty disk needs, in seconds. A snapshot is taken
/// once the log takes longer.
const MAX_LOG_SECONDS: f64 = 0.5;

/// Lower and upper bound of the log size, in bytes, at which a snapshot is taken. The upper one bounds how much a replica
/// replays when it starts.
const SNAPSHOT_LOG_BYTES_RANGE: (f64, f64) = (65_536.0, 4_194_304.0);

/// Interval between heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Election timeout on a link of unlimited bandwidth, in milliseconds.
const BASE_ELECTION_TIMEOUT_MS: f64 = 1_000.0;

/// The data that may be queued before a heartbeat of the leader, in bits: a large compressed document for each of the
/// four other replicas in a group of five, and the same amount again for routers.
const BACKLOG_BITS: f64 = 8.0 * 100_000.0 * 8.0;

/// How long one message may occupy the link, in seconds.
const MAX_MESSAGE_SECONDS: f64 = 0.05;

/// Lower and upper bound of the maximum message size, in bytes.
const MESSAGE_BYTES_RANGE: (f64, f64) = (16_384.0, 1_048_576.0);

/// Timeouts and sizes derived from the bandwidth of a host's link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Timing {
    election_timeout_ms: u64,
    max_message_bytes: usize,
    snapshot_log_bytes: u64,
}

impl Timing {
    /// Computes the timing for a bandwidth of `link_mbps` Mbit/s.
    ///
    /// The election timeout is long enough that a heartbeat queued behind a document does not end a lease. Messages
    /// are short enough not to delay heartbeats.
    fn for_link(link_mbps: f64) -> Timing {
        let bits_per_second = link_mbps * 1_000_000.0;
        let message_bytes = (bits_per_second / 8.0 * MAX_MESSAGE_SECONDS)
            .clamp(MESSAGE_BYTES_RANGE.0, MESSAGE_BYTES_RANGE.1);
        let log_bytes = (bits_per_second / 8.0 * MAX_LOG_SECONDS)
            .clamp(SNAPSHOT_LOG_BYTES_RANGE.0, SNAPSHOT_LOG_BYTES_RANGE.1);
        Timing {
            election_timeout_ms: (BASE_ELECTION_TIMEOUT_MS
                + BACKLOG_BITS / bits_per_second * 1_000.0 / 2.0)
                as u64,
            max_message_bytes: message_bytes as usize,
            snapshot_log_bytes: log_bytes as u64,
        }
    }
}

/// Interval for checking whether this replica holds the leader lease.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The addresses of a replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ReplicaAddrs {
    /// The address for replicas and routers.
    pub(crate) internal: SocketAddr,
    /// The address for operators.
    pub(crate) admin: SocketAddr,
}

/// Why a command has no output.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub(crate) enum CommitError {
    /// This replica is not the leader. The command was not and will not be applied.
    #[display("this replica is not the leader")]
    NotLeader,
    /// The command was not committed in time. It may still be committed later.
    #[display("the command was not committed in time; its outcome is unknown")]
    Unknown,
}

/// The replicated log and the state that results from applying it.
pub(crate) struct ReplicatedLog {
    replica: Replica<State>,
    addrs: Vec<ReplicaAddrs>,
}

impl ReplicatedLog {
    /// Opens the data directory and joins the group.
    ///
    /// `own_addrs` are the addresses of this replica.
    ///
    /// # Errors
    ///
    /// The data directory cannot be used, or the timeouts that follow from the link's bandwidth are not valid.
    pub(crate) async fn open(
        settings: &ControlSettings,
        own_addrs: ReplicaAddrs,
        dialer: Dialer,
        clock: Clock,
    ) -> Result<ReplicatedLog> {
        let mut config = if settings.seeds.is_empty() {
            let peers = settings.peers.iter().map(|it| it.inner).collect();
            ReplicaConfig::new(settings.data.clone(), own_addrs.internal, peers)
        } else {
            let (seeds, bootstrap) = (settings.seeds.clone(), settings.bootstrap);
            ReplicaConfig::from_seeds(
                settings.data.clone(),
                own_addrs.internal,
                seeds,
                bootstrap,
                2 * settings.tolerance + 1,
            )
        };
        let timing = Timing::for_link(settings.link_mbps);
        config.set_snapshot_log_bytes(timing.snapshot_log_bytes);
        config.set_max_message_bytes(timing.max_message_bytes);
        config
            .set_timeouts(HEARTBEAT_INTERVAL_MS, timing.election_timeout_ms)
            .wrap_err("control: invalid timeouts")?;
        let replica = Replica::open(config, State::default(), dialer, clock).await;
        let replica = replica.wrap_err("control: cannot open the replicated log")?;
        let peer =
            |it: &settings::ControlPeer| ReplicaAddrs { internal: it.inner, admin: it.admin };
        let addrs = settings.peers.iter().map(peer).chain([own_addrs]).collect();
        Ok(ReplicatedLog { replica, addrs })
    }

    /// Proposes a command and waits until it is committed and applied.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Output, CommitError> {
        let bytes = encode_to_vec(command, standard()).map_err(|_| CommitError::NotLeader)?;
        let result = timeout(COMMIT_TIMEOUT, self.replica.propose(bytes)).await;
        let reply = match result {
            Ok(Ok(reply)) => reply,
            Ok(Err(ProposeError::NotLeader { .. })) => return Err(CommitError::NotLeader),
            Ok(Err(ProposeError::Unknown)) | Err(_) => return Err(CommitError::Unknown),
        };
        let decoded = decode_from_slice(&reply, limited());
        decoded.map(|(output, _)| output).map_err(|_| CommitError::Unknown)
    }

    /// Waits until the state seen by [`ReplicatedLog::with_state`] includes every command that was acknowledged before
    /// this call.
    pub(crate) async fn read_barrier(&self) -> Result<(), CommitError> {
        match timeout(COMMIT_TIMEOUT, self.replica.read_barrier()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(ProposeError::NotLeader { .. })) => Err(CommitError::NotLeader),
            Ok(Err(ProposeError::Unknown)) | Err(_) => Err(CommitError::Unknown),
        }
    }

    /// Calls `inspect` with the state as applied on this replica, which may be out of date.
    pub(crate) fn with_state<F, T>(&self, inspect: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        self.replica.with(inspect)
    }

    /// Returns the leader lease of this replica while it is valid.
    pub(crate) fn leader_lease(&self) -> Option<LeaderLease> {
        self.replica.leader_lease()
    }

    /// Returns whether this replica is the leader and its lease is valid.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader_lease().is_some()
    }

    /// Waits until this replica is the leader and its lease is valid.
    pub(crate) async fn wait_until_leader(&self) {
        let mut changes = self.subscribe();
        while !self.is_leader() {
            // A lease may start without a notification from the replica, so poll as well.
            let _ = timeout(LEASE_POLL_INTERVAL, changes.changed()).await;
        }
    }

    /// Returns the addresses of the leader, if known. For a leader found by seeds they are unknown, because seeds
    /// carry no admin address.
    pub(crate) fn leader_addrs(&self) -> Option<ReplicaAddrs> {
        let internal = self.replica.addr_of(self.replica.leader()?)?;
        self.addrs.iter().find(|it| it.internal == internal).copied()
    }

    /// Returns the address on which the leader serves replicas and routers, if known.
    pub(crate) fn leader_internal_addr(&self) -> Option<SocketAddr> {
        self.replica.addr_of(self.replica.leader()?)
    }

    /// Returns the id of this replica.
    pub(crate) fn id(&self) -> u64 {
        self.replica.id().0
    }

    /// Returns the addresses of the known replicas of the group.
    pub(crate) fn member_addrs(&self) -> Vec<SocketAddr> {
        self.replica.member_addrs()
    }

    /// Returns the numbers of the protocols that the other members of the group speak, `None` for each that is not
    /// known.
    pub(crate) fn member_protocols(&self) -> Vec<Option<u32>> {
        self.replica.member_protocols()
    }

    /// Returns whether this replica counts towards the quorum, according to the configuration that it knows.
    pub(crate) fn is_voter(&self) -> bool {
        self.replica.is_voter(self.replica.id())
    }

    /// Returns a receiver that is notified when a command was applied or the leader changed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ReplicaStatus> {
        self.replica.subscribe()
    }

    /// Waits until this replica has stopped for good.
    pub(crate) async fn wait_until_stopped(&self) {
        // Fails only after the replica was dropped.
        let _ = self.subscribe().wait_for(|it| it.stopped).await;
    }

    /// Replaces the addresses through which this replica finds its group.
    pub(crate) async fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.replica.set_seeds(seeds).await;
    }

    /// Serves a stream from another replica.
    pub(crate) fn handle_stream(&self, stream: Stream) {
        self.replica.handle_stream(stream);
    }

    /// Stops this replica's participation in the group.
    pub(crate) async fn shutdown(&self) {
        self.replica.shutdown().await;
    }
}
