//! The task that runs the consensus.

use {
    crate::{
        bootstrap::Bootstrap,
        config::{ReplicaConfig, bootstrap_group_id},
        disk::DiskThread,
        error::ProposeError,
        link::{Body, Frame, Link},
        machine::StateMachine,
        reopen::report_failure,
        shared::Shared,
    },
    bytes::Bytes,
    model::{MILLISECOND, ReplicaId, Term, Time},
    quorum::{
        Action, Actions, Entry, Envelope, Event, Member, MemberRole, Membership, Message, Payload,
        Raft, Snapshot, WaitReason,
    },
    smallvec::SmallVec,
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

/// The maximum number of requests that are handled in one step.
const MAX_REQUEST_BATCH: usize = 1_024;

/// How long a replica that shuts down waits until another one has its vote, in milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 3_000;

/// The protocol that introduced [`Message::LeaveRequest`].
const LEAVE_PROTOCOL: u32 = 2;

/// The shortest interval between log lines on members that wait for a vote, in microseconds.
const WAITING_LOG_INTERVAL: u64 = 1_000 * MILLISECOND;

/// A request from a handle.
pub(crate) enum Request {
    Propose { command: Bytes, reply: Reply<Vec<u8>> },
    Read { reply: Reply<()> },
    SetSeeds(Vec<SocketAddr>),
    Shutdown { reply: oneshot::Sender<()> },
}

/// An event reported by another task or thread.
pub(crate) enum Input {
    Frame(Frame),
    Synced(u64),
    DiskFailed(StoreError),
    Snapshot { index: u64, data: Bytes },
}

pub(crate) type Reply<T> = oneshot::Sender<Result<T, ProposeError>>;

/// The reason why the consensus ends.
pub(crate) enum Exit {
    /// The disk thread failed; the data folder must be opened again.
    DiskFailed,
    /// The state machine failed or the data folder is damaged.
    Failed,
    Shutdown(Option<oneshot::Sender<()>>),
}

/// A shutdown that waits until another replica has the vote of this one.
struct Handover {
    deadline: Time,
    reply: oneshot::Sender<()>,
}

pub(crate) struct Driver<M> {
    pub(crate) config: ReplicaConfig,
    pub(crate) raft: Raft,
    pub(crate) shared: Arc<Shared<M>>,
    pub(crate) disk: DiskThread,
    dialer: Dialer,
    links: BTreeMap<SocketAddr, Link>,
    /// The addresses of the replicas from which messages arrived.
    sender_addrs: BTreeMap<ReplicaId, SocketAddr>,
    bootstrap: Bootstrap,
    /// When to try again to join or bootstrap a group.
    next_join_at: Time,
    pub(crate) inputs: mpsc::Sender<Input>,
    /// The reply channels of the commands that are being proposed.
    pub(crate) proposed_replies: Vec<Reply<Vec<u8>>>,
    pub(crate) pending_proposals: BTreeMap<u64, (Term, Reply<Vec<u8>>)>,
    pub(crate) pending_reads: BTreeMap<u64, Reply<()>>,
    last_token: u64,
    /// The size of the commands applied since the last snapshot.
    bytes_since_snapshot: u64,
    /// The size of the last snapshot.
    snapshot_bytes: u64,
    pub(crate) snapshot_pending: bool,
    /// The members without a vote, as last logged.
    waiting_members: SmallVec<[(ReplicaId, WaitReason); 2]>,
    next_waiting_log: Time,
    handover: Option<Handover>,
}

impl<M> Driver<M>
where
    M: StateMachine,
{
    pub(crate) fn new(
        config: ReplicaConfig,
        raft: Raft,
        shared: Arc<Shared<M>>,
        disk: DiskThread,
        dialer: Dialer,
        inputs: mpsc::Sender<Input>,
    ) -> Driver<M> {
        let mut driver = Driver {
            links: BTreeMap::new(),
            dialer,
            bootstrap: Bootstrap::new(config.addr, config.peers.clone()),
            config,
            raft,
            shared,
            disk,
            sender_addrs: BTreeMap::new(),
            next_join_at: Time::default(),
            inputs,
            proposed_replies: Vec::new(),
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            last_token: 0,
            bytes_since_snapshot: 0,
            snapshot_bytes: 0,
            snapshot_pending: false,
            waiting_members: SmallVec::new(),
            next_waiting_log: Time::default(),
            handover: None,
        };
        driver.update_links();
        driver
    }

    /// Opens links to all known replicas and closes all others.
    fn update_links(&mut self) {
        let members = self.raft.members().0.iter().map(|it| it.addr);
        let known = self.config.peers.iter().copied().chain(members);
        let known = known.chain(self.sender_addrs.values().copied());
        let wanted: BTreeSet<_> = known.filter(|it| *it != self.config.addr).collect();
        self.links.retain(|it, _| wanted.contains(it));
        let ack_timeout = Duration::from_millis(self.config.election_ms / 2);
        for addr in wanted {
            let protocols = self.shared.protocols.clone();
            let spawn = || Link::spawn(addr, self.dialer.clone(), ack_timeout, protocols);
            self.links.entry(addr).or_insert_with(spawn);
        }
    }

    pub(crate) async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
        mut inputs: mpsc::Receiver<Input>,
    ) {
        let exit = loop {
            let exit = match self.serve(&mut requests, &mut inputs).await {
                Exit::DiskFailed => self.reopen(&mut requests, &mut inputs).await,
                exit => Some(exit),
            };
            if let Some(exit) = exit {
                break exit;
            }
        };
        requests.close();
        drop(inputs);
        self.shared.stop();
        self.drop_pending();
        if let Some(handle) = self.disk.close() {
            let _ = handle.await;
        }
        if let Exit::Shutdown(Some(reply)) = exit {
            let _ = reply.send(());
        }
    }

    /// Runs the consensus until it ends.
    async fn serve(
        &mut self,
        requests: &mut mpsc::Receiver<Request>,
        inputs: &mut mpsc::Receiver<Input>,
    ) -> Exit {
        loop {
            let deadline = self.raft.deadline().min(self.next_join_at);
            let exit = tokio::select! {
                input = inputs.recv() => input.and_then(|it| self.on_input(it)),
                request = requests.recv() => match request {
                    Some(request) => self.on_requests(request, requests),
                    None => Some(Exit::Shutdown(None)),
                },
                () = sleep_until(self.shared.clock.deadline(deadline)) => self.on_timer(),
                () = self.disk.ended() => Some(Exit::DiskFailed),
            };
            if let Some(exit) = exit {
                return exit;
            }
        }
    }

    fn on_timer(&mut self) -> Option<Exit> {
        let now = self.shared.clock.now();
        if now >= self.next_join_at {
            self.next_join_at = now + self.config.heartbeat_ms * MILLISECOND;
            self.update_links();
            let exit = match &self.handover {
                Some(handover) if now >= handover.deadline => self.end_handover(),
                Some(_) => self.step(Event::Leave),
                None => self.join_or_bootstrap(now),
            };
            if exit.is_some() {
                return exit;
            }
        }
        if now >= self.raft.deadline() { self.step(Event::Tick) } else { None }
    }

    /// Asks to join the group, or bootstraps one, if this replica is not part of a group.
    fn join_or_bootstrap(&mut self, now: Time) -> Option<Exit> {
        if !self.raft.should_request_join(now) {
            return None;
        }
        if let Some(members) =
            self.config.initial_members().filter(|_| self.raft.is_uninitialized())
        {
            let group = bootstrap_group_id(&members);
            tracing::info!("replica: {} bootstraps group {group:x} from the seeds", self.raft.id());
            return self.step(Event::Bootstrap { group, members });
        }
        if self.config.seeds.is_none()
            && self.raft.is_uninitialized()
            && let Some(round) = self.bootstrap.start_round()
        {
            self.links
                .values()
                .for_each(|it| it.send(self.frame(Body::QueryUninitialized { round })));
        }
        let (group, id) = (self.raft.hard_state().group, self.raft.id());
        let message = Message::JoinRequest { addr: self.config.addr };
        let join = Envelope { group, from: id, to: id, term: Term(0), message };
        let frame = self.frame(Body::Consensus(join));
        self.links.values().for_each(|it| it.send(frame.clone()));
        self.bootstrap_if_allowed()
    }

    fn bootstrap_if_allowed(&mut self) -> Option<Exit> {
        if self.config.seeds.is_some()
            || !self.raft.is_uninitialized()
            || !self.bootstrap.may_bootstrap()
        {
            return None;
        }
        let group = rand::random_range(1..=u64::MAX);
        tracing::info!("replica: {} bootstraps group {group:x}", self.raft.id());
        let member = Member { id: self.raft.id(), addr: self.config.addr, role: MemberRole::Voter };
        self.step(Event::Bootstrap { group, members: Membership([member].into()) })
    }

    fn on_input(&mut self, input: Input) -> Option<Exit> {
        match input {
            Input::Frame(frame) => self.on_frame(frame),
            Input::Synced(up_to) => self.step(Event::Synced(up_to)),
            Input::DiskFailed(err) => {
                report_failure(&err);
                Some(Exit::DiskFailed)
            }
            Input::Snapshot { index, data } => {
                self.snapshot_pending = false;
                self.snapshot_bytes = data.len() as u64;
                self.step(Event::Snapshot { index, data })
            }
        }
    }

    fn on_frame(&mut self, frame: Frame) -> Option<Exit> {
        let Frame { from, body } = frame;
        match body {
            Body::Consensus(envelope) => {
                // Another replica may have forwarded the request.
                let addr = match envelope.message {
                    Message::JoinRequest { addr } => addr,
                    _ => from,
                };
                self.sender_addrs.insert(envelope.from, addr);
                self.step(Event::Received(envelope))
            }
            Body::QueryUninitialized { round } => {
                let uninitialized = self.raft.is_uninitialized();
                self.send(from, Body::UninitializedReply { round, uninitialized });
                None
            }
            Body::UninitializedReply { round, uninitialized } => {
                self.bootstrap.record_reply(from, round, uninitialized);
                self.bootstrap_if_allowed()
            }
        }
    }

    /// Handles a request and those queued behind it; all commands among them are proposed together.
    fn on_requests(
        &mut self,
        first: Request,
        requests: &mut mpsc::Receiver<Request>,
    ) -> Option<Exit> {
        let mut commands = Vec::new();
        let mut next = Some(first);
        for _ in 0..MAX_REQUEST_BATCH {
            match next {
                Some(Request::Propose { command, reply }) => {
                    commands.push(command);
                    self.proposed_replies.push(reply);
                }
                Some(Request::Read { reply }) => {
                    self.last_token += 1;
                    self.pending_reads.insert(self.last_token, reply);
                    let exit = self.step(Event::Read { token: self.last_token });
                    if exit.is_some() {
                        return exit;
                    }
                }
                Some(Request::SetSeeds(seeds)) => self.set_seeds(seeds),
                Some(Request::Shutdown { reply }) => return self.shut_down(reply),
                None => break,
            }
            if !self.config.batching {
                break;
            }
            next = requests.try_recv().ok();
        }
        if commands.is_empty() { None } else { self.step(Event::Propose(commands)) }
    }

    /// Replaces the addresses through which this replica finds its group. Which members it may bootstrap a group with
    /// stays as it is.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.config.peers = seeds.into_iter().filter(|it| *it != self.config.addr).collect();
        self.update_links();
    }

    fn step(&mut self, event: Event) -> Option<Exit> {
        let now = self.shared.clock.now();
        let actions = self.raft.step(now, event);
        self.shared.publish(now, &self.raft);
        let exit = self.execute(actions);
        self.shared.notify(now, &self.raft);
        self.log_waiting_members(now);
        self.snapshot_if_due();
        if exit.is_none() && self.raft.has_left() { self.end_handover() } else { exit }
    }

    /// Stops, or first asks the leader to give the vote of this replica to another one that has none.
    fn shut_down(&mut self, reply: oneshot::Sender<()>) -> Option<Exit> {
        let leader = self.raft.leader().and_then(|it| self.raft.members().get(it));
        let is_asked = leader.is_none_or(|it| self.knows_leave(it.addr));
        if self.handover.is_some() || !self.raft.has_successor() || !is_asked {
            return Some(Exit::Shutdown(Some(reply)));
        }
        let deadline = self.shared.clock.now() + HANDOVER_TIMEOUT_MS * MILLISECOND;
        tracing::info!(event = "handover", "replica: {} hands over its vote", self.raft.id());
        self.handover = Some(Handover { deadline, reply });
        self.step(Event::Leave)
    }

    fn end_handover(&mut self) -> Option<Exit> {
        let handover = self.handover.take()?;
        let has_vote = !self.raft.has_left();
        tracing::info!(event = "handover-ended", has_vote, "replica: {} stops", self.raft.id());
        Some(Exit::Shutdown(Some(handover.reply)))
    }

    /// Whether the replica at an address can decode [`Message::LeaveRequest`].
    fn knows_leave(&self, addr: SocketAddr) -> bool {
        addr == self.config.addr
            || self.shared.protocols.get(addr).is_some_and(|it| it >= LEAVE_PROTOCOL)
    }

    fn log_waiting_members(&mut self, now: Time) {
        if now < self.next_waiting_log {
            return;
        }
        self.next_waiting_log = now + WAITING_LOG_INTERVAL;
        let waiting = self.raft.waiting_members(now);
        if waiting == self.waiting_members {
            return;
        }
        for (id, reason) in waiting.iter().filter(|it| !self.waiting_members.contains(it)) {
            tracing::info!(
                event = "member-waits",
                member = id.0,
                %reason,
                "replica: a member has no vote yet"
            );
        }
        self.waiting_members = waiting;
    }

    pub(crate) fn execute(&mut self, actions: Actions) -> Option<Exit> {
        for action in actions {
            match action {
                Action::Send(envelope) => self.send_envelope(envelope),
                Action::Write(number, write) => {
                    // Fails only after the disk thread has ended, and it reports the reason before that.
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
                    let replies = self.proposed_replies.drain(..);
                    self.pending_proposals
                        .extend((first_index..).zip(replies.map(|it| (term, it))));
                }
                Action::ProposalRejected => {
                    let leader = self.raft.leader();
                    for reply in self.proposed_replies.drain(..) {
                        let _ = reply.send(Err(ProposeError::NotLeader { leader }));
                    }
                }
                Action::ReadReady { token, .. } => self.complete_read(token, Ok(())),
                Action::ReadFailed { token } => {
                    let leader = self.raft.leader();
                    self.complete_read(token, Err(ProposeError::NotLeader { leader }));
                }
                Action::MemberChange(change) => {
                    tracing::info!(
                        event = "member-change",
                        index = self.raft.last_index(),
                        "replica: the leader {change}"
                    );
                }
                Action::VoterLost(id) => {
                    tracing::info!(
                        event = "voter-lost",
                        member = id.0,
                        "replica: another replica uses the address of a voter"
                    );
                }
                Action::SteppedDown => {
                    tracing::info!("replica: {} stepped down as leader", self.raft.id());
                    for (_, (_, reply)) in std::mem::take(&mut self.pending_proposals) {
                        let _ = reply.send(Err(ProposeError::Unknown));
                    }
                }
            }
        }
        None
    }

    /// Tells the callers of all pending requests that the outcome is unknown.
    pub(crate) fn drop_pending(&mut self) {
        self.proposed_replies.clear();
        self.pending_proposals.clear();
        self.pending_reads.clear();
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Option<Exit> {
        let mut state = self.shared.state.write();
        // Committed entries never change, so a state that was kept across a disk failure includes the snapshot.
        if snapshot.index <= state.applied_index {
            return None;
        }
        if let Err(err) = state.machine.restore(&snapshot.data) {
            tracing::error!("replica: stopped at snapshot index {}: {err}", snapshot.index);
            return Some(Exit::Failed);
        }
        state.applied_index = snapshot.index;
        self.bytes_since_snapshot = 0;
        self.snapshot_bytes = snapshot.data.len() as u64;
        None
    }

    fn apply(&mut self, entry: Entry) {
        let mut state = self.shared.state.write();
        // Already applied before the consensus was restarted after a disk failure.
        if entry.index <= state.applied_index {
            return;
        }
        state.applied_index = entry.index;
        let Payload::Command(command) = entry.payload else { return };
        let answer = state.machine.apply(entry.index, &command);
        drop(state);
        self.bytes_since_snapshot += command.len() as u64;
        let Some((term, reply)) = self.pending_proposals.remove(&entry.index) else { return };
        // If the terms differ, another leader's command was committed at this index, so this one never will be.
        let leader = self.raft.leader();
        let answer =
            if term == entry.term { Ok(answer) } else { Err(ProposeError::NotLeader { leader }) };
        let _ = reply.send(answer);
    }

    fn complete_read(&mut self, token: u64, answer: Result<(), ProposeError>) {
        if let Some(reply) = self.pending_reads.remove(&token) {
            let _ = reply.send(answer);
        }
    }

    /// Encodes the state on another thread once enough commands were applied since the last snapshot. They are at
    /// least as large as that snapshot, so that a large state is not written for every few commands.
    fn snapshot_if_due(&mut self) {
        let due_bytes = self.config.snapshot_bytes.max(self.snapshot_bytes);
        if self.snapshot_pending || self.bytes_since_snapshot < due_bytes {
            return;
        }
        self.snapshot_pending = true;
        self.bytes_since_snapshot = 0;
        let (shared, inputs) = (self.shared.clone(), self.inputs.clone());
        task::spawn_blocking(move || {
            let state = shared.state.read();
            let (index, data) = (state.applied_index, Bytes::from(state.machine.snapshot()));
            drop(state);
            let _ = inputs.blocking_send(Input::Snapshot { index, data });
        });
    }

    fn send_envelope(&self, envelope: Envelope) {
        let member = self.raft.members().get(envelope.to).map(|it| it.addr);
        let sender = self.sender_addrs.get(&envelope.to).copied();
        let Some(addr) = member.or(sender) else { return };
        if !matches!(envelope.message, Message::LeaveRequest) || self.knows_leave(addr) {
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
