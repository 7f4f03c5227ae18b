//! Membership changes, one at a time.
//!
//! A replica that asks to join becomes a non-voter; replicas that do not lead forward its request to the leader. Once it
//! has all committed entries, it takes the place of the voter that used the same address before it (a new id at that
//! address means that the old disk is lost). In a group with its intended number of voters, a replica at a new address
//! takes the place of a voter that has not responded for the voter timeout, or that is about to stop; in a smaller group
//! it becomes one more voter.
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
    derive_more::{Debug, Display},
    model::{ReplicaId, Term, Time},
    smallvec::SmallVec,
};

/// A change of the membership that the leader begins.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum MemberChange {
    /// Adds a replica that asked to join, without a vote.
    #[display("adds {_0} without a vote")]
    Add(ReplicaId),
    /// Makes a member a voter, as the group has too few.
    #[display("makes {_0} a voter")]
    Promote(ReplicaId),
    /// Begins to replace a voter.
    #[display("begins to replace {old} with {new}: {reason}")]
    Replace {
        /// The voter that is replaced.
        old: ReplicaId,
        /// The member that takes its place.
        new: ReplicaId,
        /// Why the voter is replaced.
        reason: ReplaceReason,
    },
    /// Ends the replacement that was begun before.
    #[display("ends a replacement")]
    EndReplacement,
    /// Removes a member without a vote that has not responded.
    #[display("removes {_0}, which did not respond")]
    Remove(ReplicaId),
}

/// Why a voter is replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum ReplaceReason {
    /// Another replica uses its address, so its disk is lost.
    #[display("its disk is lost")]
    LostDisk,
    /// It is about to stop.
    #[display("it is about to stop")]
    Leaving,
    /// It has not responded for the voter timeout.
    #[display("it did not respond")]
    Unresponsive,
}

/// Why a member has no vote.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum WaitReason {
    /// It does not respond, or lacks committed entries.
    #[display("lagging")]
    Lagging,
    /// The latest change of the membership is not committed.
    #[display("uncommitted-change")]
    UncommittedChange,
    /// The leader holds no lease.
    #[display("no-lease")]
    NoLease,
    /// The group has enough voters, and all of them respond.
    #[display("voters-respond")]
    VotersRespond,
}

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
        // A replica at an address takes the place of an earlier one whose disk is lost.
        leader.pending_joins.retain(|it| it.addr != member.addr);
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
        let Some((members, change)) = self.next_membership(now) else { return };
        actions.push(Action::MemberChange(change));
        self.append_payloads(vec![Payload::Membership(members)], actions);
        self.update_peers(now, self.log.last_index());
        self.broadcast(now, actions);
        // Without the outgoing voter, a majority may already have more entries on disk.
        self.advance_commit(now, actions);
    }

    fn next_membership(&mut self, now: Time) -> Option<(Membership, MemberChange)> {
        let members = self.log.members().clone();
        let Role::Leader(leader) = &mut self.role else { return None };
        if members.is_joint() {
            let kept = Some(self.id).filter(|it| !self.is_leaving(now, *it));
            return Some((end_replacement(&members, kept), MemberChange::EndReplacement));
        }
        if !leader.pending_joins.is_empty() {
            let member = leader.pending_joins.remove(0);
            return Some((add_non_voter(&members, member), MemberChange::Add(member.id)));
        }
        let change = self.next_vote_change(now, &members).or_else(|| {
            let mut others = members.0.iter().filter(|it| !it.is_voter());
            Some(MemberChange::Remove(others.find(|it| self.is_unresponsive(now, it))?.id))
        })?;
        let changed = match change {
            MemberChange::Promote(id) => set_role(&members, id, MemberRole::Voter),
            MemberChange::Replace { old, new, .. } => {
                let members = set_role(&members, old, MemberRole::Outgoing);
                set_role(&members, new, MemberRole::Incoming)
            }
            MemberChange::Remove(id) => remove_member(&members, id),
            MemberChange::Add(_) | MemberChange::EndReplacement => return None,
        };
        Some((changed, change))
    }

    /// Returns how a caught-up member gets a vote. Members that can take one now come before those that have to wait,
    /// and those at the address of a voter before all others.
    fn next_vote_change(&self, now: Time, members: &Membership) -> Option<MemberChange> {
        let ready: SmallVec<[&Member; 4]> =
            members.0.iter().filter(|it| !it.is_voter() && self.is_caught_up(now, it)).collect();
        let voters = || members.0.iter().filter(|it| it.is_voter());
        let others = || voters().filter(|it| it.id != self.id);
        let replace = |old: &Member, new: &Member, reason| MemberChange::Replace {
            old: old.id,
            new: new.id,
            reason,
        };
        let successor = ready.iter().find_map(|it| {
            let old = others().find(|old| old.addr == it.addr)?;
            Some(replace(old, it, ReplaceReason::LostDisk))
        });
        let spare = || {
            let new = ready.first()?;
            if members.voter_count() < self.config.target_voters {
                return Some(MemberChange::Promote(new.id));
            }
            let old = others().find(|it| self.is_unresponsive(now, it))?;
            Some(replace(old, new, ReplaceReason::Unresponsive))
        };
        let heir = || {
            ready.iter().find_map(|new| {
                let old = voters().find(|it| self.may_hand_over(now, it.id, new.id))?;
                Some(replace(old, new, ReplaceReason::Leaving))
            })
        };
        successor.or_else(spare).or_else(heir)
    }

    /// The members without a vote and why they have none, if this replica leads.
    pub fn waiting_members(&self, now: Time) -> SmallVec<[(ReplicaId, WaitReason); 2]> {
        let Role::Leader(_) = &self.role else { return SmallVec::new() };
        let members = self.log.members();
        let reason = |it: &Member| {
            if !self.is_caught_up(now, it) {
                WaitReason::Lagging
            } else if self.log.members_index() > self.commit_index {
                WaitReason::UncommittedChange
            } else if self.current_lease(now).is_none() {
                WaitReason::NoLease
            } else {
                WaitReason::VotersRespond
            }
        };
        let waiting = members.0.iter().filter(|it| !it.is_voter());
        waiting.map(|it| (it.id, reason(it))).collect()
    }

    /// Whether a member has been silent for the voter timeout. That includes the time before this replica was elected, so
    /// that a change of the leader does not delay the replacement of a lost voter; but a sound member must have had an
    /// election timeout to answer this leader.
    fn is_unresponsive(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(peer) = leader.peers.get(&member.id) else { return false };
        now.since(peer.acked_sent_at.max(peer.earlier_contact)) >= self.config.voter_timeout
            && now.since(peer.tracked_since) >= self.config.election_timeout
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

/// Removes the outgoing voter, unless it is `kept`: a leader that is not about to stop is not lost.
fn end_replacement(members: &Membership, kept: Option<ReplicaId>) -> Membership {
    let keeps_place =
        members.0.iter().any(|it| Some(it.id) == kept && it.role == MemberRole::Outgoing);
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

fn set_role(members: &Membership, id: ReplicaId, role: MemberRole) -> Membership {
    set_roles(members, |it| if it.id == id { role } else { it.role })
}

fn set_roles<F>(members: &Membership, role: F) -> Membership
where
    F: Fn(&Member) -> MemberRole,
{
    Membership(members.0.iter().map(|it| Member { role: role(it), ..*it }).collect())
}
