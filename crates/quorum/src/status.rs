//! Read access to the state of a replica.

use {
    crate::{
        entry::{Entry, HardState, Membership},
        raft::{Raft, Role},
    },
    model::{ReplicaId, Term, Time},
};

impl Raft {
    /// The id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The term, the vote, the group and the persisted commit index.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The latest membership in the log, committed or not.
    pub fn members(&self) -> &Membership {
        self.log.members()
    }

    /// The latest membership that is known to be committed.
    pub fn committed_members(&self) -> &Membership {
        if self.log.members_index() <= self.commit_index {
            return self.log.members();
        }
        self.log.members_at(self.commit_index)
    }

    /// The current leader, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Whether this replica has never been part of a group. A replica that was killed while it bootstrapped one may
    /// still be uninitialized.
    pub fn is_uninitialized(&self) -> bool {
        self.log.last_index() == 0 && self.hard_state.term == Term(0)
    }

    /// Whether this replica should ask to join the group: it is not a member by its own log, or has received nothing
    /// from a leader for two election timeouts. In the latter case the group may have removed it, or discarded the
    /// entry by which it is a member.
    pub fn should_request_join(&self, now: Time) -> bool {
        let silent = now >= self.last_leader_contact + 2 * self.config.election_timeout;
        let leads = matches!(self.role, Role::Leader(_));
        self.log.members().get(self.id).is_none() || (silent && !leads)
    }

    /// The entry at `index`, if it is held in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }
}
