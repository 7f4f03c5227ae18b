//! The leader role: accepting commands, replicating them and advancing the commit index.

use {
    crate::{
        entry::{Entry, Member, Payload},
        event::{Action, Actions},
        message::Message,
        raft::{Raft, Role},
        snapshot::OutgoingSnapshot,
    },
    bytes::Bytes,
    derive_more::Debug,
    model::{ReplicaId, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// The maximum number of entries that are sent to a replica before it acknowledges one.
const MAX_UNACKED_ENTRIES: u64 = 16_384;

/// The state of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Time,
    /// The index of its first entry; once that is committed, all entries before it are.
    pub(crate) first_index: u64,
    pub(crate) heartbeat_at: Time,
    pub(crate) peers: BTreeMap<ReplicaId, Peer>,
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) pending_joins: SmallVec<[Member; 2]>,
    pub(crate) leaving: SmallVec<[LeavingMember; 2]>,
}

/// A member that is about to stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeavingMember {
    pub(crate) id: ReplicaId,
    /// When it first said so.
    pub(crate) since: Time,
    /// When this is forgotten unless it says so again.
    pub(crate) expires_at: Time,
}

/// The replication progress of another replica.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// The index of the next entry to send.
    pub(crate) next_index: u64,
    /// The last index up to which its log matches the leader's and is on its disk.
    pub(crate) match_index: u64,
    /// The value of `match_index` when it last changed or no entry was unacknowledged, and the time of that.
    last_progress: (u64, Time),
    /// The sending time of the latest message that it answered; zero before the first answer.
    pub(crate) acked_sent_at: Time,
    /// When this leader began to replicate to it.
    pub(crate) tracked_since: Time,
    /// When this replica last heard from it before `tracked_since`; equal to that if it became a member then.
    pub(crate) earlier_contact: Time,
    pub(crate) outgoing_snapshot: Option<OutgoingSnapshot>,
}

/// A read that waits for proof that this replica still leads.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    pub(crate) requested_at: Time,
}

impl Peer {
    /// The sending time of the latest message that it answered, or when it was heard from before this leader's election.
    pub(crate) fn last_contact(&self) -> Time {
        self.acked_sent_at.max(self.earlier_contact)
    }

    /// Sends all unacknowledged entries again if none was acknowledged for `ack_timeout`, which must span several
    /// heartbeats because a large entry may take that long on a slow link.
    fn resend_if_stalled(&mut self, now: Time, ack_timeout: u64) {
        let idle = self.next_index == self.match_index + 1;
        if idle || self.match_index != self.last_progress.0 {
            self.last_progress = (self.match_index, now);
        } else if now.since(self.last_progress.1) >= ack_timeout {
            self.last_progress = (self.match_index, now);
            self.next_index = self.match_index + 1;
        }
    }
}

impl LeaderState {
    pub(crate) fn fail_reads(&self, actions: &mut Actions) {
        actions.extend(self.pending_reads.iter().map(|it| Action::ReadFailed { token: it.token }));
    }
}

impl Raft {
    /// Becomes the leader of the current term.
    pub(crate) fn become_leader(&mut self, now: Time, actions: &mut Actions) {
        let first_index = self.log.last_index() + 1;
        self.leader = Some(self.id);
        self.incoming_snapshot = None;
        self.role = Role::Leader(Box::new(LeaderState {
            elected_at: now,
            first_index,
            heartbeat_at: now + self.config.heartbeat_interval,
            peers: BTreeMap::new(),
            pending_reads: Vec::new(),
            pending_joins: SmallVec::new(),
            leaving: SmallVec::new(),
        }));
        self.update_peers(now, first_index);
        let contacts: SmallVec<[Time; 5]> =
            self.peer_ids().into_iter().map(|it| self.last_contact(it)).collect();
        if let Role::Leader(leader) = &mut self.role {
            for (peer, contact) in leader.peers.values_mut().zip(contacts) {
                peer.earlier_contact = contact;
            }
        }
        self.append_payloads(vec![Payload::Empty], actions);
        self.broadcast(now, actions);
    }

    pub(crate) fn tick_leader(&mut self, now: Time, actions: &mut Actions) {
        let start = self.lease_start(now);
        let Role::Leader(leader) = &mut self.role else { return };
        if now >= start.max(leader.elected_at) + self.config.election_timeout {
            self.become_follower(now, self.hard_state.term, None, actions);
            return;
        }
        if now < leader.heartbeat_at {
            return;
        }
        leader.heartbeat_at = now + self.config.heartbeat_interval;
        self.record_lost_voters(now, actions);
        let Role::Leader(leader) = &mut self.role else { return };
        for peer in leader.peers.values_mut() {
            peer.resend_if_stalled(now, self.config.election_timeout / 2);
        }
        for id in self.peer_ids() {
            self.replicate(now, id, true, actions);
        }
        self.change_members(now, actions);
    }

