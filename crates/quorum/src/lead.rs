//! Leading: taking commands, replicating them, and knowing what is committed.

use {
    crate::{
        core::{Core, Role},
        entry::{Entry, Member, Payload},
        event::{Action, Actions},
        message::Message,
        transfer::Transfer,
    },
    bytes::Bytes,
    derive_more::Debug,
    model::{ReplicaId, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// The most entries that are sent before one is acknowledged.
const WINDOW_ENTRIES: u64 = 16_384;

/// What only a leader has.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(crate) since: Time,
    /// Its first entry; once that is committed, everything earlier is.
    pub(crate) first: u64,
    pub(crate) heartbeat_at: Time,
    pub(crate) peers: BTreeMap<ReplicaId, Peer>,
    pub(crate) reads: Vec<Read>,
    pub(crate) joins: SmallVec<[Member; 2]>,
}

/// What a leader knows of another replica.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// The next entry to send.
    pub(crate) next: u64,
    /// Up to where its log is this one's and on disk.
    pub(crate) matched: u64,
    /// What `matched` was when it last changed or nothing was under way, and when that was.
    mark: (u64, Time),
    /// When the latest message that it answered was sent; zero before the first.
    pub(crate) acked: Time,
    /// When it became a member, or this replica began to lead.
    pub(crate) since: Time,
    pub(crate) transfer: Option<Transfer>,
}

/// A read that waits until this replica is known to lead.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) token: u64,
    pub(crate) asked: Time,
}

impl Peer {
    /// Sends again what went unacknowledged for `patience`; a large entry may take some heartbeats on a slow link.
    fn resend_if_stuck(&mut self, now: Time, patience: u64) {
        let idle = self.next == self.matched + 1;
        if idle || self.matched != self.mark.0 {
            self.mark = (self.matched, now);
        } else if now.since(self.mark.1) >= patience {
            self.mark = (self.matched, now);
            self.next = self.matched + 1;
        }
    }
}

impl Lead {
    pub(crate) fn fail_reads(&self, actions: &mut Actions) {
        actions.extend(self.reads.iter().map(|it| Action::ReadFailed { token: it.token }));
    }
}

impl Core {
    /// Becomes the leader of this term.
    pub(crate) fn lead(&mut self, now: Time, actions: &mut Actions) {
        let first = self.log.last() + 1;
        self.leader = Some(self.id);
        self.partial = None;
        self.role = Role::Leader(Box::new(Lead {
            since: now,
            first,
            heartbeat_at: now + self.config.heartbeat,
            peers: BTreeMap::new(),
            reads: Vec::new(),
            joins: SmallVec::new(),
        }));
        self.update_peers(now, first);
        self.append_payloads(vec![Payload::Empty], actions);
        self.broadcast(now, actions);
    }

    pub(crate) fn tick_leader(&mut self, now: Time, actions: &mut Actions) {
        let start = self.lease_start(now);
        let Role::Leader(lead) = &mut self.role else { return };
        if now >= start.max(lead.since) + self.config.election {
            self.follow(now, self.hard.term, None, actions);
            return;
        }
        if now < lead.heartbeat_at {
            return;
        }
        lead.heartbeat_at = now + self.config.heartbeat;
        for peer in lead.peers.values_mut() {
            peer.resend_if_stuck(now, self.config.election / 2);
        }
        for id in self.peer_ids() {
            self.replicate(now, id, true, actions);
        }
        self.change_members(now, actions);
    }

    pub(crate) fn on_propose(&mut self, now: Time, commands: Vec<Bytes>, actions: &mut Actions) {
        let Role::Leader(lead) = &self.role else {
            actions.push(Action::Refused);
            return;
        };
        let new = self.commit < lead.first;
        let leased = self.lease_until(now).is_some_and(|it| now < it);
        if !self.has_voters() || !(new || leased) {
            actions.push(Action::Refused);
            return;
        }
        let first = self.log.last() + 1;
        actions.push(Action::Proposed { first, term: self.hard.term });
        self.append_payloads(commands.into_iter().map(Payload::Command).collect(), actions);
        self.broadcast(now, actions);
    }

