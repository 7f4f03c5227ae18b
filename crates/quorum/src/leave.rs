//! Handing a vote over before a replica stops.
//!
//! A replica that stops for good keeps its vote until it has been silent for the voter timeout, and the group tolerates
//! one loss less meanwhile. If another member can take the vote, a replica that is told to stop asks the leader for that
//! first. The vote moves by joint consensus as it does from a lost voter, so nothing depends on whether the replica
//! waits for the end.

use {
    crate::{
        event::Actions,
        message::Message,
        raft::{Raft, Role},
    },
    model::{ReplicaId, Time},
};

impl Raft {
    /// Whether this replica has a vote that another member might take.
    pub fn has_successor(&self) -> bool {
        self.is_voter() && self.log.members().0.iter().any(|it| !it.is_voter())
    }

    /// Whether this replica has handed its vote over since [`crate::Event::Leave`], or learned that no member can take it.
    pub fn has_left(&self) -> bool {
        self.left
    }

    pub(crate) fn on_leave(&mut self, now: Time, actions: &mut Actions) {
        if matches!(self.role, Role::Leader(_)) {
            self.left = self.release_vote(now, self.id, actions).is_some();
        } else if !self.is_voter() && self.log.members_index() <= self.commit_index {
            self.left = true;
        } else if let Some(leader) = self.leader {
            self.send_now(leader, Message::LeaveRequest, actions);
        }
    }

    pub(crate) fn on_leave_request(&mut self, now: Time, from: ReplicaId, actions: &mut Actions) {
        if let Some(left) = self.release_vote(now, from, actions) {
            self.send_now(from, Message::LeaveResponse { left }, actions);
        }
    }

    /// Gives the vote of a member that is about to stop to another one. Returns whether that is done; `None` while it
    /// is not decided.
    fn release_vote(&mut self, now: Time, id: ReplicaId, actions: &mut Actions) -> Option<bool> {
        let members = self.log.members();
        let is_committed = self.log.members_index() <= self.commit_index;
        let has_spare = members.is_joint() || members.0.iter().any(|it| !it.is_voter());
        let has_vote = members.is_voter(id);
        let Role::Leader(leader) = &mut self.role else { return None };
        if !has_vote || !has_spare {
            return is_committed.then_some(!has_vote);
        }
        leader.leaving.retain(|it| it.0 != id);
        leader.leaving.push((id, now));
        self.change_members(now, actions);
        None
    }

    /// Whether a member has lately said that it is about to stop.
    pub(crate) fn is_leaving(&self, now: Time, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let is_recent = |at: Time| now.since(at) < self.config.election_timeout;
        leader.leaving.iter().any(|it| it.0 == id && is_recent(it.1))
    }
}
