//! One replica's state, and what is common to all roles.

use {
    crate::{
        config::Config,
        entry::{Entry, HardState, Member, Members, Payload, Snapshot},
        event::{Action, Actions, Event, Write},
        lead::Lead,
        log::Log,
        message::{Envelope, Message},
        transfer::Partial,
    },
    derive_more::Debug,
    model::{MILLISECOND, ReplicaId, Term, Time},
    rand::{Rng, SeedableRng, rngs::StdRng},
    smallvec::SmallVec,
    std::collections::VecDeque,
};

/// What was found on disk.
#[derive(Clone, Default, Debug)]
pub struct Durable {
    /// The hard state.
    pub hard: HardState,
    /// The last snapshot; index 0 if there is none.
    pub snapshot: Snapshot,
    /// The log after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// What a replica is in its term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Lead>),
}

/// Who voted for this replica.
pub(crate) type Votes = SmallVec<[ReplicaId; 5]>;

/// What waits for the disk.
#[derive(Debug)]
pub(crate) enum Held {
    Send(Envelope),
    OwnVote(Term),
}

/// How often the disk is told what is committed: what was committed within this time before a restart is known only
/// once a leader has said so.
pub(crate) const NOTE_INTERVAL: u64 = 200 * MILLISECOND;

/// The consensus of one replica.
///
/// Invariants: `snapshot.index <= applied <= commit <= log.last()`; an entry at or before `commit` never changes; a
/// message that states what is on disk leaves only when `synced` covers the writes before it.
#[derive(Debug)]
pub struct Core {
    pub(crate) config: Config,
    pub(crate) id: ReplicaId,
    #[debug(skip)]
    rng: StdRng,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// When a leader was last heard of, or this replica started: no vote within an election timeout of it.
    pub(crate) heard: Time,
    pub(crate) election_at: Time,
    pub(crate) partial: Option<Partial>,
    pub(crate) written: u64,
    pub(crate) synced: u64,
    pub(crate) held: VecDeque<(u64, Held)>,
    /// The last index in the log after writes that are not on disk yet.
    pub(crate) unsynced: VecDeque<(u64, u64)>,
    /// Up to where the log is on disk.
    pub(crate) durable: u64,
    /// When the disk is told next what is committed.
    pub(crate) note_at: Time,
}

impl Core {
    /// Returns a replica with what its disk holds, and the actions that bring the replicated state to its snapshot.
    /// `seed` spreads election timeouts.
    pub fn open(
        now: Time,
        config: Config,
        id: ReplicaId,
        durable: Durable,
        seed: u64,
    ) -> (Core, Actions) {
        let Durable { hard, snapshot, entries } = durable;
        let log = Log::new(&snapshot, entries);
        let mut core = Core {
            config,
            id,
            rng: StdRng::seed_from_u64(seed),
            hard,
            commit: snapshot.index,
            applied: snapshot.index,
            durable: log.last(),
            log,
            snapshot,
            role: Role::Follower,
            leader: None,
            heard: now,
            election_at: now,
            partial: None,
            written: 0,
            synced: 0,
            held: VecDeque::new(),
            unsynced: VecDeque::new(),
            note_at: now,
        };
        if !core.is_alone() {
            core.delay_election(now);
        }
        let mut actions = Actions::new();
        if core.snapshot.index > 0 {
            actions.push(Action::Restore(core.snapshot.clone()));
        }
        core.commit_to(hard.commit, &mut actions);
        (core, actions)
    }

