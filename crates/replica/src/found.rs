//! Finding the group: founding one if there is none, or asking to join.
//!
//! Only the replica with the lowest address founds, and only when every other one has said, in one round of questions,
//! that it never took part in a group. A replica that lost its disk therefore finds the group that it was in.

use {
    derive_more::Debug,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Whether a group can be founded.
#[derive(Debug)]
pub(crate) struct Founding {
    peers: Vec<SocketAddr>,
    lowest: bool,
    round: u64,
    fresh: BTreeSet<SocketAddr>,
}

impl Founding {
    pub(crate) fn new(addr: SocketAddr, peers: Vec<SocketAddr>) -> Founding {
        let lowest = peers.iter().all(|it| addr < *it);
        Founding { peers, lowest, round: 0, fresh: BTreeSet::new() }
    }

    /// Starts a round of questions; nothing if this replica is not the one that founds.
    pub(crate) fn ask(&mut self) -> Option<u64> {
        self.round += 1;
        self.fresh.clear();
        self.lowest.then_some(self.round)
    }

    /// Takes an answer.
    pub(crate) fn answer(&mut self, from: SocketAddr, round: u64, fresh: bool) {
        if round == self.round && fresh {
            self.fresh.insert(from);
        }
    }

    /// Whether all others answered in this round that they never took part in a group.
    pub(crate) fn may_found(&self) -> bool {
        self.lowest && self.round > 0 && self.peers.iter().all(|it| self.fresh.contains(it))
    }
}
