//! The leader lease, and the reads that rely on it.

use {
    crate::{
        event::{Action, Actions},
        leader::{LeaderState, PendingRead},
        raft::{Raft, Role},
    },
    model::{ReplicaId, Term, Time},
};

impl Raft {
    /// The term that this replica leads and the time until which no other replica can lead.
    ///
    /// `None` if this replica is not the leader, has not yet committed an entry of its term (and with it all that
    /// earlier leaders committed), has no valid lease, or the group has too few voters to accept commands.
    pub fn leader_lease(&self, now: Time) -> Option<(Term, Time)> {
        self.current_lease(now).filter(|_| self.has_min_voters())
    }

    /// As [`Raft::leader_lease`], whether or not the group has enough voters to accept commands.
    pub(crate) fn current_lease(&self, now: Time) -> Option<(Term, Time)> {
        let Role::Leader(leader) = &self.role else { return None };
        let until = self.lease_expiry(now)?;
        (self.commit_index >= leader.first_index && now < until)
            .then_some((self.hard_state.term, until))
    }

    pub(crate) fn on_read(&mut self, now: Time, token: u64, actions: &mut Actions) {
        let Role::Leader(leader) = &mut self.role else {
            actions.push(Action::ReadFailed { token });
            return;
        };
        leader.pending_reads.push(PendingRead { token, requested_at: now });
        self.complete_reads(now, actions);
    }

    /// Completes the reads that are covered by a valid lease, or by messages that were sent after the read was
    /// requested and that a majority has answered.
    pub(crate) fn complete_reads(&mut self, now: Time, actions: &mut Actions) {
        let start = self.lease_start(now);
        let has_lease = self.current_lease(now).is_some();
        let index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else { return };
        if index < leader.first_index {
            return;
        }
        leader.pending_reads.retain(|it| {
            let ready = has_lease || start >= it.requested_at;
            if ready {
                actions.push(Action::ReadReady { token: it.token, index });
            }
            !ready
        });
    }

    /// The latest time such that a quorum has answered a message sent at that time or later; zero if there is none.
    ///
    /// The lease runs from the time of sending: a replica that answered denies votes for an election timeout after it
    /// received the message, which is later.
    pub(crate) fn lease_start(&self, now: Time) -> Time {
        let Role::Leader(leader) = &self.role else { return Time::default() };
        let acked_sent_at = |it| self.acked_sent_at(leader, now, it);
        let members = self.log.members();
        members.reached_by_quorum(acked_sent_at, |it| self.lost_at(it), acked_sent_at)
    }

    /// The sending time of the latest message that a member answered; zero if it has answered none.
    pub(crate) fn acked_sent_at(&self, leader: &LeaderState, now: Time, id: ReplicaId) -> Time {
        match leader.peers.get(&id) {
            _ if id == self.id => now,
            Some(peer) => peer.acked_sent_at,
            None => Time::default(),
        }
    }

    pub(crate) fn has_min_voters(&self) -> bool {
        self.log.members().voter_count() >= self.config.min_voters
    }

    pub(crate) fn lease_expiry(&self, now: Time) -> Option<Time> {
        let start = self.lease_start(now);
        (start > Time::default()).then(|| start + self.config.lease_duration)
    }
}
