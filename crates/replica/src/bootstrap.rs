//! Bootstrap of a group with a fixed set of addresses.
//!
//! Only the replica with the lowest address may bootstrap the group, and only after all others have replied, in the
//! same round of queries, that they have never been part of a group. A replica that lost its disk therefore rejoins its
//! former group instead of creating a second one.

use {
    derive_more::Debug,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Determines whether this replica may bootstrap a group.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    peers: Vec<SocketAddr>,
    is_lowest: bool,
    round: u64,
    uninitialized: BTreeSet<SocketAddr>,
}

impl Bootstrap {
    pub(crate) fn new(addr: SocketAddr, peers: Vec<SocketAddr>) -> Bootstrap {
        let is_lowest = peers.iter().all(|it| addr < *it);
        Bootstrap { peers, is_lowest, round: 0, uninitialized: BTreeSet::new() }
    }

    /// Starts a round of queries and returns its number; `None` if this replica does not have the lowest address.
    pub(crate) fn start_round(&mut self) -> Option<u64> {
        self.round += 1;
        self.uninitialized.clear();
        self.is_lowest.then_some(self.round)
    }

    /// Records a reply; replies from earlier rounds are ignored.
    pub(crate) fn record_reply(&mut self, from: SocketAddr, round: u64, uninitialized: bool) {
        if round == self.round && uninitialized {
            self.uninitialized.insert(from);
        }
    }

    /// Whether all other replicas replied in this round that they have never been part of a group.
    pub(crate) fn may_bootstrap(&self) -> bool {
        self.is_lowest
            && self.round > 0
            && self.peers.iter().all(|it| self.uninitialized.contains(it))
    }
}
