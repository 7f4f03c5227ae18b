//! The handle to a running replica.

use {
    crate::{
        config::ReplicaConfig,
        disk,
        driver::{Driver, Input, Request},
        error::{OpenError, ProposeError},
        journal::Journal,
        machine::StateMachine,
        serve,
        shared::{LeaderLease, ReplicaStatus, Shared},
    },
    bytes::Bytes,
    model::ReplicaId,
    quorum::{Action, MemberRole, Payload, Raft},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    store::OsFileSystem,
    tokio::{
        sync::{mpsc, oneshot, watch},
        task,
        time::timeout,
    },
    wire::{Clock, Dialer, Stream},
};

/// The maximum number of requests queued for the driver; further callers wait in [`Replica::propose`].
const MAX_QUEUED_REQUESTS: usize = 8_192;

/// The maximum number of messages and disk results queued for the driver; further messages wait in their streams.
const MAX_QUEUED_INPUTS: usize = 1_024;

/// A handle to a running replica. Clones refer to the same replica, which stops when the last one is dropped.
pub struct Replica<M> {
    shared: Arc<Shared<M>>,
    requests: mpsc::Sender<Request>,
    inputs: mpsc::Sender<Input>,
    /// The addresses from which messages are accepted; `None` accepts all, as the membership changes over time.
    allowed_senders: Option<Arc<[SocketAddr]>>,
}

impl<M> Clone for Replica<M> {
    fn clone(&self) -> Replica<M> {
        Replica {
            shared: self.shared.clone(),
            requests: self.requests.clone(),
            inputs: self.inputs.clone(),
            allowed_senders: self.allowed_senders.clone(),
        }
    }
}

