//! A group of replicas over an unreliable network, disks that forget and clocks that drift, in one thread.
//!
//! Checked at every step: committed entries agree, nothing acknowledged is missing from a leader or from a read, and
//! no two replicas lead at one moment.

mod check;

use {
    bytes::Bytes,
    fakes::{Disk, DriftClock, Net},
    model::{MILLISECOND, ReplicaId, Term, Time},
    quorum::{
        Action, Actions, Config, Entry, Envelope, Event, Member, Membership, Message, Payload, Raft,
    },
    replica::Journal,
    std::{collections::BTreeMap, net::SocketAddr, path::Path},
    store::StoreError,
};

const FOLDER: &str = "/data";
const HEARTBEAT: u64 = 100 * MILLISECOND;
const ELECTION: u64 = 1_000 * MILLISECOND;
const DRIFT_PERCENT: u64 = 10;
/// How many messages wait for frozen replicas or late delivery; more are lost or on time.
const MAX_WAITING: usize = 60;
const ROUND: u64 = 20 * MILLISECOND;

/// A host with one disk; its replica gets a new id when the disk is lost.
pub(crate) struct Slot {
    /// The replica that the disk belongs to.
    id: Option<ReplicaId>,
    disk: Disk,
    clock: DriftClock,
    pub(crate) node: Option<Node>,
    pub(crate) frozen: bool,
    pub(crate) stalled: bool,
    /// Whether the host is not there: it was replaced, or it is to replace another one.
    pub(crate) absent: bool,
    /// Whether its disk has been empty ever since the group was to be founded.
    bootstrap: bool,
    pick: u64,
}

pub(crate) struct Node {
    pub(crate) raft: Raft,
    journal: Journal<Disk>,
    written: u64,
    applied: u64,
    state: Vec<Bytes>,
    pending: BTreeMap<u64, (Term, Bytes)>,
    reads: BTreeMap<u64, u64>,
}

pub(crate) struct Sim {
    now: Time,
    pub(crate) net: Net<usize, Envelope>,
    pub(crate) slots: Vec<Slot>,
    /// The first entry that any replica applied at each index.
    history: BTreeMap<u64, Entry>,
    /// What was acknowledged to callers.
    pub(crate) acked: BTreeMap<u64, Bytes>,
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(ReplicaId, Term), ReplicaId>,
    /// Of each eight messages, so many stay under way for another round.
    pub(crate) delay: u64,
    delivered: u64,
    rounds: u64,
    pub(crate) reads: u64,
    count: u64,
    /// How many hosts found the group together; zero: the first one does alone.
    founders: usize,
}

pub(crate) fn addr(slot: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], slot as u16 + 1))
}

/// After how much silence a voter may be replaced by a host at another address.
const FORGET: u64 = 3_000 * MILLISECOND;

fn config(replicas: usize, seeded: bool) -> Config {
    let mut config = Config::default();
    config.set_timeouts(HEARTBEAT, ELECTION, DRIFT_PERCENT).unwrap();
    config.set_min_voters(replicas / 2 + 1);
    config.set_max_batch_bytes(1);
    config.set_snapshot_chunk_bytes(16);
    config.set_retained_entries(2);
    if seeded {
        config.set_target_voters(replicas, FORGET);
    }
    config
}

fn founder_id(at: usize) -> ReplicaId {
    ReplicaId(1_000_000 + at as u64)
}

impl Sim {
    /// Founds a group and waits until all vote; `drifts` are those of their clocks, in millionths.
    pub(crate) fn start(drifts: &[i32]) -> Sim {
        let mut sim = Sim::new(drifts, 0);
        (0..sim.slots.len()).for_each(|it| sim.restart(it));
        let found = sim.found();
        sim.step(0, found);
        sim.settle();
        sim
    }

    /// Starts hosts of which all but the last one found a group together; the last one is there to replace another.
    pub(crate) fn seeded(drifts: &[i32]) -> Sim {
        let mut sim = Sim::new(drifts, drifts.len() - 1);
        let spare = sim.founders;
        sim.slots[spare].absent = true;
        (0..spare).for_each(|it| sim.restart(it));
        sim
    }

