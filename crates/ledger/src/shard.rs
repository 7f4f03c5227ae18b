//! A shard of the ledger: the claims of a part of the key space.
//!
//! Shards share no state, so they can be distributed over several replica groups.

use {
    crate::{
        answer::RecordedAnswer,
        call::{ClaimStep, LedgerReply},
        claim::{Claim, ClaimKey, ClaimState},
    },
    derive_more::Debug,
    model::{Digest, RequestId, RouterId},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The maximum number of claims in a shard.
const MAX_CLAIMS: usize = 1 << 18;

/// The maximum size of the stored answers in a shard, in bytes. Beyond it, only digests of bodies
/// are stored.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The maximum number of expired claims that are dropped per call.
const EXPIRE_BATCH: usize = 8;

/// The claims by key, indexed by expiry time and by the router that holds them.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Shard {
    claims: BTreeMap<ClaimKey, Claim>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    held: BTreeSet<(RouterId, ClaimKey)>,
    answer_bytes: usize,
}

/// The context of a call: who makes it, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallContext {
    /// The calling router.
    pub(crate) router: RouterId,
    /// The id of the claim.
    pub(crate) id: RequestId,
    /// Whether the router is in the roster.
    pub(crate) in_roster: bool,
    /// The current time, in milliseconds since 1970.
    pub(crate) now_ms: u64,
    /// How long claims are kept, in milliseconds.
    pub(crate) retention_ms: u64,
}

impl Shard {
    /// Returns the number of claims.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Applies a call.
    pub(crate) fn apply(
        &mut self,
        context: CallContext,
        key: &ClaimKey,
        step: &ClaimStep,
    ) -> LedgerReply {
        self.expire(context);
        match step {
            ClaimStep::Claim { request } => self.claim(context, key, *request),
            ClaimStep::Dispatched { endpoint } => {
                self.transition(context, key, ClaimState::Dispatched(*endpoint))
            }
            ClaimStep::Done { answer } if !answer.is_within_limits() => LedgerReply::TooLarge,
            ClaimStep::Done { answer } => {
                let answer = self.limit_to_budget(answer);
                self.transition(context, key, ClaimState::Done(answer))
            }
            ClaimStep::Release => self.release(context, key),
            ClaimStep::Unknown => self.transition(context, key, ClaimState::Unknown),
        }
    }

    /// Marks all claims held by a router as unknown.
    pub(crate) fn mark_router_lost(&mut self, router: RouterId) {
        let range = (router, ClaimKey::default())..;
        let held_by_router = self.held.range(range).take_while(|it| it.0 == router);
        let keys: Vec<_> = held_by_router.map(|it| it.1).collect();
        keys.iter().for_each(|it| self.set_state(it, ClaimState::Unknown));
    }

    fn claim(&mut self, context: CallContext, key: &ClaimKey, request: Digest) -> LedgerReply {
        if !context.in_roster {
            return LedgerReply::NotLive;
        }
        let Some(claim) = self.claims.get(key) else { return self.grant(context, key, request) };
        let own = claim.router == context.router && claim.id == context.id;
        match &claim.state {
            // This claim id was released, so this is a delayed copy of a call that its router
            // abandoned.
            ClaimState::Released if own => LedgerReply::NotHolder,
            ClaimState::Released => self.grant(context, key, request),
            _ if claim.request != request => LedgerReply::Mismatch,
            ClaimState::Done(answer) => LedgerReply::Recorded(answer.clone()),
            ClaimState::Unknown => LedgerReply::Unknown,
            ClaimState::Claimed if own => LedgerReply::Granted,
            ClaimState::Claimed | ClaimState::Dispatched(_) => LedgerReply::InProgress,
        }
    }

    fn grant(&mut self, context: CallContext, key: &ClaimKey, request: Digest) -> LedgerReply {
        if self.claims.len() >= MAX_CLAIMS && !self.claims.contains_key(key) {
            return LedgerReply::Full;
        }
        self.insert(context, key, request, ClaimState::Claimed);
        LedgerReply::Granted
    }

    /// Moves a claim that the calling router holds to its next state.
    fn transition(
        &mut self,
        context: CallContext,
        key: &ClaimKey,
        next: ClaimState,
    ) -> LedgerReply {
        let Some(claim) = self.claims.get(key) else { return LedgerReply::NotHolder };
        if claim.router != context.router || claim.id != context.id {
            return LedgerReply::NotHolder;
        }
        match (&claim.state, &next) {
            (ClaimState::Unknown, _) => LedgerReply::Unknown,
            (ClaimState::Done(answer), _) => LedgerReply::Recorded(answer.clone()),
            (ClaimState::Released, _) => LedgerReply::NotHolder,
            (ClaimState::Claimed | ClaimState::Dispatched(_), _) => {
                self.set_state(key, next);
                LedgerReply::Noted
            }
        }
    }

    /// Releases a claim. If the claim has not arrived yet, this prevents it from being granted
    /// later, because its router will not use it.
    fn release(&mut self, context: CallContext, key: &ClaimKey) -> LedgerReply {
        if self.claims.contains_key(key) {
            return self.transition(context, key, ClaimState::Released);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return LedgerReply::Full;
        }
        self.insert(context, key, Digest::default(), ClaimState::Released);
        LedgerReply::Noted
    }

    fn insert(&mut self, context: CallContext, key: &ClaimKey, request: Digest, state: ClaimState) {
        self.remove(key);
        let expires_ms = context.now_ms.saturating_add(context.retention_ms);
        let claim = Claim { request, router: context.router, id: context.id, expires_ms, state };
        self.expiry.insert((expires_ms, *key));
        if claim.is_held() {
            self.held.insert((claim.router, *key));
        }
        self.claims.insert(*key, claim);
    }

    /// Returns the part of an answer that is stored: only a digest of the body if the shard has no
    /// room for the body.
    fn limit_to_budget(&self, answer: &Arc<RecordedAnswer>) -> Arc<RecordedAnswer> {
        if self.answer_bytes + answer.retained_bytes() <= MAX_ANSWER_BYTES {
            return answer.clone();
        }
        Arc::new(answer.without_body())
    }

    fn set_state(&mut self, key: &ClaimKey, state: ClaimState) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.state = state;
        self.answer_bytes += claim.retained_bytes();
        if !claim.is_held() {
            self.held.remove(&(claim.router, *key));
        }
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(claim) = self.claims.remove(key) else { return };
        self.answer_bytes -= claim.retained_bytes();
        self.expiry.remove(&(claim.expires_ms, *key));
        self.held.remove(&(claim.router, *key));
    }

    /// Drops expired claims. A claim whose request may still be running becomes unknown instead and
    /// is kept for another period.
    fn expire(&mut self, context: CallContext) {
        for _ in 0..EXPIRE_BATCH {
            let Some((expires_ms, key)) = self.expiry.first().copied() else { return };
            if expires_ms > context.now_ms {
                return;
            }
            if !self.claims.get(&key).is_some_and(Claim::is_held) {
                self.remove(&key);
                continue;
            }
            self.set_state(&key, ClaimState::Unknown);
            self.extend_expiry(&key, context.now_ms.saturating_add(context.retention_ms));
        }
    }

    fn extend_expiry(&mut self, key: &ClaimKey, expires_ms: u64) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        self.expiry.remove(&(claim.expires_ms, *key));
        claim.expires_ms = expires_ms;
        self.expiry.insert((expires_ms, *key));
    }
}