impl<M> Replica<M>
where
    M: StateMachine,
{
    /// Opens the data folder, replays it into `machine` and starts to participate in the group.
    ///
    /// The state is restored up to the commit index on disk. Later entries are applied once a leader has confirmed that
    /// they are committed. A replica without peers is the leader when this returns.
    ///
    /// # Errors
    ///
    /// The data folder is in use or damaged, or `machine` cannot restore its snapshot.
    ///
    /// # Panics
    ///
    /// Panics if called outside of a `tokio` runtime.
    pub async fn open(
        config: ReplicaConfig,
        machine: M,
        dialer: Dialer,
        clock: Clock,
    ) -> Result<Replica<M>, OpenError> {
        let folder = config.folder.clone();
        let new_id = config.new_id();
        let opened =
            task::spawn_blocking(move || Journal::open(OsFileSystem, &folder, new_id)).await;
        let (journal, durable) = opened.map_err(|_| OpenError::Cancelled)??;
        let id = journal.id();
        let now = clock.now();
        let (raft, actions) = Raft::open(now, config.consensus(), id, durable, rand::random());
        let shared = Arc::new(Shared::new(id, clock, machine));
        for action in actions {
            let mut state = shared.state.write();
            match action {
                Action::Restore(snapshot) => {
                    state.machine.restore(&snapshot.data)?;
                    state.applied_index = snapshot.index;
                }
                Action::Apply(entry) => {
                    state.applied_index = entry.index;
                    if let Payload::Command(command) = entry.payload {
                        state.machine.apply(entry.index, &command);
                    }
                }
                _ => {}
            }
        }
        shared.publish(now, &raft);
        tracing::info!(
            "replica: {id} opened, commit index {}, last index {}",
            raft.commit_index(),
            raft.last_index()
        );
        let (requests, request_queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let (inputs, input_queue) = mpsc::channel(MAX_QUEUED_INPUTS);
        let disk = disk::spawn(journal, inputs.clone(), config.batching);
        let allowed_senders = config.seeds.is_none().then(|| Arc::from(config.peers.clone()));
        let is_single = config.peers.is_empty();
        let election_ms = config.election_ms;
        let driver = Driver::new(config, raft, shared.clone(), disk, dialer, inputs.clone());
        task::spawn(supervise(driver.run(request_queue, input_queue), shared.clone()));
        let replica = Replica { shared, requests, inputs, allowed_senders };
        if is_single {
            replica.wait_until_leading(Duration::from_millis(election_ms)).await;
        }
        Ok(replica)
    }

    /// Waits until this replica leads, which takes only a few disk writes if it is the only voter.
    async fn wait_until_leading(&self, limit: Duration) {
        let mut status = self.subscribe();
        let settled = status.wait_for(|it| it.leading_term.is_some() || it.stopped);
        if timeout(limit, settled).await.is_err() {
            tracing::warn!(
                "replica: no peers are configured, but the data folder lists other voters"
            );
        }
    }

    /// The id of this replica, chosen when its data folder was initialized.
    pub fn id(&self) -> ReplicaId {
        self.shared.id
    }

    /// The address that a replica of the group listens on.
    pub fn addr_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.shared.view.lock().members.get(id).map(|it| it.addr)
    }

    /// The addresses of the replicas of the group, by the latest membership known to be committed.
    pub fn member_addrs(&self) -> Vec<SocketAddr> {
        self.shared.view.lock().members.0.iter().map(|it| it.addr).collect()
    }

    /// Whether a replica counts towards each quorum, by the latest membership known to be committed. A voter that is
    /// being replaced and its successor count only towards one of two majorities.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        let view = self.shared.view.lock();
        view.members.get(id).is_some_and(|it| it.role == MemberRole::Voter)
    }

    /// The numbers of the protocols that the other replicas of the group said to speak when a stream to or from them was
    /// last opened, in this process; `None` for each that had none.
    pub fn member_protocols(&self) -> Vec<Option<u32>> {
        let view = self.shared.view.lock();
        let others = view.members.0.iter().filter(|it| it.id != self.shared.id);
        others.map(|it| self.shared.protocols.get(it.addr)).collect()
    }

    /// Commits a command and returns the state machine's reply.
    ///
    /// # Errors
    ///
    /// This replica is not the leader, or lost leadership or stopped before the outcome was known.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Propose { command: Bytes::from(command), reply };
        if self.requests.send(request).await.is_err() {
            return Err(ProposeError::NotLeader { leader: None });
        }
        answer.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Makes a following read linearizable. Returns once this replica has proof that it leads and has applied all
    /// committed entries: the state that [`Replica::with`] then shows includes everything acknowledged before this
    /// call.
    ///
    /// # Errors
    ///
    /// This replica is not the leader, or lost leadership or stopped in the meantime.
    pub async fn read_barrier(&self) -> Result<(), ProposeError> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Read { reply }).await.is_err() {
            return Err(ProposeError::NotLeader { leader: None });
        }
        answer.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Reads the state as applied here, however old it is. No command is applied while `read` runs.
    pub fn with<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&M) -> R,
    {
        read(&self.shared.state.read().machine)
    }

    /// The lease of this replica, if it is the leader, has applied all entries that earlier leaders committed, and the
    /// lease has not expired.
    pub fn leader_lease(&self) -> Option<LeaderLease> {
        let lease = self.shared.view.lock().lease;
        lease.filter(|it| self.shared.clock.now() < it.expires_at)
    }

    /// The current leader, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.shared.status.borrow().leader
    }

    /// Subscribes to changes of the status of this replica.
    pub fn subscribe(&self) -> watch::Receiver<ReplicaStatus> {
        self.shared.status.subscribe()
    }

    /// Receives messages on a stream that another replica opened for [`wire::msg::REPLICA_PATH`].
    ///
    /// # Panics
    ///
    /// Panics if called outside of a `tokio` runtime.
    pub fn handle_stream(&self, stream: Stream) {
        let (allowed, inputs) = (self.allowed_senders.clone(), self.inputs.clone());
        task::spawn(serve::receive(stream, allowed, inputs, self.shared.protocols.clone()));
    }

    /// Replaces the addresses through which this replica finds its group if it is not a member or hears from no leader.
    ///
    /// A replica that was not opened with [`ReplicaConfig::from_seeds`] must not be given other addresses.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        // Fails only after the replica has stopped.
        let _ = self.requests.send(Request::SetSeeds(seeds)).await;
    }

    /// Stops the replica, syncs all writes and releases the data folder.
    pub async fn shutdown(&self) {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Shutdown { reply }).await.is_ok() {
            let _ = answer.await;
        }
    }
}

/// Runs a driver, and reports that the replica has stopped if it panics.
async fn supervise<M, F>(driver: F, shared: Arc<Shared<M>>)
where
    M: StateMachine,
    F: Future<Output = ()> + Send + 'static,
{
    if let Err(err) = task::spawn(driver).await {
        tracing::error!("replica: {} stopped: {err}", shared.id);
        shared.stop();
    }
}