    fn new(drifts: &[i32], founders: usize) -> Sim {
        let slot = |drift: &i32| Slot {
            id: None,
            disk: Disk::default(),
            clock: DriftClock { zero: Time(1_000_000), drift: *drift },
            node: None,
            frozen: false,
            stalled: false,
            absent: false,
            bootstrap: true,
            pick: 0,
        };
        Sim {
            now: Time(1),
            net: Net::default(),
            slots: drifts.iter().map(slot).collect(),
            history: BTreeMap::new(),
            acked: BTreeMap::new(),
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            delay: 0,
            delivered: 0,
            rounds: 0,
            reads: 0,
            count: 0,
            founders,
        }
    }

    /// The event by which the first replica founds the group alone.
    fn found(&self) -> Event {
        let id = self.slots[0].id.expect("a running replica");
        let founder = Member { id, addr: addr(0), voter: true };
        Event::Bootstrap { group: 7, members: Membership([founder].into()) }
    }

    pub(crate) fn restart(&mut self, at: usize) {
        if self.slots[at].node.is_some() || self.slots[at].absent {
            return;
        }
        self.count += 1;
        let (seeded, founds) = (self.founders > 0, at < self.founders);
        let replicas = if seeded { self.founders } else { self.slots.len() };
        let slot = &mut self.slots[at];
        // Another process counts from another zero.
        slot.clock.zero = slot.clock.zero + self.count * 17;
        let now = slot.clock.at(self.now);
        let founder = founds && slot.bootstrap;
        let fresh = if founder { founder_id(at) } else { ReplicaId(self.count) };
        let opened = Journal::open(slot.disk.clone(), Path::new(FOLDER), fresh);
        let (journal, durable) = match opened {
            Ok(opened) => opened,
            // Killed while it was reading its disk.
            Err(StoreError::Io { .. }) => {
                let pick = slot.pick;
                slot.disk.crash(pick);
                return;
            }
            Err(err) => panic!("{err}"),
        };
        let (raft, actions) =
            Raft::open(now, config(replicas, seeded), journal.id(), durable, self.count);
        slot.frozen = false;
        slot.id = Some(journal.id());
        slot.node = Some(Node {
            raft,
            journal,
            written: 0,
            applied: 0,
            state: Vec::new(),
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
        });
        self.carry_out(at, actions);
    }

    /// Kills a replica; `pick` chooses what its disk keeps of what was not synced.
    pub(crate) fn crash(&mut self, at: usize, pick: u64) {
        let slot = &mut self.slots[at];
        slot.node = None;
        slot.disk.crash(pick);
    }

    /// Makes the disk fail after so many changes, which kills the replica.
    pub(crate) fn fail_disk(&mut self, at: usize, operations: u32, pick: u64) {
        self.slots[at].disk.fail_after(operations);
        self.slots[at].pick = pick;
    }

    /// Loses a disk, if a quorum is left then; returns whether it did.
    pub(crate) fn lose_disk(&mut self, at: usize) -> bool {
        if !self.can_lose() {
            return false;
        }
        self.slots[at].node = None;
        self.slots[at].id = None;
        self.slots[at].disk = Disk::default();
        self.slots[at].bootstrap = false;
        true
    }

    pub(crate) fn is_seeded(&self) -> bool {
        self.founders > 0
    }

    /// Removes a host for good and starts the spare one, if a quorum is left then.
    pub(crate) fn replace(&mut self, at: usize) {
        let spare = self.founders;
        if at != spare && self.slots[spare].absent && self.lose_disk(at) {
            self.slots[at].absent = true;
            self.slots[spare].absent = false;
            self.slots[spare].bootstrap = false;
            self.restart(spare);
        }
    }

    /// Lets a host found the group with the others, if its disk is empty and it is one of the founders.
    fn found_with_seeds(&mut self, at: usize) {
        let fresh = |it: &Slot| it.node.as_ref().is_some_and(|it| it.raft.is_uninitialized());
        if at >= self.founders || !self.slots[at].bootstrap || !fresh(&self.slots[at]) {
            return;
        }
        let founder = |it| Member { id: founder_id(it), addr: addr(it), voter: true };
        let members = Membership((0..self.founders).map(founder).collect());
        self.step(at, Event::Bootstrap { group: 7, members });
    }

