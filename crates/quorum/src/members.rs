//! Membership changes, one at a time.
//!
//! A replica that asks to join becomes a non-voter; replicas that do not lead forward the request to the leader. Once it has all committed entries, it takes the place of the voter
//! that used the same address before it (a new id at that address means that the old disk is lost). In a group with its
//! intended number of voters, a replica at a new address takes the place of a voter that has not responded for the
//! voter timeout; in a smaller group it becomes one more voter.
//!
//! A voter is replaced by joint consensus: first a membership in which a quorum needs majorities both with the outgoing
//! and with the incoming voter, then, once that is committed, one without the outgoing voter. In between, the group
//! survives the loss of as many disks as before, whether or not the outgoing voter still has its own.

use {
    crate::{
        entry::{Member, MemberRole, Membership, Payload},
        event::{Action, Actions},
        leader::LeaderState,
        message::{Envelope, Message},
        raft::{Raft, Role},
    },
    model::{ReplicaId, Term, Time},
};

impl Raft {
    /// Handles a request to join. `is_direct` tells whether it came from the replica itself.
    pub(crate) fn on_join_request(
        &mut self,
        now: Time,
        member: Member,
        is_direct: bool,
        actions: &mut Actions,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            // The replica may know only replicas that do not lead.
            if let Some(leader) = self.leader.filter(|_| is_direct) {
                self.forward_join_request(leader, member, actions);
            }
            return;
        };
        let members = self.log.members();
        let own = members.get(self.id).is_some_and(|it| it.addr == member.addr);
        let known = members.get(member.id).is_some() || own;
        if known || leader.pending_joins.iter().any(|it| it.id == member.id) {
            return;
        }
        leader.pending_joins.push(member);
        self.change_members(now, actions);
    }

    fn forward_join_request(&self, leader: ReplicaId, member: Member, actions: &mut Actions) {
        let group = self.hard_state.group;
        let message = Message::JoinRequest { addr: member.addr };
        let envelope = Envelope { group, from: member.id, to: leader, term: Term(0), message };
        actions.push(Action::Send(envelope));
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
        // Without the outgoing voter, a majority may already have more entries on disk.
        self.advance_commit(now, actions);
    }

    fn next_membership(&mut self, now: Time) -> Option<Membership> {
        let members = self.log.members().clone();
        let Role::Leader(leader) = &mut self.role else { return None };
        if members.is_joint() {
            return Some(end_replacement(&members, self.id));
        }
        if let Some(member) = leader.pending_joins.pop() {
            return Some(add_non_voter(&members, member));
        }
        let ready = |it: &&Member| !it.is_voter() && self.is_caught_up(now, it);
        if let Some(member) = members.0.iter().copied().find(|it| ready(&it)) {
            return self.promote_or_replace(now, &members, member);
        }
        let unresponsive =
            members.0.iter().find(|it| !it.is_voter() && self.is_unresponsive(now, it))?;
        Some(remove_member(&members, unresponsive.id))
    }

    /// Promotes `member` to a voter, or begins to replace a voter with it.
    fn promote_or_replace(
        &self,
        now: Time,
        members: &Membership,
        member: Member,
    ) -> Option<Membership> {
        let others = || members.0.iter().filter(|it| it.is_voter() && it.id != self.id);
        let predecessor = others().find(|it| it.addr == member.addr);
        if predecessor.is_none() && members.voter_count() < self.config.target_voters {
            return Some(set_roles(members, |it| {
                if it.id == member.id { MemberRole::Voter } else { it.role }
            }));
        }
        let replaced =
            predecessor.or_else(|| others().find(|it| self.is_unresponsive(now, it)))?.id;
        Some(set_roles(members, |it| match it.id {
            id if id == replaced => MemberRole::Outgoing,
            id if id == member.id => MemberRole::Incoming,
            _ => it.role,
        }))
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
    let kept = members.0.iter().filter(|it| it.is_voter() || it.addr != member.addr);
    let mut list: Vec<_> = kept.copied().chain([member]).collect();
    list.sort_unstable_by_key(|it| it.id);
    Membership(list.into())
}

fn remove_member(members: &Membership, id: ReplicaId) -> Membership {
    Membership(members.0.iter().filter(|it| it.id != id).copied().collect())
}

/// Removes the outgoing voter. A leader that is the outgoing voter is not lost, so it keeps its place instead.
fn end_replacement(members: &Membership, leader: ReplicaId) -> Membership {
    let keeps_place = members.0.iter().any(|it| it.id == leader && it.role == MemberRole::Outgoing);
    if keeps_place {
        return set_roles(members, |it| match it.role {
            MemberRole::Outgoing => MemberRole::Voter,
            MemberRole::Incoming => MemberRole::NonVoter,
            MemberRole::Voter | MemberRole::NonVoter => it.role,
        });
    }
    let kept = members.0.iter().filter(|it| it.role != MemberRole::Outgoing);
    let kept = Membership(kept.copied().collect());
    set_roles(&kept, |it| match it.role {
        MemberRole::Incoming => MemberRole::Voter,
        MemberRole::Outgoing | MemberRole::Voter | MemberRole::NonVoter => it.role,
    })
}

fn set_roles<F>(members: &Membership, role: F) -> Membership
where
    F: Fn(&Member) -> MemberRole,
{
    Membership(members.0.iter().map(|it| Member { role: role(it), ..*it }).collect())
}
