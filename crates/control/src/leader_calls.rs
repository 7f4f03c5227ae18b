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
    model::MILLISECOND,
    route::PublishOutcome,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::{Peer, Stream, WireError, msg::LEADER_PATH},
};

/// Time limit for receiving a call.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time limit for a call, including the commit.
const CALL_TIMEOUT: Duration = Duration::from_millis(5_000);

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

/// Calls the leader. Returns [`LeaderReply::NotLeader`] if the call did not reach it.
pub(crate) async fn call(shared: &Shared, call: &LeaderCall) -> LeaderReply {
    let Some(leader) = shared.log.leader_internal_addr() else { return LeaderReply::NotLeader };
    let peer = {
        let mut current = shared.leader_peer.lock();
        match current.as_ref().filter(|it| it.addr() == leader) {
            Some(peer) => peer.clone(),
            None => current.insert(Peer::new(leader, shared.dialer.clone())).clone(),
        }
    };
    let started_at = shared.clock.now();
    let elapsed_ms = || (shared.clock.now().0 - started_at.0) / MILLISECOND;
    let mut stream = match peer.open(LEADER_PATH).await {
        Ok(stream) => stream,
        Err(err) => {
            tracing::info!(
                event = "leader-unreachable",
                %leader,
                ?call,
                %err,
                elapsed_ms = elapsed_ms(),
                "control: cannot open a stream to the leader"
            );
            return LeaderReply::NotLeader;
        }
    };
    if stream.protocol < call.min_protocol() {
        return LeaderReply::Evacuation(EvacuationResult::OldMember);
    }
    let exchanged = timeout(CALL_TIMEOUT, async {
        stream.send.send(call).await?;
        stream.send.finish();
        stream.recv.recv::<LeaderReply>().await
    });
    let reply = match exchanged.await {
        Ok(Ok(Some(reply))) => reply,
        Ok(Ok(None) | Err(_)) | Err(_) => {
            peer.retire().await;
            LeaderReply::Unknown
        }
    };
    tracing::info!(
        event = "leader-called",
        %leader,
        ?call,
        ?reply,
        elapsed_ms = elapsed_ms(),
        "control: called the leader"
    );
    reply
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