    pub(crate) fn on_propose(&mut self, now: Time, commands: Vec<Bytes>, actions: &mut Actions) {
        let Role::Leader(leader) = &self.role else {
            actions.push(Action::ProposalRejected);
            return;
        };
        let is_new_leader = self.commit_index < leader.first_index;
        let has_lease = self.lease_expiry(now).is_some_and(|it| now < it);
        if !self.has_min_voters() || !(is_new_leader || has_lease) {
            actions.push(Action::ProposalRejected);
            return;
        }
        let first_index = self.log.last_index() + 1;
        actions.push(Action::Proposed { first_index, term: self.hard_state.term });
        self.append_payloads(commands.into_iter().map(Payload::Command).collect(), actions);
        self.broadcast(now, actions);
    }

    pub(crate) fn on_append_accepted(
        &mut self,
        now: Time,
        from: ReplicaId,
        match_index: u64,
        sent_at: Time,
        actions: &mut Actions,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peer(from) else { return };
        debug_assert!(match_index <= last, "a replica's log is the leader's up to there");
        peer.acked_sent_at = peer.acked_sent_at.max(sent_at);
        peer.match_index = peer.match_index.max(match_index);
        peer.next_index = peer.next_index.max(peer.match_index + 1);
        peer.outgoing_snapshot.take_if(|it| it.snapshot.index <= match_index);
        self.advance_commit(now, actions);
        self.complete_reads(now, actions);
        self.change_members(now, actions);
        self.replicate(now, from, false, actions);
    }

    pub(crate) fn on_append_rejected(
        &mut self,
        now: Time,
        from: ReplicaId,
        hint: u64,
        sent_at: Time,
        actions: &mut Actions,
    ) {
        let Some(peer) = self.peer(from) else { return };
        peer.acked_sent_at = peer.acked_sent_at.max(sent_at);
        peer.next_index = peer.next_index.min(hint + 1).max(peer.match_index + 1);
        self.complete_reads(now, actions);
        self.replicate(now, from, true, actions);
    }

    /// Commits the entries that a quorum has on disk. Only an entry of the leader's own term is committed by count;
    /// it commits all entries before it.
    pub(crate) fn advance_commit(&mut self, now: Time, actions: &mut Actions) {
        let Role::Leader(leader) = &self.role else { return };
        let (id, durable) = (self.id, self.durable_index);
        let match_index = |it: ReplicaId| match leader.peers.get(&it) {
            _ if it == id => durable,
            Some(peer) => peer.match_index,
            None => 0,
        };
        let quorum_index = self.log.members().reached_by_quorum(
            match_index,
            |it| self.lost_at(it),
            |it| self.acked_sent_at(leader, now, it),
        );
        if quorum_index <= self.commit_index
            || self.log.term(quorum_index) != Some(self.hard_state.term)
        {
            return;
        }
        self.commit_to(quorum_index, actions);
        self.complete_reads(now, actions);
        if !self.is_voter() {
            // A majority has this log now, so any of its voters can lead.
            self.become_follower(now, self.hard_state.term, None, actions);
            return;
        }
        self.change_members(now, actions);
    }

    pub(crate) fn append_payloads(&mut self, payloads: Vec<Payload>, actions: &mut Actions) {
        let term = self.hard_state.term;
        let numbered = payloads.into_iter().zip(self.log.last_index() + 1..);
        let entries = numbered.map(|(payload, index)| Entry { index, term, payload }).collect();
        self.append(entries, actions);
    }

    pub(crate) fn broadcast(&mut self, now: Time, actions: &mut Actions) {
        for id in self.peer_ids() {
            self.replicate(now, id, false, actions);
        }
    }

    /// Sends the entries or the snapshot that a replica lacks; with `heartbeat`, sends a message even if it lacks none.
    pub(crate) fn replicate(
        &mut self,
        now: Time,
        to: ReplicaId,
        heartbeat: bool,
        actions: &mut Actions,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        let prev_index = peer.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            self.send_snapshot_chunk(now, to, heartbeat, actions);
            return;
        };
        peer.outgoing_snapshot = None;
        let window_full = prev_index >= peer.match_index + MAX_UNACKED_ENTRIES;
        let entries = if window_full {
            Vec::new()
        } else {
            self.log.batch(prev_index + 1, self.config.max_batch_bytes)
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        peer.next_index += entries.len() as u64;
        let commit_index = self.commit_index;
        let message =
            Message::AppendEntries { prev_index, prev_term, entries, commit_index, sent_at: now };
        self.send_now(to, message, actions);
    }

    pub(crate) fn peer(&mut self, id: ReplicaId) -> Option<&mut Peer> {
        let Role::Leader(leader) = &mut self.role else { return None };
        leader.peers.get_mut(&id)
    }

    /// Updates the set of peers to the membership; replication to new peers begins at `next_index`.
    pub(crate) fn update_peers(&mut self, now: Time, next_index: u64) {
        let Role::Leader(leader) = &mut self.role else { return };
        let members = self.log.members();
        leader.peers.retain(|id, _| members.get(*id).is_some());
        for member in members.0.iter().filter(|it| it.id != self.id) {
            leader.peers.entry(member.id).or_insert_with(|| Peer {
                next_index,
                tracked_since: now,
                earlier_contact: now,
                ..Peer::default()
            });
        }
    }

    fn peer_ids(&self) -> SmallVec<[ReplicaId; 5]> {
        let Role::Leader(leader) = &self.role else { return SmallVec::new() };
        leader.peers.keys().copied().collect()
    }
}
