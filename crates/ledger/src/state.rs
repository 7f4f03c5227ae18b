//! The replicated state machine of the ledger.

use {
    crate::{
        call::{LedgerCall, LedgerReply},
        shard::{CallContext, Shard},
    },
    derive_more::Debug,
    model::RouterId,
    serde::{Deserialize, Serialize},
};

const SHARD_COUNT: usize = 16;

/// The claims of all requests.
///
/// The state is a pure function of the sequence of applied calls, so replicas that applied the same
/// calls are equal.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Ledger {
    shards: [Shard; SHARD_COUNT],
    now_ms: u64,
}

impl Ledger {
    /// Applies a call that the leader received at `at_ms`, in milliseconds since 1970.
    ///
    /// `retention_ms` is how long the service keeps claims, and `in_roster` is whether the calling
    /// router is in the roster. The time of the ledger never goes back, whatever the clock of a new
    /// leader says.
    pub fn apply(
        &mut self,
        at_ms: u64,
        retention_ms: u64,
        in_roster: bool,
        call: &LedgerCall,
    ) -> LedgerReply {
        self.now_ms = self.now_ms.max(at_ms);
        let now_ms = self.now_ms;
        let context =
            CallContext { router: call.router, id: call.id, in_roster, now_ms, retention_ms };
        let shard = (call.key.hash() % SHARD_COUNT as u64) as usize;
        self.shards[shard].apply(context, &call.key, &call.step)
    }

    /// Permanently marks the claims of a router that was declared missing as unknown.
    pub fn mark_router_lost(&mut self, router: RouterId) {
        self.shards.iter_mut().for_each(|it| it.mark_router_lost(router));
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.shards.iter().map(Shard::len).sum()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
