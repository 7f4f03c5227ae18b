//! Errors of opening a replica and of proposing a command.

use {
    crate::machine::RestoreError,
    derive_more::{Debug, Display, Error, From},
    model::ReplicaId,
    store::StoreError,
};

/// An error from opening a replica.
#[derive(Debug, Display, Error, From)]
pub enum OpenError {
    /// The data folder cannot be used.
    #[display("open data folder: {_0}")]
    Store(StoreError),
    /// The state machine cannot restore the snapshot in the data folder.
    #[display("open replica: {_0}")]
    Restore(RestoreError),
    /// The runtime is shutting down.
    #[display("open replica: cancelled")]
    Cancelled,
}

/// An error from proposing a command or requesting a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ProposeError {
    /// This replica is not the leader; the command was not and will not be applied.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The current leader, as far as this replica knows.
        #[error(not(source))]
        leader: Option<ReplicaId>,
    },
    /// The replica lost leadership or stopped before the outcome was known; the command may still be applied.
    #[display("the outcome of the command is unknown")]
    Unknown,
}
