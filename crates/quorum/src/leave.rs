//! Handing a vote over before a replica stops.
//!
//! A replica that stops for good keeps its vote until it has been silent for the voter timeout, and the group tolerates
//! one loss less meanwhile. If another member can take the vote, or the group has more voters than intended, a replica
//! that is told to stop asks the leader to take its vote first. That is done by joint consensus as with a lost voter, so
//! nothing depends on whether the replica waits for the end.

use {
    crate::{
        event::Actions,
        leader::LeavingMember,
        message::Message,
        raft::{Raft, Role},
    },
    model::{ReplicaId, Time},
};

impl Raft {
    /// Whether this replica has a vote that another member might take or that the group does not need.
    pub fn has_successor(&self) -> bool {
        self.is_voter() && self.has_spare()
    }

    /// Whether a member has no vote or the group has more voters than intended.
    fn has_spare(&self) -> bool {
        let members = self.log.members();
        members.voter_count() > self.config.target_voters
            || members.0.iter().any(|it| !it.is_voter())
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
        let has_spare = members.is_joint() || self.has_spare();
        let has_vote = members.is_voter(id);
        let Role::Leader(leader) = &mut self.role else { return None };
        if !has_vote || !has_spare {
            return is_committed.then_some(!has_vote);
        }
        leader.leaving.retain(|it| now < it.expires_at);
        let expires_at = now + self.config.election_timeout;
        match leader.leaving.iter_mut().find(|it| it.id == id) {
            Some(known) => known.expires_at = expires_at,
            None => leader.leaving.push(LeavingMember { id, since: now, expires_at }),
        }
        self.change_members(now, actions);
        None
    }

    /// Whether a member has lately said that it is about to stop.
    pub(crate) fn is_leaving(&self, now: Time, id: ReplicaId) -> bool {
        self.leaving_since(now, id).is_some()
    }

    fn leaving_since(&self, now: Time, id: ReplicaId) -> Option<Time> {
        let Role::Leader(leader) = &self.role else { return None };
        leader.leaving.iter().find(|it| it.id == id && now < it.expires_at).map(|it| it.since)
    }

    /// Whether a member that is about to stop may hand its vote to `new`.
    ///
    /// `new` and all other voters must have answered since it said so, as the group must not lose two votes with one
    /// disk. All other voters must also have answered since `new` joined: it may have been started in place of one that
    /// is lost, and must then take that one's vote.
    pub(crate) fn may_hand_over(&self, now: Time, old: ReplicaId, new: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(since) = self.leaving_since(now, old) else { return false };
        let Some(joined_at) = leader.peers.get(&new).map(|it| it.tracked_since) else {
            return false;
        };
        let voters = self.log.members().voters().filter(|it| *it != old);
        let since = since.max(joined_at);
        voters.chain([new]).all(|it| self.acked_sent_at(leader, now, it) >= since)
    }

    /// Whether an extra voter that is about to stop may lose its vote: all others must have answered since it said so.
    pub(crate) fn may_leave(&self, now: Time, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(since) = self.leaving_since(now, id) else { return false };
        let mut others = self.log.members().voters().filter(|it| *it != id);
        others.all(|it| self.acked_sent_at(leader, now, it) >= since)
    }
}
