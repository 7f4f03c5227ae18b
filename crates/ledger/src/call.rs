//! How routers call the ledger.

use {
    crate::{answer::RecordedAnswer, claim::ClaimKey},
    derive_more::Debug,
    model::{Digest, EndpointId, RequestId, RouterId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// A call of the ledger.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LedgerCall {
    /// The key.
    pub key: ClaimKey,
    /// The router that calls.
    pub router: RouterId,
    /// The claim's own number: fresh for each try to claim, the same in resends of one call and in later steps.
    pub id: RequestId,
    /// What is asked.
    pub step: ClaimStep,
}

/// What a router asks of the ledger.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ClaimStep {
    /// Asks to run a request; it must not be sent to an endpoint before [`LedgerReply::Granted`].
    Claim {
        /// The digest of the request.
        request: Digest,
    },
    /// Says which endpoint gets the request.
    Dispatched {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Records the answer.
    Done {
        /// The answer.
        answer: Arc<RecordedAnswer>,
    },
    /// Gives the claim back: the request proved not to have run, and this router will not send it any more.
    Release,
    /// Gives up: whether the request ran will never be known.
    Unknown,
}

/// What the ledger replies.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum LedgerReply {
    /// The caller holds the claim and may send the request once.
    Granted,
    /// The step is recorded.
    Noted,
    /// The request ran; this was the answer.
    Recorded(Arc<RecordedAnswer>),
    /// Another claim is running.
    InProgress,
    /// Whether it ran will never be known.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
    /// The caller does not hold this claim (any more): it must not send the request.
    NotHolder,
    /// The caller is not in the roster; it must not send the request.
    NotLive,
    /// There is no such service.
    NoService,
    /// The ledger is full; the request did not run.
    Full,
    /// The answer is larger than what is kept.
    TooLarge,
    /// This replica does not lead; nothing was done.
    NotLeader {
        /// Which one does, as far as it knows.
        leader: Option<SocketAddr>,
    },
    /// The call was not committed in time; it may yet be.
    NoQuorum,
}

impl LedgerCall {
    /// The key.
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }

    /// The router that calls.
    pub fn router(&self) -> RouterId {
        self.router
    }
}
