//! Membership changes, one voter at a time.
//!
//! A replica that asks to join becomes a non-voter. Once it has all committed entries, the voter that used the same
//! address before it is removed (a new id at that address means that the old disk is lost), and then the new replica
//! becomes a voter. In a group with its intended number of voters, a replica at a new address replaces a voter that
//! has not responded for the voter timeout. Removing before adding keeps the majority from growing, and making two
//! separate changes keeps the majorities of consecutive memberships overlapping.

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

    /// Starts the next membership change if the previous one is committed and this replica holds its lease.
    pub(crate) fn change_members(&mut self, now: Time, actions: &mut Actions) {
        if self.log.members_index() > self.commit_index || self.current_lease(now).is_none() {
            return;
        }
        let Some(members) = self.next_membership(now) else { return };
        self.append_payloads(vec![Payload::Membership(members)], actions);
        self.update_peers(now, self.log.last_index());
        self.broadcast(now, actions);
        // With fewer voters, a majority may already have more entries on disk.
        self.advance_commit(now, actions);
    }

    fn next_membership(&mut self, now: Time) -> Option<Membership> {
        let members = self.log.members().clone();
        let Role::Leader(leader) = &mut self.role else { return None };
        if let Some(member) = leader.pending_joins.pop() {
            return Some(add_non_voter(&members, member));
        }
        let ready = |it: &&Member| !it.voter && self.is_caught_up(now, it);
        if let Some(member) = members.0.iter().copied().find(|it| ready(&it)) {
            return self.promote_or_replace(now, &members, member);
        }
        let unresponsive =
            members.0.iter().find(|it| !it.voter && self.is_unresponsive(now, it))?;
        Some(remove_member(&members, unresponsive.id))
    }

    /// Promotes `member` to a voter, or first removes the voter that it replaces.
    fn promote_or_replace(
        &self,
        now: Time,
        members: &Membership,
        member: Member,
    ) -> Option<Membership> {
        let mut voters = members.0.iter().filter(|it| it.voter);
        if let Some(predecessor) = voters.find(|it| it.addr == member.addr) {
            return Some(remove_member(members, predecessor.id));
        }
        if members.voters().count() < self.config.target_voters {
            return Some(promote_to_voter(members, member.id));
        }
        let unresponsive = members.0.iter().find(|it| it.voter && self.is_unresponsive(now, it))?;
        Some(remove_member(members, unresponsive.id))
    }

    /// Whether a replica has not answered this leader for the voter timeout.
    fn is_unresponsive(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(peer) = leader.peers.get(&member.id) else { return false };
        now.since(peer.acked_sent_at.max(peer.tracked_since)) >= self.config.voter_timeout
    }

    /// Whether a replica has answered within an election timeout and has all committed entries on disk.
    fn is_caught_up(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let LeaderState { peers, .. } = &**leader;
        let Some(peer) = peers.get(&member.id) else { return false };
        peer.match_index >= self.commit_index
            && now.since(peer.acked_sent_at) < self.config.election_timeout
    }
}

/// Adds a non-voter and removes other non-voters at its address.
fn add_non_voter(members: &Membership, member: Member) -> Membership {
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
