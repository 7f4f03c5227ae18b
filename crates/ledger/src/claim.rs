//! A claim and its states.

use {
    crate::answer::RecordedAnswer,
    derive_more::Debug,
    model::{Digest, EndpointId, RequestId, RouterId, ServiceId, TeamId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The key of a claim: an idempotency key of a team at a service.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize, Debug,
)]
pub struct ClaimKey {
    /// The team of the caller.
    pub team: TeamId,
    /// The service that is called.
    pub service: ServiceId,
    /// The digest of the `Idempotency-Key` header.
    pub key: Digest,
}

impl ClaimKey {
    /// Creates the key for the value of an `Idempotency-Key` header.
    pub fn new(team: TeamId, service: ServiceId, key: &[u8]) -> ClaimKey {
        ClaimKey { team, service, key: Digest::of(key) }
    }

    /// Returns a hash that distributes keys evenly.
    pub(crate) fn hash(&self) -> u64 {
        let word = self.key.0.first_chunk().map_or(0, |it| u64::from_le_bytes(*it));
        model::mix2(word, u64::from(self.team.0) << 32 | u64::from(self.service.0))
    }
}

/// The state of a claim.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ClaimState {
    /// A router may send the request or has already sent it.
    Claimed,
    /// A router sends the request to this endpoint.
    Dispatched(EndpointId),
    /// The request ran and got this answer.
    Done(Arc<RecordedAnswer>),
    /// The request provably did not run; the key can be claimed again.
    Released,
    /// Whether the request ran is unknown and will remain so.
    Unknown,
}

/// A claim in the ledger.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct Claim {
    /// The digest of the request.
    pub(crate) request: Digest,
    /// The router that holds the claim or held it last.
    pub(crate) router: RouterId,
    /// The id of the claim, assigned by that router; a later claim has another id.
    pub(crate) id: RequestId,
    /// When the claim expires, in milliseconds since 1970.
    pub(crate) expires_ms: u64,
    /// The state of the claim.
    pub(crate) state: ClaimState,
}

impl Claim {
    /// Returns the stored size of the recorded answer, in bytes.
    pub(crate) fn retained_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Done(answer) => answer.retained_bytes(),
            _ => 0,
        }
    }

    /// Whether the router may still be running the request.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self.state, ClaimState::Claimed | ClaimState::Dispatched(_))
    }
}
