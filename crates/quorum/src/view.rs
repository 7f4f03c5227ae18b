//! What a replica shows of itself.

use {
    crate::{
        core::{Core, Role},
        entry::{Entry, HardState, Members},
    },
    model::{ReplicaId, Term, Time},
};

impl Core {
    /// This replica's id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// What it must not forget.
    pub fn hard(&self) -> HardState {
        self.hard
    }

    /// The latest membership in its log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// The latest membership that it knows to be committed.
    pub fn committed_members(&self) -> &Members {
        if self.log.members_index() <= self.commit {
            return self.log.members();
        }
        self.log.members_at(self.commit)
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Up to where entries are known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The last entry of its log.
    pub fn last(&self) -> u64 {
        self.log.last()
    }

    /// Whether it has never taken part in a group: it may have been killed while it was founding one.
    pub fn is_fresh(&self) -> bool {
        self.log.last() == 0 && self.hard.term == Term(0)
    }

    /// Whether it should ask to be taken into the group: it is no member by its own log, or no leader sends to it any
    /// more. What its log says may have been given up by the group.
    pub fn wants_to_join(&self, now: Time) -> bool {
        let silent = now >= self.heard + 2 * self.config.election;
        let leads = matches!(self.role, Role::Leader(_));
        self.log.members().get(self.id).is_none() || (silent && !leads)
    }

    /// The entry at an index, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }
}
