//! What the handles of a replica share with the task that drives it.

use {
    crate::machine::StateMachine,
    derive_more::Debug,
    model::{ReplicaId, Term, Time},
    parking_lot::{Mutex, RwLock},
    quorum::{Membership, Raft},
    tokio::sync::watch,
    wire::Clock,
};

/// A leadership that holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderLease {
    /// The term that this replica leads.
    pub term: Term,
    /// Until when no other replica can lead, unless the lease is renewed.
    pub expires_at: Time,
}

/// How far a replica is.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct ReplicaStatus {
    /// The index of the last command applied here.
    pub applied_index: u64,
    /// The term that this replica leads, if it does; up to a heartbeat interval late, unlike
    /// [`crate::Replica::leader_lease`].
    pub leading_term: Option<Term>,
    /// The replica that leads, as far as this one knows.
    pub leader: Option<ReplicaId>,
    /// Whether this replica has stopped for good: it was shut down, or its disk or its machine failed.
    pub stopped: bool,
}

/// Shared tables. Lock order: `state` before `view`; neither is held across an await.
pub(crate) struct Shared<M> {
    pub(crate) id: ReplicaId,
    pub(crate) clock: Clock,
    pub(crate) state: RwLock<State<M>>,
    pub(crate) view: Mutex<View>,
    pub(crate) status: watch::Sender<ReplicaStatus>,
}

/// The machine and the index that it is at.
pub(crate) struct State<M> {
    pub(crate) machine: M,
    pub(crate) applied: u64,
}

/// What the consensus last said.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) lease: Option<LeaderLease>,
    pub(crate) members: Membership,
}

impl<M> Shared<M>
where
    M: StateMachine,
{
    pub(crate) fn new(id: ReplicaId, clock: Clock, machine: M) -> Shared<M> {
        Shared {
            id,
            clock,
            state: RwLock::new(State { machine, applied: 0 }),
            view: Mutex::default(),
            status: watch::Sender::default(),
        }
    }

    /// Makes the lease and the membership known; before anything that another leader could follow from is sent.
    pub(crate) fn publish(&self, now: Time, raft: &Raft) {
        let lease = raft.leader_lease(now);
        let mut view = self.view.lock();
        view.lease = lease.map(|(term, expires_at)| LeaderLease { term, expires_at });
        if view.members != *raft.committed_members() {
            view.members = raft.committed_members().clone();
        }
    }

    /// Wakes those who watch, if anything changed.
    pub(crate) fn notify(&self, now: Time, raft: &Raft) {
        let applied_index = self.state.read().applied;
        let leading_term = raft.leader_lease(now).map(|it| it.0);
        let new =
            ReplicaStatus { applied_index, leading_term, leader: raft.leader(), stopped: false };
        self.status.send_if_modified(|it| std::mem::replace(it, new) != new);
    }

    pub(crate) fn stop(&self) {
        self.view.lock().lease = None;
        let applied_index = self.state.read().applied;
        self.status.send_replace(ReplicaStatus {
            applied_index,
            stopped: true,
            ..ReplicaStatus::default()
        });
    }
}
