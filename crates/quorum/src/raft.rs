//! The state of one replica, and the handling of events and messages that all roles share.

use {
    crate::{
        config::Config,
        entry::{Entry, HardState, Member, MemberRole, Membership, Payload, Snapshot},
        event::{Action, Actions, Event, Write},
        leader::LeaderState,
        log::Log,
        message::{Envelope, Message},
        snapshot::IncomingSnapshot,
    },
    derive_more::Debug,
    model::{MILLISECOND, ReplicaId, Term, Time},
    rand::{Rng, SeedableRng, rngs::StdRng},
    smallvec::SmallVec,
    std::collections::{BTreeMap, VecDeque},
};

/// The state of a replica as read from its disk.
#[derive(Clone, Default, Debug)]
pub struct DurableState {
    /// The term, the vote and the commit index.
    pub hard_state: HardState,
    /// The latest snapshot; its index is 0 if there is none.
    pub snapshot: Snapshot,
    /// The log entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// The role of a replica in its current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Box<LeaderState>),
}

/// Replicas of the group.
pub(crate) type Ids = SmallVec<[ReplicaId; 5]>;

/// The state of an election.
#[derive(Default, Debug)]
pub(crate) struct Ballot {
    /// The replicas that voted for this one.
    pub(crate) granted: Ids,
    /// The voters that were known to be lost when the votes were requested.
    pub(crate) lost: Ids,
}

/// An action that is held back until the writes before it are synced.
#[derive(Debug)]
pub(crate) enum Deferred {
    Send(Envelope),
    SelfVote(Term),
}

/// The shortest interval between writes of the commit index. After a restart, the entries that were committed within
/// the last interval count as committed again only once a leader has confirmed them.
pub(crate) const COMMIT_PERSIST_INTERVAL: u64 = 200 * MILLISECOND;

/// The Raft state machine of one replica.
///
/// Invariants: `snapshot.index <= applied_index <= commit_index <= log.last_index()`; an entry at or before
/// `commit_index` never changes; a message that depends on durable state is sent only when `last_synced_write` covers
/// the writes before it.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) id: ReplicaId,
    #[debug(skip)]
    rng: StdRng,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// When this replica last received a message from a leader, or started if it has received none. It grants no vote
    /// until an election timeout after that.
    pub(crate) last_leader_contact: Time,
    /// Whether this replica need not wait any longer before it stops.
    pub(crate) left: bool,
    /// When this process began to run the replica.
    pub(crate) opened_at: Time,
    /// When this replica, in any role, last received a message from each other member.
    last_contacts: BTreeMap<ReplicaId, Time>,
    /// The voters that are known to be lost for good, and since when.
    pub(crate) lost_voters: BTreeMap<ReplicaId, Time>,
    pub(crate) election_deadline: Time,
    /// When this replica campaigns although it is no voter by its own log.
    pub(crate) non_voter_campaign: Option<Time>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) last_write: u64,
    pub(crate) last_synced_write: u64,
    pub(crate) deferred: VecDeque<(u64, Deferred)>,
    /// For each append that is not synced yet, the number of its write and the last index of the log after it.
    pub(crate) unsynced_appends: VecDeque<(u64, u64)>,
    /// The last index up to which the log is on disk.
    pub(crate) durable_index: u64,
    /// The earliest time of the next write of the commit index.
    pub(crate) next_commit_write_at: Time,
}

