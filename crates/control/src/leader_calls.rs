//! Calls of a replica to the leader, for operators that reached a replica that is not the leader.
//!
//! Links are slow, and a document is many times larger than its compressed form. A replica therefore forwards the
//! compressed form instead of having the operator send the document again. It asks the leader only for the newest
//! version and returns the document itself, so that the leader's link does not carry every document that is read.

use {
    crate::{
        control::Shared,
        evacuation_state::EvacuationOrder,
        evacuations::{self, EvacuationResult},
        replicated_log::CommitError,
        routing_configs,
    },
    derive_more::Debug,
    route::PublishOutcome,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout, timeout_at},
    wire::{Peer, Stream, WireError, msg::LEADER_PATH},
};

/// Time limit for receiving a call.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Delay before a call is repeated that reached no leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for reaching the leader with a command.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for a command, including the commit.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(5_000);

/// A call to the leader.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum LeaderCall {
    /// Publishes a routing configuration that was already validated.
    Publish {
        /// The version that the publisher chose.
        version: u64,
        /// The document, compressed.
        #[debug("{} bytes", document.len())]
        document: Vec<u8>,
    },
    /// Asks for the version of the newest acknowledged routing configuration.
    NewestVersion,
    /// Evacuates a failure domain, or withdraws its evacuation. Since protocol 1.
    Evacuate {
        /// The order. The leader sets its time.
        order: EvacuationOrder,
        /// Whether the caller knows the domain.
        is_known: bool,
    },
}

/// The leader's reply.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum LeaderReply {
    /// The configuration is committed, or a newer one was.
    Published(PublishOutcome),
    /// The version of the newest acknowledged routing configuration.
    NewestVersion(Option<u64>),
    /// This replica is not the leader. The call had no effect.
    NotLeader,
    /// The outcome is unknown.
    Unknown,
    /// What became of an order of an evacuation.
    Evacuation(EvacuationResult),
}

impl From<CommitError> for LeaderReply {
    fn from(err: CommitError) -> LeaderReply {
        match err {
            CommitError::NotLeader => LeaderReply::NotLeader,
            CommitError::Unknown => LeaderReply::Unknown,
        }
    }
}

impl LeaderCall {
    /// Returns the protocol that introduced the call.
    fn min_protocol(&self) -> u32 {
        match self {
            LeaderCall::Publish { .. } | LeaderCall::NewestVersion => 0,
            LeaderCall::Evacuate { .. } => evacuations::MIN_PROTOCOL,
        }
    }
}

/// Calls the leader with a command.
///
/// # Errors
///
/// As for [`call`].
pub(crate) async fn call_with_command(
    shared: &Shared,
    command: &LeaderCall,
) -> Result<LeaderReply, CommitError> {
    let now = Instant::now();
    call(shared, command, now + OPEN_TIMEOUT, now + COMMAND_TIMEOUT).await
}

/// Calls the leader, and returns its reply. A call that does not reach a leader is repeated until `open_deadline`; one
/// that was sent is given up at `deadline`.
///
/// That a replica can't reach the leader doesn't mean that others can't, or that another one leads: its link may be busy.
///
/// # Errors
///
/// [`CommitError::NotLeader`] if no leader is known or none was reached. The call had no effect.
pub(crate) async fn call(
    shared: &Shared,
    call: &LeaderCall,
    open_deadline: Instant,
    deadline: Instant,
) -> Result<LeaderReply, CommitError> {
    loop {
        let leader = shared.log.leader_internal_addr().ok_or(CommitError::NotLeader)?;
        let started = Instant::now();
        let elapsed_ms = || started.elapsed().as_millis() as u64;
        let peer = leader_peer(shared, leader);
        let cause = match timeout_at(open_deadline, peer.open(LEADER_PATH)).await {
            Ok(Ok(stream)) => {
                let reply = exchange(&peer, stream, call, deadline).await;
                tracing::info!(
                    event = "leader-called",
                    %leader,
                    ?call,
                    ?reply,
                    elapsed_ms = elapsed_ms(),
                    "control: called the leader"
                );
                match reply {
                    LeaderReply::NotLeader => None,
                    LeaderReply::Unknown => return Err(CommitError::Unknown),
                    reply => return Ok(reply),
                }
            }
            Ok(Err(err)) => Some(err.to_string()),
            Err(elapsed) => {
                peer.retire().await;
                Some(elapsed.to_string())
            }
        };
        if let Some(cause) = cause {
            tracing::info!(
                event = "leader-unreachable",
                %leader,
                ?call,
                cause,
                elapsed_ms = elapsed_ms(),
                "control: cannot open a stream to the leader"
            );
        }
        if Instant::now() + RETRY_INTERVAL >= open_deadline {
            return Err(CommitError::NotLeader);
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the connection to the leader, which is replaced when another replica leads.
fn leader_peer(shared: &Shared, leader: SocketAddr) -> Peer {
    let mut current = shared.leader_peer.lock();
    match current.as_ref().filter(|it| it.addr() == leader) {
        Some(peer) => peer.clone(),
        None => current.insert(Peer::new(leader, shared.dialer.clone())).clone(),
    }
}

/// Sends a call and waits for its reply.
async fn exchange(
    peer: &Peer,
    mut stream: Stream,
    call: &LeaderCall,
    deadline: Instant,
) -> LeaderReply {
    if stream.protocol < call.min_protocol() {
        return LeaderReply::Evacuation(EvacuationResult::OldMember);
    }
    let exchanged = timeout_at(deadline, async {
        stream.send.send(call).await?;
        stream.send.finish();
        stream.recv.recv::<LeaderReply>().await
    });
    match exchanged.await {
        Ok(Ok(Some(reply))) => reply,
        Ok(Ok(None) | Err(_)) | Err(_) => {
            peer.retire().await;
            LeaderReply::Unknown
        }
    }
}

/// Serves one call of another replica.
pub(crate) async fn serve(shared: Arc<Shared>, mut stream: Stream) -> Result<(), WireError> {
    let Ok(call) = timeout(RECEIVE_TIMEOUT, stream.recv.recv::<LeaderCall>()).await else {
        return Ok(());
    };
    let Some(call) = call? else { return Ok(()) };
    let reply = match call {
        LeaderCall::Publish { version, document } => {
            routing_configs::commit(&shared, version, document).await.map(LeaderReply::Published)
        }
        LeaderCall::NewestVersion => {
            routing_configs::newest_version(&shared).await.map(LeaderReply::NewestVersion)
        }
        LeaderCall::Evacuate { order, is_known } => {
            evacuations::commit(&shared, order, is_known).await.map(LeaderReply::Evacuation)
        }
    };
    stream.send.send(&reply.unwrap_or_else(LeaderReply::from)).await?;
    stream.send.finish();
    Ok(())
}
