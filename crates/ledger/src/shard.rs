//! The claims of one part of the key space.
//!
//! Shards share nothing, so that they can be spread over several groups of replicas.

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

/// The most claims in a shard.
const MAX_CLAIMS: usize = 1 << 18;

/// The most bytes of answers in a shard; beyond, only digests of bodies are kept.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// How many expired claims are dropped with each call.
const EXPIRE_BATCH: usize = 8;

/// Claims by key, with the indexes to expire them and to find those of a lost router.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Shard {
    claims: BTreeMap<ClaimKey, Claim>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    held: BTreeSet<(RouterId, ClaimKey)>,
    answer_bytes: usize,
}

/// Who calls, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    /// The router.
    pub(crate) router: RouterId,
    /// The claim's own number.
    pub(crate) id: RequestId,
    /// Whether the router is in the roster.
    pub(crate) live: bool,
    /// The present, in milliseconds since 1970.
    pub(crate) now_ms: u64,
    /// How long claims are kept, in milliseconds.
    pub(crate) keep_ms: u64,
}

impl Shard {
    /// How many claims there are.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Carries out a call.
    pub(crate) fn call(&mut self, caller: Caller, key: &ClaimKey, step: &ClaimStep) -> LedgerReply {
        self.expire(caller);
        match step {
            ClaimStep::Claim { request } => self.claim(caller, key, *request),
            ClaimStep::Dispatched { endpoint } => {
                self.advance(caller, key, ClaimState::Dispatched(*endpoint))
            }
            ClaimStep::Done { answer } if !answer.fits() => LedgerReply::TooLarge,
            ClaimStep::Done { answer } => {
                let answer = self.within_budget(answer);
                self.advance(caller, key, ClaimState::Done(answer))
            }
            ClaimStep::Release => self.release(caller, key),
            ClaimStep::Unknown => self.advance(caller, key, ClaimState::Unknown),
        }
    }

    /// Turns the claims that a router holds into unknown ones.
    pub(crate) fn lose(&mut self, router: RouterId) {
        let range = (router, ClaimKey::default())..;
        let own = self.held.range(range).take_while(|it| it.0 == router);
        let keys: Vec<_> = own.map(|it| it.1).collect();
        keys.iter().for_each(|it| self.set(it, ClaimState::Unknown));
    }

    fn claim(&mut self, caller: Caller, key: &ClaimKey, request: Digest) -> LedgerReply {
        if !caller.live {
            return LedgerReply::NotLive;
        }
        let Some(claim) = self.claims.get(key) else { return self.grant(caller, key, request) };
        let own = claim.router == caller.router && claim.id == caller.id;
        match &claim.state {
            // The same number was released: this is a late copy of a call that its router gave up.
            ClaimState::Released if own => LedgerReply::NotHolder,
            ClaimState::Released => self.grant(caller, key, request),
            _ if claim.request != request => LedgerReply::Mismatch,
            ClaimState::Done(answer) => LedgerReply::Recorded(answer.clone()),
            ClaimState::Unknown => LedgerReply::Unknown,
            ClaimState::Claimed if own => LedgerReply::Granted,
            ClaimState::Claimed | ClaimState::Dispatched(_) => LedgerReply::InProgress,
        }
    }

    fn grant(&mut self, caller: Caller, key: &ClaimKey, request: Digest) -> LedgerReply {
        if self.claims.len() >= MAX_CLAIMS && !self.claims.contains_key(key) {
            return LedgerReply::Full;
        }
        self.put(caller, key, request, ClaimState::Claimed);
        LedgerReply::Granted
    }

    /// Moves a claim on that the caller holds.
    fn advance(&mut self, caller: Caller, key: &ClaimKey, next: ClaimState) -> LedgerReply {
        let Some(claim) = self.claims.get(key) else { return LedgerReply::NotHolder };
        if claim.router != caller.router || claim.id != caller.id {
            return LedgerReply::NotHolder;
        }
        match (&claim.state, &next) {
            (ClaimState::Unknown, _) => LedgerReply::Unknown,
            (ClaimState::Done(answer), _) => LedgerReply::Recorded(answer.clone()),
            (ClaimState::Released, _) => LedgerReply::NotHolder,
            (ClaimState::Claimed | ClaimState::Dispatched(_), _) => {
                self.set(key, next);
                LedgerReply::Noted
            }
        }
    }

    /// Gives a claim back; one that has not arrived yet is barred, as its router will not use it.
    fn release(&mut self, caller: Caller, key: &ClaimKey) -> LedgerReply {
        if self.claims.contains_key(key) {
            return self.advance(caller, key, ClaimState::Released);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return LedgerReply::Full;
        }
        self.put(caller, key, Digest::default(), ClaimState::Released);
        LedgerReply::Noted
    }

    fn put(&mut self, caller: Caller, key: &ClaimKey, request: Digest, state: ClaimState) {
        self.remove(key);
        let expires_ms = caller.now_ms.saturating_add(caller.keep_ms);
        let claim = Claim { request, router: caller.router, id: caller.id, expires_ms, state };
        self.expiry.insert((expires_ms, *key));
        if claim.is_held() {
            self.held.insert((claim.router, *key));
        }
        self.claims.insert(*key, claim);
    }

    /// Returns what is kept of an answer: a shard that is full of bodies keeps only a digest.
    fn within_budget(&self, answer: &Arc<RecordedAnswer>) -> Arc<RecordedAnswer> {
        if self.answer_bytes + answer.bytes() <= MAX_ANSWER_BYTES {
            return answer.clone();
        }
        Arc::new(answer.without_body())
    }

    fn set(&mut self, key: &ClaimKey, state: ClaimState) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        claim.state = state;
        self.answer_bytes += claim.answer_bytes();
        if !claim.is_held() {
            self.held.remove(&(claim.router, *key));
        }
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(claim) = self.claims.remove(key) else { return };
        self.answer_bytes -= claim.answer_bytes();
        self.expiry.remove(&(claim.expires_ms, *key));
        self.held.remove(&(claim.router, *key));
    }

    /// Drops claims whose deadline passed; a request that may still run becomes unknown and is kept once more.
    fn expire(&mut self, caller: Caller) {
        for _ in 0..EXPIRE_BATCH {
            let Some((expires_ms, key)) = self.expiry.first().copied() else { return };
            if expires_ms > caller.now_ms {
                return;
            }
            if !self.claims.get(&key).is_some_and(Claim::is_held) {
                self.remove(&key);
                continue;
            }
            self.set(&key, ClaimState::Unknown);
            self.postpone(&key, caller.now_ms.saturating_add(caller.keep_ms));
        }
    }

    fn postpone(&mut self, key: &ClaimKey, expires_ms: u64) {
        let Some(claim) = self.claims.get_mut(key) else { return };
        self.expiry.remove(&(claim.expires_ms, *key));
        claim.expires_ms = expires_ms;
        self.expiry.insert((expires_ms, *key));
    }
}
