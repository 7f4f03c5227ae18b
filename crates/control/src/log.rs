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
const COMMIT_LIMIT: Duration = Duration::from_millis(5_000);

/// After how many bytes of commands the state is written out: a replica reads so much again at most when it starts.
const SNAPSHOT_BYTES: u64 = 4 << 20;

/// The interval of heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 100;

/// The election timeout on a link that carries documents in no time, in milliseconds.
const ELECTION_MS: f64 = 1_000.0;

/// What a leader may have to send before a heartbeat, in bits: a large compressed document to the four others of five
/// replicas, and as much again to routers.
const BACKLOG_BITS: f64 = 8.0 * 100_000.0 * 8.0;

/// The share of the link's bandwidth for a second that one message may take.
const MESSAGE_SECONDS: f64 = 0.05;

/// The bounds of a message, in bytes.
const MESSAGE_BYTES: (f64, f64) = (16_384.0, 1_048_576.0);

/// Timeouts and sizes that follow from the bandwidth of a host's link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Timing {
    election_ms: u64,
    message_bytes: usize,
}

impl Timing {
    /// A heartbeat that waits behind a document must not end a lease, and a message must not hold up heartbeats.
    fn of(link_mbps: f64) -> Timing {
        let bits = link_mbps * 1_000_000.0;
        let message = (bits / 8.0 * MESSAGE_SECONDS).clamp(MESSAGE_BYTES.0, MESSAGE_BYTES.1);
        Timing {
            election_ms: (ELECTION_MS + BACKLOG_BITS / bits * 1_000.0 / 2.0) as u64,
            message_bytes: message as usize,
        }
    }
}

/// How often a lease is looked for.
const LEASE_POLL: Duration = Duration::from_millis(20);

/// Where a replica can be reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ReplicaAddr {
    /// For replicas and routers.
    pub(crate) inner: SocketAddr,
    /// For operators.
    pub(crate) admin: SocketAddr,
}

/// A command has no output.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub(crate) enum NotCommitted {
    /// This replica does not lead; the command was not and will not be carried out.
    #[display("this replica does not lead")]
    NotLeader,
    /// It was not committed in time; it may yet be.
    #[display("the outcome is unknown")]
    Unknown,
}

/// The replicated log and the state that it leads to.
pub(crate) struct Log {
    replica: Replica<State>,
    addrs: Vec<ReplicaAddr>,
}

impl Log {
    /// Opens the data folder and takes part in the group.
    ///
    /// `own` is where this replica can be reached.
    ///
    /// # Errors
    ///
    /// The data folder cannot be used.
    pub(crate) async fn open(
        settings: &ControlSettings,
        own: ReplicaAddr,
        dialer: Dialer,
        clock: Clock,
    ) -> Result<Log> {
        let mut config = if settings.seeds.is_empty() {
            let peers = settings.peers.iter().map(|it| it.inner).collect();
            ReplicaConfig::new(settings.data.clone(), own.inner, peers)
        } else {
            let (seeds, bootstrap) = (settings.seeds.clone(), settings.bootstrap);
            ReplicaConfig::from_seeds(
                settings.data.clone(),
                own.inner,
                seeds,
                bootstrap,
                2 * settings.tolerance + 1,
            )
        };
        config.set_snapshot_log_bytes(SNAPSHOT_BYTES);
        let timing = Timing::of(settings.link_mbps);
        config.set_max_message_bytes(timing.message_bytes);
        config.set_timeouts(HEARTBEAT_MS, timing.election_ms).wrap_err("control: timeouts")?;
        let replica = Replica::open(config, State::default(), dialer, clock).await;
        let replica = replica.wrap_err("control: open the replicated log")?;
        let peer = |it: &settings::ControlPeer| ReplicaAddr { inner: it.inner, admin: it.admin };
        let addrs = settings.peers.iter().map(peer).chain([own]).collect();
        Ok(Log { replica, addrs })
    }

    /// Returns once a command is committed and applied.
    pub(crate) async fn propose(&self, command: &Command) -> Result<Output, NotCommitted> {
        let bytes = encode_to_vec(command, standard()).map_err(|_| NotCommitted::NotLeader)?;
        let proposed = timeout(COMMIT_LIMIT, self.replica.propose(bytes)).await;
        let reply = match proposed {
            Ok(Ok(reply)) => reply,
            Ok(Err(ProposeError::NotLeader { .. })) => return Err(NotCommitted::NotLeader),
            Ok(Err(ProposeError::Unknown)) | Err(_) => return Err(NotCommitted::Unknown),
        };
        let decoded = decode_from_slice(&reply, standard());
        decoded.map(|(output, _)| output).map_err(|_| NotCommitted::Unknown)
    }

    /// Returns once what [`Log::with`] shows is at least as new as all that was acknowledged before this call.
    pub(crate) async fn read(&self) -> Result<(), NotCommitted> {
        match timeout(COMMIT_LIMIT, self.replica.read_barrier()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(ProposeError::NotLeader { .. })) => Err(NotCommitted::NotLeader),
            Ok(Err(ProposeError::Unknown)) | Err(_) => Err(NotCommitted::Unknown),
        }
    }

    /// Reads the state as applied here, however old it is.
    pub(crate) fn with<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        self.replica.with(read)
    }

    /// The leadership of this replica, while its lease holds.
    pub(crate) fn leading(&self) -> Option<LeaderLease> {
        self.replica.leader_lease()
    }

    /// Whether this replica leads and its lease holds.
    pub(crate) fn leads(&self) -> bool {
        self.leading().is_some()
    }

    /// Returns once this replica leads and its lease holds.
    pub(crate) async fn lead(&self) {
        let mut changes = self.changes();
        while !self.leads() {
            // A lease may begin without a change of what is watched.
            let _ = timeout(LEASE_POLL, changes.changed()).await;
        }
    }

    /// Where the leader is, as far as it is known; a replica that was found by seeds tells no address for operators.
    pub(crate) fn leader(&self) -> Option<ReplicaAddr> {
        let inner = self.replica.addr_of(self.replica.leader()?)?;
        self.addrs.iter().find(|it| it.inner == inner).copied()
    }

    /// Where the leader serves replicas and routers, as far as it is known.
    pub(crate) fn leader_inner(&self) -> Option<SocketAddr> {
        self.replica.addr_of(self.replica.leader()?)
    }

    /// The number of this replica.
    pub(crate) fn id(&self) -> u64 {
        self.replica.id().0
    }

    /// Where the replicas of the group listen, as far as it is known.
    pub(crate) fn replicas(&self) -> Vec<SocketAddr> {
        self.replica.member_addrs()
    }

    /// Whether this replica counts towards the quorum, as far as it knows.
    pub(crate) fn votes(&self) -> bool {
        self.replica.is_voter(self.replica.id())
    }

    /// Changes whenever a command was applied or the leader changed.
    pub(crate) fn changes(&self) -> watch::Receiver<ReplicaStatus> {
        self.replica.subscribe()
    }

    /// Takes over a stream from another replica.
    pub(crate) fn incoming(&self, stream: Stream) {
        self.replica.handle_stream(stream);
    }

    /// Stops taking part.
    pub(crate) async fn shutdown(&self) {
        self.replica.shutdown().await;
    }
}
