//! Voters that are lost for good.
//!
//! A replica whose folder is empty draws a new id, so a voter whose address is used by a replica with another id has
//! lost its disk and will never vote or acknowledge again. In a group with an even number of voters, half of them are a
//! quorum if another voter is known to be lost: two disjoint halves cannot both be one. Say that one of them counts the
//! loss of x, which is in the other half, and the other one the loss of y, which is in the first. The first half has
//! responded after the loss of x, so y was not lost before x; the second one has responded after the loss of y, so x was
//! not lost before y. Hence responses count only if they answer requests that were sent once the loss was known, and a
//! voter that is taken for lost by mistake does no harm unless a voter of the other half is, too.

use {
    crate::{
        entry::Member,
        event::{Action, Actions},
        raft::{Raft, Role},
    },
    model::{ReplicaId, Time},
};

impl Raft {
    /// Records that a replica which asks to join uses the address of a voter.
    pub(crate) fn record_joiner(&mut self, now: Time, joiner: &Member, actions: &mut Actions) {
        if let Some(lost) = self.predecessor(joiner) {
            self.record_lost_voter(now, lost, actions);
        }
    }

    /// Whether a replica that asks to join uses the address of a voter.
    pub(crate) fn replaces_voter(&self, joiner: &Member) -> bool {
        self.predecessor(joiner).is_some()
    }

    fn predecessor(&self, joiner: &Member) -> Option<ReplicaId> {
        let members = self.log.members();
        let mut voters = members.0.iter().filter(|it| it.is_voter());
        let lost =
            voters.find(|it| it.addr == joiner.addr).filter(|_| !members.is_voter(joiner.id));
        lost.map(|it| it.id)
    }

    /// Records the voters whose address another member has, which joined later.
    pub(crate) fn record_lost_voters(&mut self, now: Time, actions: &mut Actions) {
        let members = self.log.members().clone();
        let voters = members.0.iter().filter(|it| it.is_voter());
        for voter in voters.filter(|it| members.has_successor(it)) {
            self.record_lost_voter(now, voter.id, actions);
        }
    }

    fn record_lost_voter(&mut self, now: Time, id: ReplicaId, actions: &mut Actions) {
        let members = self.log.members();
        self.lost_voters.retain(|it, _| members.is_voter(*it));
        if id == self.id || self.lost_voters.contains_key(&id) {
            return;
        }
        self.lost_voters.insert(id, now);
        actions.push(Action::VoterLost(id));
        // Half of the voters may elect a leader now, and need not wait until the next election.
        if !matches!(self.role, Role::Leader(_)) && self.leader.is_none() && self.is_voter() {
            self.election_deadline = self.election_deadline.min(self.retry_deadline(now));
        }
    }

    /// Since when a voter is known to be lost for good.
    pub(crate) fn lost_at(&self, id: ReplicaId) -> Option<Time> {
        self.lost_voters.get(&id).copied()
    }
}
