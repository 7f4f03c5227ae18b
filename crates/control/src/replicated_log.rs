//! The replicated log as the rest of the process sees it: typed commands, outputs and addresses.

use {
    crate::{
        command::{Command, Output},
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

/// How long a command may take to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(5_000);

/// After how many bytes of commands the state is written out: a replica reads so much again at most when it starts.
const SNAPSHOT_LOG_BYTES: u64 = 4 << 20;

/// The interval of heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// The election timeout on a link that carries documents in no time, in milliseconds.
const BASE_ELECTION_TIMEOUT_MS: f64 = 1_000.0;

/// What a leader may have to send before a heartbeat, in bits: a large compressed document to the four others of five
/// replicas, and as much again to routers.
const BACKLOG_BITS: f64 = 8.0 * 100_000.0 * 8.0;

/// The share of the link's bandwidth for a second that one message may take.
const MAX_MESSAGE_SECONDS: f64 = 0.05;

/// The bounds of a message, in bytes.
const MESSAGE_BYTES_RANGE: (f64, f64) = (16_384.0, 1_048_576.0);

/// Timeouts and sizes that follow from the bandwidth of a host's link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Timing {
    election_timeout_ms: u64,
    max_message_bytes: usize,
}

impl Timing {
    /// A heartbeat that waits behind a document must not end a lease, and a message must not hold up heartbeats.
    fn for_link(link_mbps: f64) -> Timing {
        let bits_per_second = link_mbps * 1_000_000.0;
        let message_bytes = (bits_per_second / 8.0 * MAX_MESSAGE_SECONDS)
            .clamp(MESSAGE_BYTES_RANGE.0, MESSAGE_BYTES_RANGE.1);
        Timing {
            election_timeout_ms: (BASE_ELECTION_TIMEOUT_MS
                + BACKLOG_BITS / bits_per_second * 1_000.0 / 2.0)
                as u64,
            max_message_bytes: message_bytes as usize,
        }
    }
}

/// How often a lease is looked for.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where a replica can be reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ReplicaAddrs {
    /// For replicas and routers.
    pub(crate) inner: SocketAddr,
    /// For operators.
    pub(crate) admin: SocketAddr,
}

/// A command has no output.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub(crate) enum CommitError {
    /// This replica does not lead; the command was not and will not be carried out.
    #[display("this replica does not lead")]
    NotLeader,
    /// It was not committed in time; it may yet be.
    #[display("the outcome is unknown")]
    Unknown,
}

/// The replicated log and the state that it leads to.
pub(crate) struct ReplicatedLog {
    replica: Replica<State>,
    addrs: Vec<ReplicaAddrs>,
}

impl ReplicatedLog {
    /// Opens the data folder and takes part in the group.
    ///
    /// `own_addrs` is where this replica can be reached.
    ///
    /// # Errors
    ///
    /// The data folder cannot be used.
    pub(crate) async fn open(
        settings: &ControlSettings,
        own_addrs: ReplicaAddrs,
        dialer: Dialer,
        clock: Clock,
    ) -> Result<ReplicatedLog> {
        let mut config = if settings.seeds.is_empty() {
            let peers = settings.peers.iter().map(|it| it.inner).collect();
            ReplicaConfig::new(settings.data.clone(), own_addrs.inner, peers)
        } else {
            let (seeds, bootstrap) = (settings.seeds.clone(), settings.bootstrap);
            ReplicaConfig::from_seeds(
                settings.data.clone(),
                own_addrs.inner,
                seeds,
                bootstrap,
                2 * settings.tolerance + 1,
            )
        };
        config.set_snapshot_log_bytes(SNAPSHOT_LOG_BYTES);
        let timing = Timing::for_link(settings.link_mbps);
        config.set_max_message_bytes(timing.max_message_bytes);
        config
            .set_timeouts(HEARTBEAT_INTERVAL_MS, timing.election_timeout_ms)
            .wrap_err("control: timeouts")?;
        let replica = Replica::open(config, State::default(), dialer, clock).await;
        let replica = replica.wrap_err("control: open the replicated log")?;
        let peer = |it: &settings::ControlPeer| ReplicaAddrs { inner: it.inner, admin: it.admin };
        let addrs = settings.peers.iter().map(peer).chain([own_addrs]).collect();
        Ok(ReplicatedLog { replica, addrs })
    }

    /// Returns once a command is committed and applied.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Output, CommitError> {
        let bytes = encode_to_vec(command, standard()).map_err(|_| CommitError::NotLeader)?;
        let result = timeout(COMMIT_TIMEOUT, self.replica.propose(bytes)).await;
        let reply = match result {
            Ok(Ok(reply)) => reply,
            Ok(Err(ProposeError::NotLeader { .. })) => return Err(CommitError::NotLeader),
            Ok(Err(ProposeError::Unknown)) | Err(_) => return Err(CommitError::Unknown),
        };
        let decoded = decode_from_slice(&reply, standard());
        decoded.map(|(output, _)| output).map_err(|_| CommitError::Unknown)
    }

    /// Returns once what [`ReplicatedLog::with_state`] shows is at least as new as all that was acknowledged before this call.
    pub(crate) async fn read_barrier(&self) -> Result<(), CommitError> {
        match timeout(COMMIT_TIMEOUT, self.replica.read_barrier()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(ProposeError::NotLeader { .. })) => Err(CommitError::NotLeader),
            Ok(Err(ProposeError::Unknown)) | Err(_) => Err(CommitError::Unknown),
        }
    }

    /// Reads the state as applied here, however old it is.
    pub(crate) fn with_state<F, T>(&self, inspect: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        self.replica.with(inspect)
    }

    /// The leadership of this replica, while its lease holds.
    pub(crate) fn leader_lease(&self) -> Option<LeaderLease> {
        self.replica.leader_lease()
    }

    /// Whether this replica leads and its lease holds.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader_lease().is_some()
    }

    /// Returns once this replica leads and its lease holds.
    pub(crate) async fn wait_until_leader(&self) {
        let mut changes = self.subscribe();
        while !self.is_leader() {
            // A lease may begin without a change of what is watched.
            let _ = timeout(LEASE_POLL_INTERVAL, changes.changed()).await;
        }
    }

    /// Where the leader is, as far as it is known; a replica that was found by seeds tells no address for operators.
    pub(crate) fn leader_addrs(&self) -> Option<ReplicaAddrs> {
        let inner = self.replica.addr_of(self.replica.leader()?)?;
        self.addrs.iter().find(|it| it.inner == inner).copied()
    }

    /// Where the leader serves replicas and routers, as far as it is known.
    pub(crate) fn leader_inner_addr(&self) -> Option<SocketAddr> {
        self.replica.addr_of(self.replica.leader()?)
    }

    /// The number of this replica.
    pub(crate) fn id(&self) -> u64 {
        self.replica.id().0
    }

    /// Where the replicas of the group listen, as far as it is known.
    pub(crate) fn member_addrs(&self) -> Vec<SocketAddr> {
        self.replica.member_addrs()
    }

    /// Whether this replica counts towards the quorum, as far as it knows.
    pub(crate) fn is_voter(&self) -> bool {
        self.replica.is_voter(self.replica.id())
    }

    /// Changes whenever a command was applied or the leader changed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ReplicaStatus> {
        self.replica.subscribe()
    }

    /// Takes over a stream from another replica.
    pub(crate) fn handle_stream(&self, stream: Stream) {
        self.replica.handle_stream(stream);
    }

    /// Stops taking part.
    pub(crate) async fn shutdown(&self) {
        self.replica.shutdown().await;
    }
}
