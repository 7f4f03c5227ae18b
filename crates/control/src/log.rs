//! The replicated log as the rest of the process sees it.
//!
//! This one keeps the state of a single replica in memory.

use {
    crate::{
        command::{Command, Output},
        state::State,
    },
    derive_more::{Debug, Display, Error},
    parking_lot::RwLock,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
    },
    tokio::sync::watch,
};

/// Where the leader can be reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct LeaderAddr {
    /// For replicas and routers.
    pub(crate) inner: SocketAddr,
    /// For operators.
    pub(crate) admin: SocketAddr,
}

/// A command was not committed, as far as this replica knows.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub(crate) enum NotCommitted {
    /// This replica does not lead; the command was not proposed.
    #[display("this replica does not lead")]
    NotLeader,
}

/// The replicated log and the state that it leads to.
pub(crate) struct Log {
    state: RwLock<State>,
    applied: watch::Sender<u64>,
    own: LeaderAddr,
    stopped: AtomicBool,
}

impl Log {
    /// Starts with an empty state.
    pub(crate) fn open(own: LeaderAddr) -> Log {
        Log {
            state: RwLock::default(),
            applied: watch::Sender::new(0),
            own,
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns once a command is committed and applied.
    pub(crate) async fn propose(&self, command: Command) -> Result<Output, NotCommitted> {
        if !self.leads() {
            return Err(NotCommitted::NotLeader);
        }
        let output = self.state.write().apply(command);
        self.applied.send_modify(|it| *it += 1);
        Ok(output)
    }

    /// Reads the state as applied here.
    pub(crate) fn with<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&State) -> T,
    {
        read(&self.state.read())
    }

    /// Whether this replica leads and its lease holds.
    pub(crate) fn leads(&self) -> bool {
        !self.stopped.load(Ordering::Acquire)
    }

    /// Takes nothing more.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.applied.send_modify(|it| *it += 1);
    }

    /// Where the leader is, as far as it is known.
    pub(crate) fn leader(&self) -> Option<LeaderAddr> {
        Some(self.own)
    }

    /// Changes whenever a command was applied or the leader changed.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }
}
