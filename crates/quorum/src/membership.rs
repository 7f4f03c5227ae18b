//! Changing the membership, one voter at a time.
//!
//! A replica that asks to join becomes a member without a vote. Once it holds everything committed, the voter that
//! listened at the same address before it (whose disk is lost, as its id is not in use there any more) is removed, and
//! then the new replica gets its vote. In a group that has all the voters it should have, a replica at a new address
//! replaces a voter that has long been silent. Removing first keeps the majority as small as it was, and two separate
//! changes keep any two consecutive majorities overlapping.

use {
    crate::{
        entry::{Member, Membership, Payload},
        event::Actions,
        leader::LeaderState,
        raft::{Raft, Role},
    },
    model::{ReplicaId, Time},
};

impl Raft {
    pub(crate) fn on_join_request(&mut self, now: Time, member: Member, actions: &mut Actions) {
        let members = self.log.members();
        let own = members.get(self.id).is_some_and(|it| it.addr == member.addr);
        let known = members.get(member.id).is_some() || own;
        let Role::Leader(leader) = &mut self.role else { return };
        if known || leader.pending_joins.iter().any(|it| it.id == member.id) {
            return;
        }
        leader.pending_joins.push(member);
        self.change_members(now, actions);
    }

    /// Starts the next change if the one before is committed and this replica is known to lead.
    pub(crate) fn change_members(&mut self, now: Time, actions: &mut Actions) {
        if self.log.members_index() > self.commit_index || self.current_lease(now).is_none() {
            return;
        }
        let Some(members) = self.next_membership(now) else { return };
        self.append_payloads(vec![Payload::Membership(members)], actions);
        self.update_peers(now, self.log.last_index());
        self.broadcast(now, actions);
        // A smaller majority may have reached more.
        self.advance_commit(now, actions);
    }

    fn next_membership(&mut self, now: Time) -> Option<Membership> {
        let members = self.log.members().clone();
        let Role::Leader(leader) = &mut self.role else { return None };
        if let Some(member) = leader.pending_joins.pop() {
            return Some(add_learner(&members, member));
        }
        let ready = |it: &&Member| !it.voter && self.is_caught_up(now, it);
        if let Some(member) = members.0.iter().copied().find(|it| ready(&it)) {
            return self.promote_or_replace(now, &members, member);
        }
        let lost = members.0.iter().find(|it| !it.voter && self.is_unresponsive(now, it))?;
        Some(remove_member(&members, lost.id))
    }

    /// Removes the voter that `member` replaces, or gives `member` its vote if there is room for one.
    fn promote_or_replace(
        &self,
        now: Time,
        members: &Membership,
        member: Member,
    ) -> Option<Membership> {
        let mut voters = members.0.iter().filter(|it| it.voter);
        if let Some(former) = voters.find(|it| it.addr == member.addr) {
            return Some(remove_member(members, former.id));
        }
        if members.voters().count() < self.config.target_voters {
            return Some(promote_to_voter(members, member.id));
        }
        let lost = members.0.iter().find(|it| it.voter && self.is_unresponsive(now, it))?;
        Some(remove_member(members, lost.id))
    }

    /// Whether another replica has not answered this leader for long.
    fn is_unresponsive(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(peer) = leader.peers.get(&member.id) else { return false };
        now.since(peer.acked_sent_at.max(peer.tracked_since)) >= self.config.voter_timeout
    }

    /// Whether a replica answers and has everything on disk that is committed.
    fn is_caught_up(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let LeaderState { peers, .. } = &**leader;
        let Some(peer) = peers.get(&member.id) else { return false };
        peer.match_index >= self.commit_index
            && now.since(peer.acked_sent_at) < self.config.election_timeout
    }
}

/// Adds a member without a vote, in place of others without a vote at its address.
fn add_learner(members: &Membership, member: Member) -> Membership {
    let kept = members.0.iter().filter(|it| it.voter || it.addr != member.addr);
    let mut list: Vec<_> = kept.copied().chain([member]).collect();
    list.sort_unstable_by_key(|it| it.id);
    Membership(list.into())
}

fn remove_member(members: &Membership, id: ReplicaId) -> Membership {
    Membership(members.0.iter().filter(|it| it.id != id).copied().collect())
}

fn promote_to_voter(members: &Membership, id: ReplicaId) -> Membership {
    let vote = |it: &Member| Member { voter: it.voter || it.id == id, ..*it };
    Membership(members.0.iter().map(vote).collect())
}
