//! One claim and its life.

use {
    crate::answer::RecordedAnswer,
    derive_more::Debug,
    model::{Digest, EndpointId, RequestId, RouterId, ServiceId, TeamId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What a claim is for: one caller's key at one service.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize, Debug,
)]
pub struct ClaimKey {
    /// The caller's team.
    pub team: TeamId,
    /// The service called.
    pub service: ServiceId,
    /// The digest of the `Idempotency-Key` header.
    pub key: Digest,
}

impl ClaimKey {
    /// Returns the key for the value of an `Idempotency-Key` header.
    pub fn new(team: TeamId, service: ServiceId, key: &[u8]) -> ClaimKey {
        ClaimKey { team, service, key: Digest::of(key) }
    }

    /// A hash that spreads keys evenly.
    pub(crate) fn hash(&self) -> u64 {
        let word = self.key.0.first_chunk().map_or(0, |it| u64::from_le_bytes(*it));
        model::mix2(word, u64::from(self.team.0) << 32 | u64::from(self.service.0))
    }
}

/// What is known of a key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum ClaimState {
    /// A router may send the request, or has.
    Claimed,
    /// A router sends the request to this endpoint.
    Dispatched(EndpointId),
    /// The request ran, and this was the answer.
    Done(Arc<RecordedAnswer>),
    /// The request proved not to have run; another may claim the key.
    Released,
    /// Nobody knows whether the request ran, for good.
    Unknown,
}

/// A claim in the ledger.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct Claim {
    /// The digest of the request.
    pub(crate) request: Digest,
    /// The router that holds it or held it last.
    pub(crate) router: RouterId,
    /// The claim's own number, given by that router; a later claim has another.
    pub(crate) id: RequestId,
    /// When it is dropped, in milliseconds since 1970.
    pub(crate) expires_ms: u64,
    /// What is known.
    pub(crate) state: ClaimState,
}

impl Claim {
    /// How many bytes of an answer it keeps.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Done(answer) => answer.bytes(),
            _ => 0,
        }
    }

    /// Whether its router may still be running the request.
    pub(crate) fn is_held(&self) -> bool {
        matches!(self.state, ClaimState::Claimed | ClaimState::Dispatched(_))
    }
}
