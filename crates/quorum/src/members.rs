//! Membership changes, one at a time.
//!
//! A replica that asks to join becomes a non-voter; replicas that do not lead forward its request to the leader. Once it
//! has all committed entries, it takes the place of the voter that used the same address before it (a new id at that
//! address means that the old disk is lost). A replica at a new address takes the place of a voter that has not
//! responded for the voter timeout, or that is about to stop. If there is none, it becomes one more voter, up to
//! [`EXTRA_VOTERS`] more than intended. So a host that goes for good while a spare stands by is only one of the losses
//! that the larger group tolerates. An extra voter that is silent or about to stop loses its vote.
//!
//! A voter is added, removed or replaced by joint consensus: first a membership in which a quorum needs majorities both
//! of the old and of the new voters, then, once that is committed, one with the new voters only. While a voter is
//! replaced, the group survives the loss of as many disks as before, whether or not the outgoing voter still has its own.

use {
    crate::{
        entry::{Member, MemberRole, Membership, Payload},
        event::{Action, Actions},
        leader::{LeaderState, Peer},
        message::{Envelope, Message},
        raft::{Ids, Raft, Role},
    },
    derive_more::{Debug, Display},
    model::{ReplicaId, Term, Time},
    smallvec::{SmallVec, smallvec},
};

/// How many voters a group may have beside the intended ones: as many as it takes to be able to lose one more.
const EXTRA_VOTERS: usize = 2;

/// The least number of voters to which an extra one is added.
const MIN_EXTENDED_VOTERS: usize = 3;

/// A change of the membership that the leader begins.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum MemberChange {
    /// Adds a replica that asked to join, without a vote.
    #[display("adds {_0} without a vote")]
    Add(ReplicaId),
    /// Begins to make a member one more voter.
    #[display("begins to make {_0} a voter")]
    Promote(ReplicaId),
    /// Begins to remove a voter that is not needed.
    #[display("begins to remove the voter {id}: {reason}")]
    Demote {
        /// The voter that is removed.
        id: ReplicaId,
        /// Why the voter is removed.
        reason: ReplaceReason,
    },
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
    /// Ends the change of a voter that was begun before.
    #[display("ends the change of a voter")]
    EndVoterChange,
    /// Removes a member without a vote that has not responded.
    #[display("removes {_0}, which did not respond")]
    Remove(ReplicaId),
}

/// Why a voter is replaced or removed.
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
    /// The group has enough voters, and none of them has to be replaced.
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
            // The replica may know only replicas that do not lead. While none leads, all voters have to learn that one of
            // them is lost, as that may be what allows another one to be elected.
            let receivers = match self.leader {
                Some(leader) => smallvec![leader],
                None if self.replaces_voter(&member) => self.other_voters(),
                None => Ids::new(),
            };
            for to in receivers.into_iter().filter(|_| is_direct) {
                self.forward_join_request(to, member, actions);
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
            return Some((end_voter_change(&members, kept), MemberChange::EndVoterChange));
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
            MemberChange::Promote(id) => set_role(&members, id, MemberRole::Incoming),
            MemberChange::Demote { id, .. } => set_role(&members, id, MemberRole::Outgoing),
            MemberChange::Replace { old, new, .. } => {
                let members = set_role(&members, old, MemberRole::Outgoing);
                set_role(&members, new, MemberRole::Incoming)
            }
            MemberChange::Remove(id) => remove_member(&members, id),
            MemberChange::Add(_) | MemberChange::EndVoterChange => return None,
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
            if let Some(old) =
                self.longest_silent(others().filter(|it| self.is_unresponsive(now, it)))
            {
                return Some(replace(old, new, ReplaceReason::Unresponsive));
            }
            let added = ready.iter().find(|it| self.may_add_voter(now, members, it))?;
            Some(MemberChange::Promote(added.id))
        };
        let heir = || {
            ready.iter().find_map(|new| {
                let old = voters().find(|it| self.may_hand_over(now, it.id, new.id))?;
                Some(replace(old, new, ReplaceReason::Leaving))
            })
        };
        let surplus = || {
            if members.voter_count() <= self.config.target_voters {
                return None;
            }
            let leaving = voters().find(|it| self.may_leave(now, it.id));
            let leaving = leaving.map(|it| (it.id, ReplaceReason::Leaving));
            let may_demote =
                |it: &&Member| self.is_unresponsive(now, it) && self.may_demote(now, it.id);
            let silent = || self.longest_silent(others().filter(may_demote));
            let (id, reason) =
                leaving.or_else(|| Some((silent()?.id, ReplaceReason::Unresponsive)))?;
            Some(MemberChange::Demote { id, reason })
        };
        successor.or_else(heir).or_else(spare).or_else(surplus)
    }

    /// Whether a caught-up member may become one voter more than intended.
    ///
    /// With an even number of voters more of them have to respond than with one voter less, so all must respond now. Two
    /// voters tolerate no loss at all, unlike one voter and a spare.
    fn may_add_voter(&self, now: Time, members: &Membership, new: &Member) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let count = members.voter_count();
        let tracked_since = leader.peers.get(&new.id).map(|it| it.tracked_since);
        let is_settled =
            tracked_since.is_some_and(|it| now.since(it) >= self.config.election_timeout);
        let is_staying = |id| self.responds(now, id) && !self.is_leaving(now, id);
        count >= MIN_EXTENDED_VOTERS
            && count < self.config.target_voters.saturating_add(EXTRA_VOTERS)
            && is_settled
            && (count.is_multiple_of(2) || members.voters().all(is_staying))
    }

    /// Whether a silent voter may lose its vote although its disk may be intact.
    ///
    /// With an even number of voters the others make do with one disk less afterwards, so all of them must respond now.
    fn may_demote(&self, now: Time, id: ReplicaId) -> bool {
        let members = self.log.members();
        let mut others = members.voters().filter(|it| *it != id);
        !members.voter_count().is_multiple_of(2) || others.all(|it| self.responds(now, it))
    }

    /// Whether a member has answered this leader within an election timeout.
    fn responds(&self, now: Time, id: ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        now.since(self.acked_sent_at(leader, now, id)) < self.config.election_timeout
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
        now.since(peer.last_contact()) >= self.config.voter_timeout
            && now.since(peer.tracked_since) >= self.config.election_timeout
    }

    /// The member that has been silent for longest: another one is more likely to come back.
    fn longest_silent<'a, I>(&self, members: I) -> Option<&'a Member>
    where
        I: Iterator<Item = &'a Member>,
    {
        let Role::Leader(leader) = &self.role else { return None };
        members.min_by_key(|it| leader.peers.get(&it.id).map(Peer::last_contact))
    }

    /// Whether a replica has answered within an election timeout and has all committed entries on disk.
    fn is_caught_up(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let LeaderState { peers, .. } = &**leader;
        let Some(peer) = peers.get(&member.id) else { return false };
        peer.match_index >= self.commit_index && self.responds(now, member.id)
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
fn end_voter_change(members: &Membership, kept: Option<ReplicaId>) -> Membership {
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