    pub(crate) fn pass(&mut self, micros: u64) {
        self.now = self.now + micros;
        self.check();
    }

    pub(crate) fn tick(&mut self, at: usize) {
        let slot = &self.slots[at];
        let now = slot.clock.at(self.now);
        let due = slot.node.as_ref().is_some_and(|it| it.raft.deadline() <= now);
        if due {
            self.step(at, Event::Tick);
        }
    }

    pub(crate) fn propose(&mut self, at: usize) {
        self.count += 1;
        let command = Bytes::from(self.count.to_string());
        self.step(at, Event::Propose(vec![command.clone()]));
        // `carry_out` noted where the command went with an empty value.
        if let Some(node) = &mut self.slots[at].node {
            node.pending.values_mut().filter(|it| it.1.is_empty()).for_each(|it| {
                it.1 = command.clone();
            });
        }
    }

    pub(crate) fn read(&mut self, at: usize) {
        self.count += 1;
        let token = self.count;
        let floor = self.acked.last_key_value().map_or(0, |it| *it.0);
        if let Some(node) = &mut self.slots[at].node {
            node.reads.insert(token, floor);
        }
        self.step(at, Event::Read { token });
    }

    pub(crate) fn snapshot(&mut self, at: usize) {
        let Some(node) = &self.slots[at].node else { return };
        let (index, data) = (node.applied, Bytes::from(node.state.join(&b' ')));
        self.step(at, Event::Snapshot { index, data });
    }

    pub(crate) fn sync(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        let Some(node) = &mut slot.node else { return };
        if slot.frozen {
            return;
        }
        let written = node.written;
        if node.journal.sync().is_err() {
            let pick = slot.pick;
            self.crash(at, pick);
            return;
        }
        self.step(at, Event::Synced(written));
    }

    /// Delivers a message; those for a frozen replica wait.
    pub(crate) fn deliver(&mut self, pick: Option<usize>) {
        let taken = match pick {
            Some(pick) => self.net.deliver(pick),
            None => self.net.deliver_oldest(),
        };
        let Some(envelope) = taken else { return };
        self.delivered += 1;
        let room = self.net.len() < MAX_WAITING;
        let late = room && pick.is_none() && self.delivered * 5 % 8 < self.delay;
        let frozen = self.slots[envelope.to].frozen;
        if late || (frozen && room) {
            self.net.send(envelope.from, envelope.to, envelope.message);
            return;
        }
        self.step(envelope.to, Event::Received(envelope.message));
    }

    /// Lets time pass as on a good day, but for cuts, frozen replicas and stalled disks.
    pub(crate) fn round(&mut self) {
        self.pass(ROUND);
        for at in 0..self.slots.len() {
            self.tick(at);
        }
        self.rounds += 1;
        if self.rounds.is_multiple_of(10) {
            (0..self.slots.len()).for_each(|it| self.found_with_seeds(it));
            (0..self.slots.len()).for_each(|it| self.ask_to_join(it));
        }
        for _ in 0..self.net.len() {
            self.deliver(None);
        }
        for at in 0..self.slots.len() {
            if !self.slots[at].stalled {
                self.sync(at);
            }
        }
        for _ in 0..self.net.len() {
            self.deliver(None);
        }
    }

    /// Ends all faults and waits until all replicas vote and have applied the same.
    pub(crate) fn settle(&mut self) {
        self.net.heal();
        self.delay = 0;
        for at in 0..self.slots.len() {
            self.slots[at].frozen = false;
            self.slots[at].stalled = false;
            self.crash(at, 1);
            self.restart(at);
        }
        if self.history.is_empty() && self.founders == 0 {
            let found = self.found();
            self.step(0, found);
        }
        for _ in 0..2_000 {
            self.round();
            let applied = |it: &Slot| it.node.as_ref().map(|it| it.applied);
            let present: Vec<_> = self.slots.iter().filter(|it| !it.absent).collect();
            let first = applied(present[0]);
            if self.is_whole() && present.iter().all(|it| applied(it) == first) {
                return;
            }
        }
        let nodes: Vec<_> = self.slots.iter().filter_map(|it| it.node.as_ref()).collect();
        let seen: Vec<_> = nodes.iter().map(|it| (it.raft.id(), it.raft.members())).collect();
        panic!("no quorum after all faults ended: {seen:?}");
    }