    pub(crate) fn on_appended(
        &mut self,
        now: Time,
        from: ReplicaId,
        matched: u64,
        sent: Time,
        actions: &mut Actions,
    ) {
        let last = self.log.last();
        let Some(peer) = self.peer(from) else { return };
        debug_assert!(matched <= last, "a replica's log is the leader's up to there");
        peer.acked = peer.acked.max(sent);
        peer.matched = peer.matched.max(matched);
        peer.next = peer.next.max(peer.matched + 1);
        peer.transfer.take_if(|it| it.snapshot.index <= matched);
        self.advance_commit(now, actions);
        self.settle_reads(now, actions);
        self.change_members(now, actions);
        self.replicate(now, from, false, actions);
    }

    pub(crate) fn on_mismatch(
        &mut self,
        now: Time,
        from: ReplicaId,
        hint: u64,
        sent: Time,
        actions: &mut Actions,
    ) {
        let Some(peer) = self.peer(from) else { return };
        peer.acked = peer.acked.max(sent);
        peer.next = peer.next.min(hint + 1).max(peer.matched + 1);
        self.settle_reads(now, actions);
        self.replicate(now, from, true, actions);
    }

    /// Commits what a majority has on disk, but counts only entries of its own term.
    pub(crate) fn advance_commit(&mut self, now: Time, actions: &mut Actions) {
        let Role::Leader(lead) = &self.role else { return };
        let (id, durable) = (self.id, self.durable);
        let matched = |it: ReplicaId| lead.peers.get(&it).map_or(0, |it| it.matched);
        let reached = self.log.members().reached(|it| if it == id { durable } else { matched(it) });
        if reached <= self.commit || self.log.term(reached) != Some(self.hard.term) {
            return;
        }
        self.commit_to(reached, actions);
        self.settle_reads(now, actions);
        self.change_members(now, actions);
    }

    pub(crate) fn append_payloads(&mut self, payloads: Vec<Payload>, actions: &mut Actions) {
        let term = self.hard.term;
        let numbered = payloads.into_iter().zip(self.log.last() + 1..);
        let entries = numbered.map(|(payload, index)| Entry { index, term, payload }).collect();
        self.append(entries, actions);
    }

    pub(crate) fn broadcast(&mut self, now: Time, actions: &mut Actions) {
        for id in self.peer_ids() {
            self.replicate(now, id, false, actions);
        }
    }

    /// Sends what a replica misses; a heartbeat goes out even if that is nothing.
    pub(crate) fn replicate(
        &mut self,
        now: Time,
        to: ReplicaId,
        heartbeat: bool,
        actions: &mut Actions,
    ) {
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(&to) else { return };
        let prev_index = peer.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            self.transfer(now, to, heartbeat, actions);
            return;
        };
        peer.transfer = None;
        let full = prev_index >= peer.matched + WINDOW_ENTRIES;
        let entries =
            if full { Vec::new() } else { self.log.batch(prev_index + 1, self.config.batch) };
        if entries.is_empty() && !heartbeat {
            return;
        }
        peer.next += entries.len() as u64;
        let commit = self.commit;
        let message = Message::Append { prev_index, prev_term, entries, commit, sent: now };
        self.send_now(to, message, actions);
    }

    pub(crate) fn peer(&mut self, id: ReplicaId) -> Option<&mut Peer> {
        let Role::Leader(lead) = &mut self.role else { return None };
        lead.peers.get_mut(&id)
    }

    /// Makes the table of replicas agree with the membership; new ones are sent entries from `next` on.
    pub(crate) fn update_peers(&mut self, now: Time, next: u64) {
        let Role::Leader(lead) = &mut self.role else { return };
        let members = self.log.members();
        lead.peers.retain(|id, _| members.get(*id).is_some());
        for member in members.0.iter().filter(|it| it.id != self.id) {
            lead.peers.entry(member.id).or_insert_with(|| Peer {
                next,
                since: now,
                ..Peer::default()
            });
        }
    }

    fn peer_ids(&self) -> SmallVec<[ReplicaId; 5]> {
        let Role::Leader(lead) = &self.role else { return SmallVec::new() };
        lead.peers.keys().copied().collect()
    }
}
