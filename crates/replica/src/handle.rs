//! The handle of a running replica.

use {
    crate::{
        config::ReplicaConfig,
        disk,
        driver::{Call, Driver, Input},
        error::{OpenError, ProposeError},
        journal::Journal,
        machine::StateMachine,
        serve,
        shared::{LeaderLease, ReplicaStatus, Shared},
    },
    bytes::Bytes,
    model::ReplicaId,
    quorum::{Action, Payload, Raft},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    store::RealDisk,
    tokio::{
        sync::{mpsc, oneshot, watch},
        task,
        time::timeout,
    },
    wire::{Clock, Dialer, Stream},
};

/// Calls that wait for the driver; more wait in [`Replica::propose`].
const MAX_CALLS: usize = 8_192;

/// Messages and disk answers that wait for the driver; more wait in the streams.
const MAX_INPUTS: usize = 1_024;

/// A running replica; clones are handles to the same one, which stops when the last is dropped.
pub struct Replica<M> {
    shared: Arc<Shared<M>>,
    calls: mpsc::Sender<Call>,
    inputs: mpsc::Sender<Input>,
    /// Whose messages are taken; none: anyone's, as members come and go.
    known: Option<Arc<[SocketAddr]>>,
}

impl<M> Clone for Replica<M> {
    fn clone(&self) -> Replica<M> {
        Replica {
            shared: self.shared.clone(),
            calls: self.calls.clone(),
            inputs: self.inputs.clone(),
            known: self.known.clone(),
        }
    }
}

impl<M> Replica<M>
where
    M: StateMachine,
{
    /// Opens the data folder, replays it into `machine` and starts to take part in the group.
    ///
    /// The state comes back as far as the disk says that it is committed; what follows is applied once a leader has
    /// said how much of it is. A replica without peers leads when this returns.
    ///
    /// # Errors
    ///
    /// The data folder is in use or damaged, or its snapshot is not one of this machine's.
    ///
    /// # Panics
    ///
    /// If called outside of a `tokio` runtime.
    pub async fn open(
        config: ReplicaConfig,
        machine: M,
        dialer: Dialer,
        clock: Clock,
    ) -> Result<Replica<M>, OpenError> {
        let folder = config.folder.clone();
        let fresh = config.fresh_id();
        let opened = task::spawn_blocking(move || Journal::open(RealDisk, &folder, fresh)).await;
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
                    state.applied = snapshot.index;
                }
                Action::Apply(entry) => {
                    state.applied = entry.index;
                    if let Payload::Command(command) = entry.payload {
                        state.machine.apply(entry.index, &command);
                    }
                }
                _ => {}
            }
        }
        tracing::info!(
            "replica: {id} opened at {}, last entry {}",
            raft.commit_index(),
            raft.last_index()
        );
        let (calls, from_handles) = mpsc::channel(MAX_CALLS);
        let (inputs, from_tasks) = mpsc::channel(MAX_INPUTS);
        let disk = disk::spawn(journal, inputs.clone(), config.batching);
        let known = config.seeds.is_none().then(|| Arc::from(config.peers.clone()));
        let alone = config.peers.is_empty();
        let election_ms = config.election_ms;
        let driver = Driver::new(config, raft, shared.clone(), disk, dialer, inputs.clone());
        task::spawn(driver.run(from_handles, from_tasks));
        let replica = Replica { shared, calls, inputs, known };
        if alone {
            replica.lead_alone(Duration::from_millis(election_ms)).await;
        }
        Ok(replica)
    }

    /// Waits until this replica leads, which takes a few writes to disk if it is the only voter.
    async fn lead_alone(&self, limit: Duration) {
        let mut status = self.subscribe();
        let settled = status.wait_for(|it| it.leading_term.is_some() || it.stopped);
        if timeout(limit, settled).await.is_err() {
            tracing::warn!("replica: has no peers, but its data folder names other voters");
        }
    }

    /// This replica's id, drawn when its data folder was made.
    pub fn id(&self) -> ReplicaId {
        self.shared.id
    }

    /// Where a replica of the group listens.
    pub fn addr_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.shared.view.lock().members.get(id).map(|it| it.addr)
    }

    /// Where the replicas of the group listen, by the latest membership that this one knows to be committed.
    pub fn member_addrs(&self) -> Vec<SocketAddr> {
        self.shared.view.lock().members.0.iter().map(|it| it.addr).collect()
    }

    /// Whether a replica counts towards a quorum, by the latest membership that this one knows to be committed.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.shared.view.lock().members.is_voter(id)
    }

    /// Commits a command and returns the machine's reply to it.
    ///
    /// # Errors
    ///
    /// This replica does not lead, or lost its lead before the outcome was known.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (reply, answer) = oneshot::channel();
        let call = Call::Propose { command: Bytes::from(command), reply };
        if self.calls.send(call).await.is_err() {
            return Err(ProposeError::NotLeader { leader: None });
        }
        answer.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Returns once this replica is known to lead and has applied all that was committed: what [`Replica::with`]
    /// shows then is at least as new as everything acknowledged before this call.
    ///
    /// # Errors
    ///
    /// This replica does not lead, or lost its lead meanwhile.
    pub async fn read_barrier(&self) -> Result<(), ProposeError> {
        let (reply, answer) = oneshot::channel();
        if self.calls.send(Call::Read { reply }).await.is_err() {
            return Err(ProposeError::NotLeader { leader: None });
        }
        answer.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Gives access to the machine's state as applied here, however old it is; holds off the next command meanwhile.
    pub fn with<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&M) -> R,
    {
        read(&self.shared.state.read().machine)
    }

    /// Returns the leadership if this replica leads, has applied all that earlier leaders committed, and its lease
    /// has not ended.
    pub fn leader_lease(&self) -> Option<LeaderLease> {
        let lease = self.shared.view.lock().lease;
        lease.filter(|it| self.shared.clock.now() < it.expires_at)
    }

    /// The replica that leads, as far as this one knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.shared.status.borrow().leader
    }

    /// Watches what is applied here and who leads.
    pub fn subscribe(&self) -> watch::Receiver<ReplicaStatus> {
        self.shared.status.subscribe()
    }

    /// Takes over a stream that another replica opened for [`wire::msg::REPLICA_PATH`].
    ///
    /// # Panics
    ///
    /// If called outside of a `tokio` runtime.
    pub fn handle_stream(&self, stream: Stream) {
        task::spawn(serve::receive(stream, self.known.clone(), self.inputs.clone()));
    }

    /// Stops taking part, syncs what was written, and releases the data folder.
    pub async fn shutdown(&self) {
        let (reply, answer) = oneshot::channel();
        if self.calls.send(Call::Shutdown { reply }).await.is_ok() {
            let _ = answer.await;
        }
    }
}