    fn ask_to_join(&mut self, at: usize) {
        let slot = &self.slots[at];
        let Some(node) = &slot.node else { return };
        let (id, group) = (node.raft.id(), node.raft.hard_state().group);
        if slot.frozen || !node.raft.should_request_join(slot.clock.at(self.now)) {
            return;
        }
        let message = Message::JoinRequest { addr: addr(at) };
        let envelope = Envelope { group, from: id, to: id, term: Term(0), message };
        (0..self.slots.len())
            .filter(|it| *it != at)
            .for_each(|it| self.net.send(at, it, envelope.clone()));
    }

    fn step(&mut self, at: usize, event: Event) {
        let slot = &mut self.slots[at];
        let now = slot.clock.at(self.now);
        if slot.frozen {
            return;
        }
        let Some(node) = &mut slot.node else { return };
        let actions = node.raft.step(now, event);
        self.carry_out(at, actions);
        self.check();
    }

    fn carry_out(&mut self, at: usize, actions: Actions) {
        for action in actions {
            let Some(node) = &mut self.slots[at].node else { return };
            match action {
                Action::Send(envelope) => self.send(at, envelope),
                Action::Write(number, write) => {
                    node.written = number;
                    if node.journal.write(&write).is_err() {
                        let pick = self.slots[at].pick;
                        self.crash(at, pick);
                    }
                }
                Action::Restore(snapshot) => {
                    let text = String::from_utf8(snapshot.data.to_vec()).unwrap();
                    let words = text.split_whitespace().map(|it| Bytes::from(it.to_owned()));
                    node.state = words.collect();
                    node.applied = snapshot.index;
                    let state = node.state.clone();
                    assert_eq!(state, self.commands(snapshot.index), "a snapshot's state");
                }
                Action::Apply(entry) => self.apply(at, entry),
                Action::Proposed { first_index, term } => {
                    node.pending.insert(first_index, (term, Bytes::new()));
                }
                Action::ReadReady { token, index } => {
                    let floor = node.reads.remove(&token).unwrap();
                    assert!(node.applied >= index, "a read before its entry is applied");
                    assert!(node.applied >= floor, "a read misses what was acknowledged before it");
                    self.reads += 1;
                }
                Action::ReadFailed { token } => drop(node.reads.remove(&token)),
                Action::SteppedDown => node.pending.clear(),
                Action::ProposalRejected => {}
            }
        }
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        if let Message::VoteResponse { granted: true } = envelope.message {
            let vote = *self.votes.entry((envelope.from, envelope.term)).or_insert(envelope.to);
            assert_eq!(vote, envelope.to, "two votes in {}", envelope.term);
        }
        let to = self
            .slots
            .iter()
            .position(|it| it.node.as_ref().is_some_and(|it| it.raft.id() == envelope.to));
        if let Some(to) = to {
            self.net.send(from, to, envelope);
        }
    }

    fn apply(&mut self, at: usize, entry: Entry) {
        if !self.history.contains_key(&entry.index) {
            self.check_vote(&entry);
        }
        let first = self.history.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*first, entry, "two entries committed at one index");
        let Some(node) = &mut self.slots[at].node else { return };
        assert_eq!(entry.index, node.applied + 1, "entries are applied in order");
        node.applied = entry.index;
        let Payload::Command(command) = entry.payload else { return };
        node.state.push(command.clone());
        if let Some((term, proposed)) = node.pending.remove(&entry.index)
            && term == entry.term
        {
            assert!(proposed.is_empty() || proposed == command, "another command in its place");
            self.acked.insert(entry.index, command);
        }
    }
}
