//! Changing the membership, one voter at a time.
//!
//! A replica that asks to join becomes a member without a vote. Once it holds everything committed, the voter that
//! listened at the same address before it (whose disk is lost, as its id is not in use there any more) is removed, and
//! then the new replica gets its vote. In a group that has all the voters it should have, a replica at a new address
//! replaces a voter that has long been silent. Removing first keeps the majority as small as it was, and two separate
//! changes keep any two consecutive majorities overlapping.

use {
    crate::{
        core::{Core, Role},
        entry::{Member, Members, Payload},
        event::Actions,
        lead::Lead,
    },
    model::{ReplicaId, Time},
};

impl Core {
    pub(crate) fn on_join(&mut self, now: Time, member: Member, actions: &mut Actions) {
        let members = self.log.members();
        let own = members.get(self.id).is_some_and(|it| it.addr == member.addr);
        let known = members.get(member.id).is_some() || own;
        let Role::Leader(lead) = &mut self.role else { return };
        if known || lead.joins.iter().any(|it| it.id == member.id) {
            return;
        }
        lead.joins.push(member);
        self.change_members(now, actions);
    }

    /// Starts the next change if the one before is committed and this replica is known to lead.
    pub(crate) fn change_members(&mut self, now: Time, actions: &mut Actions) {
        if self.log.members_index() > self.commit || self.leased(now).is_none() {
            return;
        }
        let Some(members) = self.next_members(now) else { return };
        self.append_payloads(vec![Payload::Members(members)], actions);
        self.update_peers(now, self.log.last());
        self.broadcast(now, actions);
        // A smaller majority may have reached more.
        self.advance_commit(now, actions);
    }

    fn next_members(&mut self, now: Time) -> Option<Members> {
        let members = self.log.members().clone();
        let Role::Leader(lead) = &mut self.role else { return None };
        if let Some(member) = lead.joins.pop() {
            return Some(add(&members, member));
        }
        let ready = |it: &&Member| !it.voter && self.holds_all(now, it);
        if let Some(member) = members.0.iter().copied().find(|it| ready(&it)) {
            return self.replace(now, &members, member);
        }
        let lost = members.0.iter().find(|it| !it.voter && self.is_silent(now, it))?;
        Some(without(&members, lost.id))
    }

    /// Removes the voter that `member` replaces, or gives `member` its vote if there is room for one.
    fn replace(&self, now: Time, members: &Members, member: Member) -> Option<Members> {
        let mut voters = members.0.iter().filter(|it| it.voter);
        if let Some(former) = voters.find(|it| it.addr == member.addr) {
            return Some(without(members, former.id));
        }
        if members.voters().count() < self.config.size {
            return Some(with_vote(members, member.id));
        }
        let lost = members.0.iter().find(|it| it.voter && self.is_silent(now, it))?;
        Some(without(members, lost.id))
    }

    /// Whether another replica has not answered this leader for long.
    fn is_silent(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let Some(peer) = lead.peers.get(&member.id) else { return false };
        now.since(peer.acked.max(peer.since)) >= self.config.forget
    }

    /// Whether a replica answers and has everything on disk that is committed.
    fn holds_all(&self, now: Time, member: &Member) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let Lead { peers, .. } = &**lead;
        let Some(peer) = peers.get(&member.id) else { return false };
        peer.matched >= self.commit && now.since(peer.acked) < self.config.election
    }
}

/// Adds a member without a vote, in place of others without a vote at its address.
fn add(members: &Members, member: Member) -> Members {
    let kept = members.0.iter().filter(|it| it.voter || it.addr != member.addr);
    let mut list: Vec<_> = kept.copied().chain([member]).collect();
    list.sort_unstable_by_key(|it| it.id);
    Members(list.into())
}

fn without(members: &Members, id: ReplicaId) -> Members {
    Members(members.0.iter().filter(|it| it.id != id).copied().collect())
}

fn with_vote(members: &Members, id: ReplicaId) -> Members {
    let vote = |it: &Member| Member { voter: it.voter || it.id == id, ..*it };
    Members(members.0.iter().map(vote).collect())
}
