//! The replicated state machine of the ledger.

use {
    crate::{
        call::{LedgerCall, LedgerReply},
        shard::{Caller, Shard},
    },
    derive_more::Debug,
    model::RouterId,
    serde::{Deserialize, Serialize},
};

const SHARDS: usize = 16;

/// All claims.
///
/// A pure function of the calls applied, in order: replicas that applied the same ones are equal.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Ledger {
    shards: [Shard; SHARDS],
    now_ms: u64,
}

impl Ledger {
    /// Carries out a call that the leader took at `at_ms`, in milliseconds since 1970.
    ///
    /// `keep_ms` is how long the service keeps claims; `live` says whether the caller is in the roster. Time never
    /// goes back, whatever the leader's clock says.
    pub fn apply(
        &mut self,
        at_ms: u64,
        keep_ms: u64,
        live: bool,
        call: &LedgerCall,
    ) -> LedgerReply {
        self.now_ms = self.now_ms.max(at_ms);
        let now_ms = self.now_ms;
        let caller = Caller { router: call.router, id: call.id, live, now_ms, keep_ms };
        let shard = (call.key.hash() % SHARDS as u64) as usize;
        self.shards[shard].call(caller, &call.key, &call.step)
    }

    /// Turns the claims of a router that was declared missing into unknown ones, for good.
    pub fn mark_router_lost(&mut self, router: RouterId) {
        self.shards.iter_mut().for_each(|it| it.lose(router));
    }

    /// How many claims there are.
    pub fn len(&self) -> usize {
        self.shards.iter().map(Shard::len).sum()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
