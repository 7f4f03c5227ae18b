//! What a replica shows of itself.

use {
    crate::{
        entry::{Entry, HardState, Membership},
        raft::{Raft, Role},
    },
    model::{ReplicaId, Term, Time},
};

impl Raft {
    /// This replica's id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// What it must not forget.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The latest membership in its log, committed or not.
    pub fn members(&self) -> &Membership {
        self.log.members()
    }

    /// The latest membership that it knows to be committed.
    pub fn committed_members(&self) -> &Membership {
        if self.log.members_index() <= self.commit_index {
            return self.log.members();
        }
        self.log.members_at(self.commit_index)
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Up to where entries are known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The last entry of its log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Whether it has never taken part in a group: it may have been killed while it was founding one.
    pub fn is_uninitialized(&self) -> bool {
        self.log.last_index() == 0 && self.hard_state.term == Term(0)
    }

    /// Whether it should ask to be taken into the group: it is no member by its own log, or no leader sends to it any
    /// more. What its log says may have been given up by the group.
    pub fn should_request_join(&self, now: Time) -> bool {
        let silent = now >= self.last_leader_contact + 2 * self.config.election_timeout;
        let leads = matches!(self.role, Role::Leader(_));
        self.log.members().get(self.id).is_none() || (silent && !leads)
    }

    /// The entry at an index, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }
}