impl Raft {
    /// Creates a replica from its durable state, and returns it with the actions that restore the snapshot and apply
    /// the entries known to be committed. `seed` seeds the randomization of election timeouts.
    pub fn open(
        now: Time,
        config: Config,
        id: ReplicaId,
        durable: DurableState,
        seed: u64,
    ) -> (Raft, Actions) {
        let DurableState { hard_state, snapshot, entries } = durable;
        let log = Log::new(&snapshot, entries);
        let mut raft = Raft {
            config,
            id,
            rng: StdRng::seed_from_u64(seed),
            hard_state,
            commit_index: snapshot.index,
            applied_index: snapshot.index,
            durable_index: log.last_index(),
            log,
            snapshot,
            role: Role::Follower,
            leader: None,
            last_leader_contact: now,
            left: false,
            opened_at: now,
            last_contacts: BTreeMap::new(),
            lost_voters: BTreeMap::new(),
            election_deadline: now,
            non_voter_campaign: None,
            incoming_snapshot: None,
            last_write: 0,
            last_synced_write: 0,
            deferred: VecDeque::new(),
            unsynced_appends: VecDeque::new(),
            next_commit_write_at: now,
        };
        if !raft.is_sole_voter() {
            raft.reset_election_timer(now);
        }
        let mut actions = Actions::new();
        if raft.snapshot.index > 0 {
            actions.push(Action::Restore(raft.snapshot.clone()));
        }
        raft.commit_to(hard_state.commit_index, &mut actions);
        (raft, actions)
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => self.on_tick(now, &mut actions),
            Event::Received(envelope) => self.on_envelope(now, envelope, &mut actions),
            Event::Propose(commands) => self.on_propose(now, commands, &mut actions),
            Event::Read { token } => self.on_read(now, token, &mut actions),
            Event::Synced(up_to) => self.on_synced(now, up_to, &mut actions),
            Event::Snapshot { index, data } => self.on_snapshot(index, data, &mut actions),
            Event::Leave => self.on_leave(now, &mut actions),
            Event::Bootstrap { group, members } => {
                self.on_bootstrap(now, group, members, &mut actions)
            }
        }
        self.persist_commit_index(now, &mut actions);
        actions
    }

    /// The time at which [`Event::Tick`] is due.
    pub fn deadline(&self) -> Time {
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) if self.is_voter() => {
                self.election_deadline
            }
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => {
                self.non_voter_campaign.unwrap_or(Time::NEVER)
            }
        }
    }

    fn on_tick(&mut self, now: Time, actions: &mut Actions) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now, actions),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => {
                self.tick_election(now, actions);
            }
        }
    }

    fn on_envelope(&mut self, now: Time, envelope: Envelope, actions: &mut Actions) {
        let Envelope { group, from, to, term, message } = envelope;
        if let Message::JoinRequest { addr } = message {
            if group == 0 || group == self.hard_state.group {
                let member = Member { id: from, addr, role: MemberRole::NonVoter };
                self.record_joiner(now, &member, actions);
                self.on_join_request(now, member, to == from, actions);
            }
            return;
        }
        if to != self.id || !self.accept_group(group, &message, actions) {
            return;
        }
        self.record_contact(now, from);
        match message {
            // Valid in any term: a replica that was removed does not learn of later ones.
            Message::LeaveRequest => self.on_leave_request(now, from, actions),
            Message::LeaveResponse { .. } => self.left = true,
            Message::RequestPreVote { last_index, last_term } => {
                self.on_request_pre_vote(now, from, term, (last_term, last_index), actions);
            }
            Message::RequestVote { last_index, last_term } => {
                self.on_request_vote(now, from, term, (last_term, last_index), actions);
            }
            Message::PreVoteResponse { granted: true } => {
                self.on_pre_vote_granted(now, from, term, actions)
            }
            _ if term > self.hard_state.term => {
                self.become_follower(now, term, None, actions);
                self.on_message(now, from, message, actions);
            }
            _ if term == self.hard_state.term => self.on_message(now, from, message, actions),
            Message::AppendEntries { sent_at, .. } | Message::SnapshotChunk { sent_at, .. } => {
                self.send_after_sync(from, Message::AppendRejected { hint: 0, sent_at }, actions);
            }
            _ => {}
        }
    }

    /// Handles a message of the current term.
    fn on_message(&mut self, now: Time, from: ReplicaId, message: Message, actions: &mut Actions) {
        match message {
            Message::VoteResponse { granted: true } => self.on_vote_granted(now, from, actions),
            Message::VoteResponse { granted: false }
            | Message::PreVoteResponse { granted: false } => self.on_vote_denied(now),
            Message::AppendEntries { prev_index, prev_term, entries, commit_index, sent_at } => {
                self.accept_leader(now, from, actions);
                self.on_append_entries(
                    from,
                    (prev_index, prev_term),
                    entries,
                    commit_index,
                    sent_at,
                    actions,
                );
            }
            Message::SnapshotChunk { index, term, members, offset, total, data, sent_at } => {
                self.accept_leader(now, from, actions);
                let header = Snapshot { index, term, members, data };
                self.on_snapshot_chunk(from, header, offset, total, sent_at, actions);
            }
            Message::AppendAccepted { match_index, sent_at } => {
                self.on_append_accepted(now, from, match_index, sent_at, actions);
            }
            Message::AppendRejected { hint, sent_at } => {
                self.on_append_rejected(now, from, hint, sent_at, actions)
            }
            Message::SnapshotChunkReceived { index, offset, sent_at } => {
                self.on_snapshot_chunk_received(now, from, index, offset, sent_at, actions);
            }
            Message::LeaveRequest
            | Message::LeaveResponse { .. }
            | Message::PreVoteResponse { granted: true }
            | Message::RequestPreVote { .. }
            | Message::RequestVote { .. }
            | Message::JoinRequest { .. } => {}
        }
    }

    fn record_contact(&mut self, now: Time, from: ReplicaId) {
        self.lost_voters.remove(&from);
        let members = self.log.members();
        if members.get(from).is_some() && self.last_contacts.insert(from, now).is_none() {
            self.last_contacts.retain(|it, _| members.get(*it).is_some());
        }
    }

    /// When this replica last heard from a member, or was opened if it never has.
    pub(crate) fn last_contact(&self, member: ReplicaId) -> Time {
        self.last_contacts.get(&member).copied().unwrap_or(self.opened_at)
    }

    /// Returns whether a message belongs to this replica's group. An uninitialized replica adopts the group of the
    /// first leader that sends it entries or a snapshot.
    fn accept_group(&mut self, group: u64, message: &Message, actions: &mut Actions) -> bool {
        if !self.is_uninitialized() || group == self.hard_state.group {
            return group == self.hard_state.group;
        }
        if group == 0
            || !matches!(message, Message::AppendEntries { .. } | Message::SnapshotChunk { .. })
        {
            return false;
        }
        self.hard_state.group = group;
        self.write(Write::HardState(self.hard_state), actions);
        true
    }

    fn on_bootstrap(&mut self, now: Time, group: u64, members: Membership, actions: &mut Actions) {
        if !self.is_uninitialized() || group == 0 || members.get(self.id).is_none() {
            return;
        }
        self.hard_state.group = group;
        self.write(Write::HardState(self.hard_state), actions);
        let payload = Payload::Membership(members);
        let entry = Entry { index: self.log.last_index() + 1, term: self.hard_state.term, payload };
        self.append(vec![entry], actions);
        if self.is_sole_voter() {
            self.election_deadline = now;
        } else {
            self.reset_election_timer(now);
        }
    }

    /// Becomes a follower in `term`; a leader steps down.
    pub(crate) fn become_follower(
        &mut self,
        now: Time,
        term: Term,
        leader: Option<ReplicaId>,
        actions: &mut Actions,
    ) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.write(Write::HardState(self.hard_state), actions);
        }
        self.leader = leader;
        if let Role::Leader(state) = std::mem::replace(&mut self.role, Role::Follower) {
            state.fail_reads(actions);
            actions.push(Action::SteppedDown);
            self.reset_election_timer(now);
        }
    }

    /// Advances the commit index to `index`, at most to the end of the log, and emits the newly committed entries to
    /// be applied.
    pub(crate) fn commit_to(&mut self, index: u64, actions: &mut Actions) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.applied_index < self.commit_index
            && let Some(entry) = self.log.get(self.applied_index + 1)
        {
            self.applied_index = entry.index;
            actions.push(Action::Apply(entry.clone()));
        }
    }

    pub(crate) fn reset_election_timer(&mut self, now: Time) {
        // Pre-vote makes split votes rare, so a wider spread would only delay the next leader.
        let spread = self.rng.random_range(0..self.config.election_timeout / 2);
        self.election_deadline = now + self.config.election_timeout + spread;
    }

    /// A time within half an election timeout, at random.
    pub(crate) fn retry_deadline(&mut self, now: Time) -> Time {
        now + self.rng.random_range(0..self.config.election_timeout / 2)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.members().is_voter(self.id)
    }

    fn is_sole_voter(&self) -> bool {
        self.log.members().voters().eq([self.id])
    }
}
