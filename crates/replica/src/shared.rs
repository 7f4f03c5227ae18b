//! The state that the handles of a replica share with its driver task.

use {
    crate::{machine::StateMachine, protocols::Protocols},
    derive_more::Debug,
    model::{ReplicaId, Term, Time},
    parking_lot::{Mutex, RwLock},
    quorum::{Membership, Raft},
    tokio::sync::watch,
    wire::Clock,
};

/// A valid lease of this replica as leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderLease {
    /// The term that this replica leads.
    pub term: Term,
    /// The time until which no other replica can lead; later if the lease is renewed.
    pub expires_at: Time,
}

/// The status of a replica.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct ReplicaStatus {
    /// The index of the last entry applied here.
    pub applied_index: u64,
    /// The term that this replica leads, if it is the leader. This may lag by up to a heartbeat interval, unlike
    /// [`crate::Replica::leader_lease`].
    pub leading_term: Option<Term>,
    /// The current leader, as far as this replica knows.
    pub leader: Option<ReplicaId>,
    /// Whether this replica has stopped for good: it was shut down, its data folder is damaged, or its state machine
    /// failed.
    pub stopped: bool,
}

/// The shared state. Lock order: `state` before `view`; neither is held across an await.
pub(crate) struct Shared<M> {
    pub(crate) id: ReplicaId,
    pub(crate) clock: Clock,
    pub(crate) state: RwLock<AppliedState<M>>,
    pub(crate) view: Mutex<ConsensusView>,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) protocols: Protocols,
}

/// The state machine and the index of the last entry applied to it.
pub(crate) struct AppliedState<M> {
    pub(crate) machine: M,
    pub(crate) applied_index: u64,
}

/// The lease and the membership that the consensus last reported.
#[derive(Default)]
pub(crate) struct ConsensusView {
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
            state: RwLock::new(AppliedState { machine, applied_index: 0 }),
            view: Mutex::default(),
            status: watch::Sender::default(),
            protocols: Protocols::default(),
        }
    }

    /// Publishes the lease and the membership. Must be called before the messages of the same step are sent, as they
    /// may let another replica become leader.
    pub(crate) fn publish(&self, now: Time, raft: &Raft) {
        let lease = raft.leader_lease(now);
        let mut view = self.view.lock();
        view.lease = lease.map(|(term, expires_at)| LeaderLease { term, expires_at });
        if view.members != *raft.committed_members() {
            tracing::info!(
                event = "members-committed",
                members = %raft.committed_members(),
                "replica: {} knows another membership",
                self.id
            );
            view.members = raft.committed_members().clone();
        }
    }

    /// Notifies the subscribers if the status changed.
    pub(crate) fn notify(&self, now: Time, raft: &Raft) {
        let applied_index = self.state.read().applied_index;
        let leading_term = raft.leader_lease(now).map(|it| it.0);
        let new =
            ReplicaStatus { applied_index, leading_term, leader: raft.leader(), stopped: false };
        let previous = self.status.borrow().leader;
        if previous != new.leader {
            tracing::info!(
                event = "leader-changed",
                leader = new.leader.map(|it| it.0),
                term = raft.hard_state().term.0,
                applied_index,
                "replica: {} follows another leader or none",
                self.id
            );
        }
        self.status.send_if_modified(|it| std::mem::replace(it, new) != new);
    }

    /// Reports that this replica takes no part in the group until its data folder is open again.
    pub(crate) fn suspend(&self) {
        self.leave_group(false);
    }

    /// Reports that this replica has stopped for good.
    pub(crate) fn stop(&self) {
        self.leave_group(true);
    }

    fn leave_group(&self, stopped: bool) {
        self.view.lock().lease = None;
        let applied_index = self.state.read().applied_index;
        let status = ReplicaStatus { applied_index, stopped, ..ReplicaStatus::default() };
        self.status.send_replace(status);
    }
}