    /// Takes one event.
    pub fn step(&mut self, now: Time, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => self.on_tick(now, &mut actions),
            Event::Received(envelope) => self.on_envelope(now, envelope, &mut actions),
            Event::Propose(commands) => self.on_propose(now, commands, &mut actions),
            Event::Read { token } => self.on_read(now, token, &mut actions),
            Event::Synced(upto) => self.on_synced(now, upto, &mut actions),
            Event::Snapshot { index, data } => self.on_snapshot(index, data, &mut actions),
            Event::Found { group, members } => self.on_found(now, group, members, &mut actions),
        }
        self.note_commit(now, &mut actions);
        actions
    }

    /// When [`Event::Tick`] is due.
    pub fn deadline(&self) -> Time {
        match &self.role {
            Role::Leader(lead) => lead.heartbeat_at,
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) if self.can_vote() => {
                self.election_at
            }
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => Time::NEVER,
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
        if let Message::Join { addr } = message {
            if group == 0 || group == self.hard.group {
                self.on_join(now, Member { id: from, addr, voter: false }, actions);
            }
            return;
        }
        if to != self.id || !self.in_group(group, &message, actions) {
            return;
        }
        match message {
            Message::AskPreVote { last_index, last_term } => {
                self.on_ask_pre_vote(now, from, term, (last_term, last_index), actions);
            }
            Message::AskVote { last_index, last_term } => {
                self.on_ask_vote(now, from, term, (last_term, last_index), actions);
            }
            Message::PreVote { granted: true } => self.on_pre_vote(now, from, term, actions),
            _ if term > self.hard.term => {
                self.follow(now, term, None, actions);
                self.on_message(now, from, message, actions);
            }
            _ if term == self.hard.term => self.on_message(now, from, message, actions),
            Message::Append { sent, .. } | Message::Chunk { sent, .. } => {
                self.send(from, Message::Mismatch { hint: 0, sent }, actions);
            }
            _ => {}
        }
    }

    /// Handles a message of this replica's term.
    fn on_message(&mut self, now: Time, from: ReplicaId, message: Message, actions: &mut Actions) {
        match message {
            Message::Vote { granted: true } => self.on_vote(now, from, actions),
            Message::Append { prev_index, prev_term, entries, commit, sent } => {
                self.heed(now, from, actions);
                self.on_append(from, (prev_index, prev_term), entries, commit, sent, actions);
            }
            Message::Chunk { index, term, members, offset, total, data, sent } => {
                self.heed(now, from, actions);
                let head = Snapshot { index, term, members, data };
                self.on_chunk(from, head, offset, total, sent, actions);
            }
            Message::Appended { matched, sent } => {
                self.on_appended(now, from, matched, sent, actions);
            }
            Message::Mismatch { hint, sent } => self.on_mismatch(now, from, hint, sent, actions),
            Message::Chunked { index, offset, sent } => {
                self.on_chunked(now, from, index, offset, sent, actions);
            }
            Message::Vote { granted: false }
            | Message::PreVote { .. }
            | Message::AskPreVote { .. }
            | Message::AskVote { .. }
            | Message::Join { .. } => {}
        }
    }

    /// Whether a message is of this replica's group; an empty replica joins that of the first leader that knows it.
    fn in_group(&mut self, group: u64, message: &Message, actions: &mut Actions) -> bool {
        if !self.is_fresh() || group == self.hard.group {
            return group == self.hard.group;
        }
        if group == 0 || !matches!(message, Message::Append { .. } | Message::Chunk { .. }) {
            return false;
        }
        self.hard.group = group;
        self.write(Write::State(self.hard), actions);
        true
    }

    fn on_found(&mut self, now: Time, group: u64, members: Members, actions: &mut Actions) {
        if !self.is_fresh() || group == 0 || members.get(self.id).is_none() {
            return;
        }
        self.hard.group = group;
        self.write(Write::State(self.hard), actions);
        let payload = Payload::Members(members);
        let entry = Entry { index: self.log.last() + 1, term: self.hard.term, payload };
        self.append(vec![entry], actions);
        if self.is_alone() {
            self.election_at = now;
        } else {
            self.delay_election(now);
        }
    }

    /// Moves to a term as a follower.
    pub(crate) fn follow(
        &mut self,
        now: Time,
        term: Term,
        leader: Option<ReplicaId>,
        actions: &mut Actions,
    ) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.write(Write::State(self.hard), actions);
        }
        self.leader = leader;
        if let Role::Leader(lead) = std::mem::replace(&mut self.role, Role::Follower) {
            lead.fail_reads(actions);
            actions.push(Action::Deposed);
            self.delay_election(now);
        }
    }

    /// Moves the commit index and hands out what became committed.
    pub(crate) fn commit_to(&mut self, index: u64, actions: &mut Actions) {
        self.commit = self.commit.max(index.min(self.log.last()));
        while self.applied < self.commit
            && let Some(entry) = self.log.get(self.applied + 1)
        {
            self.applied = entry.index;
            actions.push(Action::Apply(entry.clone()));
        }
    }

    pub(crate) fn delay_election(&mut self, now: Time) {
        // Votes seldom collide, as a candidate asks first; a wider spread only delays the next leader.
        let spread = self.rng.random_range(0..self.config.election / 2);
        self.election_at = now + self.config.election + spread;
    }

    pub(crate) fn can_vote(&self) -> bool {
        self.log.members().is_voter(self.id)
    }

    fn is_alone(&self) -> bool {
        self.log.members().voters().eq([self.id])
    }
}
