//! The task that owns the consensus.

use {
    crate::{
        config::{ReplicaConfig, founded_group},
        disk::Disk,
        error::ProposeError,
        found::Founding,
        link::{Body, Frame, Link},
        machine::StateMachine,
        shared::Shared,
    },
    bytes::Bytes,
    model::{MILLISECOND, ReplicaId, Term, Time},
    quorum::{
        Action, Actions, Entry, Envelope, Event, Member, Membership, Message, Payload, Raft,
        Snapshot,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    store::StoreError,
    tokio::{
        sync::{mpsc, oneshot},
        task,
        time::sleep_until,
    },
    wire::Dialer,
};

/// The most calls that are taken in one step.
const MAX_BATCH: usize = 1_024;

/// What a handle asks for.
pub(crate) enum Call {
    Propose { command: Bytes, reply: Reply<Vec<u8>> },
    Read { reply: Reply<()> },
    Shutdown { reply: oneshot::Sender<()> },
}

/// What other tasks report.
pub(crate) enum Input {
    Frame(Frame),
    Synced(u64),
    DiskFailed(StoreError),
    Snapshot { index: u64, data: Bytes },
}

type Reply<T> = oneshot::Sender<Result<T, ProposeError>>;

/// Why the task ends.
enum End {
    Failed,
    Shutdown(Option<oneshot::Sender<()>>),
}

pub(crate) struct Driver<M> {
    config: ReplicaConfig,
    raft: Raft,
    shared: Arc<Shared<M>>,
    disk: Disk,
    dialer: Dialer,
    links: BTreeMap<SocketAddr, Link>,
    /// Where replicas listen that were heard of.
    addrs: BTreeMap<ReplicaId, SocketAddr>,
    founding: Founding,
    /// When to look for the group again.
    search_at: Time,
    inputs: mpsc::Sender<Input>,
    /// The replies of the commands that are being proposed.
    proposed: Vec<Reply<Vec<u8>>>,
    pending: BTreeMap<u64, (Term, Reply<Vec<u8>>)>,
    reads: BTreeMap<u64, Reply<()>>,
    token: u64,
    /// Bytes of commands applied since the last snapshot.
    since_snapshot: u64,
    snapshotting: bool,
}

impl<M> Driver<M>
where
    M: StateMachine,
{
    pub(crate) fn new(
        config: ReplicaConfig,
        raft: Raft,
        shared: Arc<Shared<M>>,
        disk: Disk,
        dialer: Dialer,
        inputs: mpsc::Sender<Input>,
    ) -> Driver<M> {
        let mut driver = Driver {
            links: BTreeMap::new(),
            dialer,
            founding: Founding::new(config.addr, config.peers.clone()),
            config,
            raft,
            shared,
            disk,
            addrs: BTreeMap::new(),
            search_at: Time::default(),
            inputs,
            proposed: Vec::new(),
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            token: 0,
            since_snapshot: 0,
            snapshotting: false,
        };
        driver.update_links();
        driver
    }

    /// Links this replica to all others that it knows of, and only to those.
    fn update_links(&mut self) {
        let members = self.raft.members().0.iter().map(|it| it.addr);
        let known = self.config.peers.iter().copied().chain(members);
        let known = known.chain(self.addrs.values().copied());
        let wanted: BTreeSet<_> = known.filter(|it| *it != self.config.addr).collect();
        self.links.retain(|it, _| wanted.contains(it));
        let silence = Duration::from_millis(self.config.election_ms / 2);
        for addr in wanted {
            let spawn = || Link::spawn(addr, self.dialer.clone(), silence);
            self.links.entry(addr).or_insert_with(spawn);
        }
    }

    pub(crate) async fn run(
        mut self,
        mut calls: mpsc::Receiver<Call>,
        mut inputs: mpsc::Receiver<Input>,
    ) {
        let end = loop {
            let deadline = self.raft.deadline().min(self.search_at);
            let ended = tokio::select! {
                input = inputs.recv() => input.and_then(|it| self.on_input(it)),
                call = calls.recv() => match call {
                    Some(call) => self.on_calls(call, &mut calls),
                    None => Some(End::Shutdown(None)),
                },
                () = sleep_until(self.shared.clock.deadline(deadline)) => self.on_time(),
            };
            if let Some(end) = ended {
                break end;
            }
        };
        calls.close();
        drop(inputs);
        self.shared.stop();
        // Dropping what waits for a reply answers that the outcome is unknown.
        let Driver { disk, .. } = self;
        drop(disk.writes);
        let _ = disk.thread.await;
        if let End::Shutdown(Some(reply)) = end {
            let _ = reply.send(());
        }
    }

    fn on_time(&mut self) -> Option<End> {
        let now = self.shared.clock.now();
        if now >= self.search_at
            && let Some(end) = self.search(now)
        {
            return Some(end);
        }
        if now >= self.raft.deadline() { self.step(Event::Tick) } else { None }
    }

    /// Looks for a group, if this replica is in none.
    fn search(&mut self, now: Time) -> Option<End> {
        self.search_at = now + self.config.heartbeat_ms * MILLISECOND;
        self.update_links();
        if !self.raft.should_request_join(now) {
            return None;
        }
        if let Some(members) = self.config.founders().filter(|_| self.raft.is_uninitialized()) {
            let group = founded_group(&members);
            tracing::info!("replica: {} founds group {group:x} with the seeds", self.raft.id());
            return self.step(Event::Bootstrap { group, members });
        }
        if self.config.seeds.is_none()
            && self.raft.is_uninitialized()
            && let Some(round) = self.founding.ask()
        {
            self.links.values().for_each(|it| it.send(self.frame(Body::AskFresh { round })));
        }
        let (group, id) = (self.raft.hard_state().group, self.raft.id());
        let message = Message::JoinRequest { addr: self.config.addr };
        let join = Envelope { group, from: id, to: id, term: Term(0), message };
        let frame = self.frame(Body::Consensus(join));
        self.links.values().for_each(|it| it.send(frame.clone()));
        self.found()
    }

    fn found(&mut self) -> Option<End> {
        if self.config.seeds.is_some()
            || !self.raft.is_uninitialized()
            || !self.founding.may_found()
        {
            return None;
        }
        let group = rand::random_range(1..=u64::MAX);
        tracing::info!("replica: {} founds group {group:x}", self.raft.id());
        let founder = Member { id: self.raft.id(), addr: self.config.addr, voter: true };
        self.step(Event::Bootstrap { group, members: Membership([founder].into()) })
    }

    fn on_input(&mut self, input: Input) -> Option<End> {
        match input {
            Input::Frame(frame) => self.on_frame(frame),
            Input::Synced(up_to) => self.step(Event::Synced(up_to)),
            Input::DiskFailed(err) => {
                tracing::error!("replica: stopped: {err}");
                Some(End::Failed)
            }
            Input::Snapshot { index, data } => {
                self.snapshotting = false;
                self.step(Event::Snapshot { index, data })
            }
        }
    }

    fn on_frame(&mut self, frame: Frame) -> Option<End> {
        let Frame { from, body } = frame;
        match body {
            Body::Consensus(envelope) => {
                self.addrs.insert(envelope.from, from);
                self.step(Event::Received(envelope))
            }
            Body::AskFresh { round } => {
                let fresh = self.raft.is_uninitialized();
                self.send(from, Body::Fresh { round, fresh });
                None
            }
            Body::Fresh { round, fresh } => {
                self.founding.answer(from, round, fresh);
                self.found()
            }
        }
    }

    /// Takes a call and those that wait behind it; commands are proposed together.
    fn on_calls(&mut self, first: Call, calls: &mut mpsc::Receiver<Call>) -> Option<End> {
        let mut commands = Vec::new();
        let mut next = Some(first);
        for _ in 0..MAX_BATCH {
            match next {
                Some(Call::Propose { command, reply }) => {
                    commands.push(command);
                    self.proposed.push(reply);
                }
                Some(Call::Read { reply }) => {
                    self.token += 1;
                    self.reads.insert(self.token, reply);
                    let end = self.step(Event::Read { token: self.token });
                    if end.is_some() {
                        return end;
                    }
                }
                Some(Call::Shutdown { reply }) => return Some(End::Shutdown(Some(reply))),
                None => break,
            }
            if !self.config.batching {
                break;
            }
            next = calls.try_recv().ok();
        }
        if commands.is_empty() { None } else { self.step(Event::Propose(commands)) }
    }

    fn step(&mut self, event: Event) -> Option<End> {
        let now = self.shared.clock.now();
        let actions = self.raft.step(now, event);
        self.shared.publish(now, &self.raft);
        let end = self.carry_out(actions);
        self.shared.notify(now, &self.raft);
        self.snapshot_if_due();
        end
    }

    fn carry_out(&mut self, actions: Actions) -> Option<End> {
        for action in actions {
            match action {
                Action::Send(envelope) => self.send_envelope(envelope),
                Action::Write(number, write) => {
                    // Fails only after the thread has reported why it ended.
                    let _ = self.disk.writes.send((number, write));
                }
                Action::Restore(snapshot) => {
                    let restored = self.restore(&snapshot);
                    if restored.is_some() {
                        return restored;
                    }
                }
                Action::Apply(entry) => self.apply(entry),
                Action::Proposed { first_index, term } => {
                    let replies = self.proposed.drain(..);
                    self.pending.extend((first_index..).zip(replies.map(|it| (term, it))));
                }
                Action::ProposalRejected => {
                    let leader = self.raft.leader();
                    for reply in self.proposed.drain(..) {
                        let _ = reply.send(Err(ProposeError::NotLeader { leader }));
                    }
                }
                Action::ReadReady { token, .. } => self.answer_read(token, Ok(())),
                Action::ReadFailed { token } => {
                    let leader = self.raft.leader();
                    self.answer_read(token, Err(ProposeError::NotLeader { leader }));
                }
                Action::SteppedDown => {
                    tracing::info!("replica: {} stopped to lead", self.raft.id());
                    for (_, (_, reply)) in std::mem::take(&mut self.pending) {
                        let _ = reply.send(Err(ProposeError::Unknown));
                    }
                }
            }
        }
        None
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Option<End> {
        let mut state = self.shared.state.write();
        if let Err(err) = state.machine.restore(&snapshot.data) {
            tracing::error!("replica: stopped at entry {}: {err}", snapshot.index);
            return Some(End::Failed);
        }
        state.applied = snapshot.index;
        self.since_snapshot = 0;
        None
    }

    fn apply(&mut self, entry: Entry) {
        let mut state = self.shared.state.write();
        state.applied = entry.index;
        let Payload::Command(command) = entry.payload else { return };
        let answer = state.machine.apply(entry.index, &command);
        drop(state);
        self.since_snapshot += command.len() as u64;
        let Some((term, reply)) = self.pending.remove(&entry.index) else { return };
        // With another term, another leader's command took the place, so this one is void.
        let leader = self.raft.leader();
        let answer =
            if term == entry.term { Ok(answer) } else { Err(ProposeError::NotLeader { leader }) };
        let _ = reply.send(answer);
    }

    fn answer_read(&mut self, token: u64, answer: Result<(), ProposeError>) {
        if let Some(reply) = self.reads.remove(&token) {
            let _ = reply.send(answer);
        }
    }

    /// Encodes the state on another thread once enough was applied.
    fn snapshot_if_due(&mut self) {
        if self.snapshotting || self.since_snapshot < self.config.snapshot_bytes {
            return;
        }
        self.snapshotting = true;
        self.since_snapshot = 0;
        let (shared, inputs) = (self.shared.clone(), self.inputs.clone());
        task::spawn_blocking(move || {
            let state = shared.state.read();
            let (index, data) = (state.applied, Bytes::from(state.machine.snapshot()));
            drop(state);
            let _ = inputs.blocking_send(Input::Snapshot { index, data });
        });
    }

    fn send_envelope(&self, envelope: Envelope) {
        let member = self.raft.members().get(envelope.to).map(|it| it.addr);
        let heard = self.addrs.get(&envelope.to).copied();
        if let Some(addr) = member.or(heard) {
            self.send(addr, Body::Consensus(envelope));
        }
    }

    fn send(&self, to: SocketAddr, body: Body) {
        if let Some(link) = self.links.get(&to) {
            link.send(self.frame(body));
        }
    }

    fn frame(&self, body: Body) -> Frame {
        Frame { from: self.config.addr, body }
    }
}
