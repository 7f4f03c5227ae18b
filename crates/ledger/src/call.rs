//! The messages between routers and the ledger.

use {
    crate::{answer::RecordedAnswer, claim::ClaimKey},
    derive_more::Debug,
    model::{Digest, EndpointId, RequestId, RouterId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// A call from a router to the ledger.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LedgerCall {
    /// The key that the call is about.
    pub key: ClaimKey,
    /// The calling router.
    pub router: RouterId,
    /// The id of the claim: new for each attempt to claim, the same in resends of one call and in
    /// the later steps of the claim.
    pub id: RequestId,
    /// The requested step.
    pub step: ClaimStep,
}

/// A step in the life of a claim, requested by a router.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ClaimStep {
    /// Requests the claim. The request must not be sent to an endpoint before
    /// [`LedgerReply::Granted`].
    Claim {
        /// The digest of the request.
        request: Digest,
    },
    /// Records which endpoint the request is sent to.
    Dispatched {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Records the answer of the endpoint.
    Done {
        /// The answer of the endpoint.
        answer: Arc<RecordedAnswer>,
    },
    /// Releases the claim: the request provably did not run, and this router will not send it
    /// again.
    Release,
    /// Abandons the claim: whether the request ran will never be known.
    Unknown,
}

/// The reply of the ledger to a call.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum LedgerReply {
    /// The router holds the claim and may send the request once.
    Granted,
    /// The step is recorded.
    Noted,
    /// The request ran and got this answer.
    Recorded(Arc<RecordedAnswer>),
    /// Another claim for the key is running.
    InProgress,
    /// Whether the request ran will never be known.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
    /// The router does not hold this claim, or no longer does; it must not send the request.
    NotHolder,
    /// The router is not in the roster; it must not send the request.
    NotLive,
    /// The service does not exist.
    NoService,
    /// The ledger is full; the request did not run.
    Full,
    /// The answer exceeds the limits on what is stored.
    TooLarge,
    /// This replica is not the leader; the call had no effect.
    NotLeader {
        /// The address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The call was not committed in time, but may still be.
    NoQuorum,
}

impl LedgerCall {
    /// Returns the key.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }

    /// Returns the calling router.
    pub fn router(&self) -> RouterId {
        self.router
    }
}
