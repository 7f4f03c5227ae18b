//! Why a replica does not open and why a command has no reply.

use {
    crate::machine::RestoreError,
    derive_more::{Debug, Display, Error, From},
    model::ReplicaId,
    store::StoreError,
};

/// A replica cannot be opened.
#[derive(Debug, Display, Error, From)]
pub enum OpenError {
    /// The data folder cannot be used.
    #[display("open data folder: {_0}")]
    Store(StoreError),
    /// The snapshot in the data folder is not one of this machine's.
    #[display("open replica: {_0}")]
    Restore(RestoreError),
    /// The runtime is shutting down.
    #[display("open replica: cancelled")]
    Cancelled,
}

/// A command has no reply.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ProposeError {
    /// This replica does not lead; the command was not and will not be carried out.
    #[display("not the leader")]
    NotLeader {
        /// Which one leads, as far as this one knows.
        #[error(not(source))]
        leader: Option<ReplicaId>,
    },
    /// The replica lost its lead or stopped before the outcome was known; the command may yet be carried out.
    #[display("outcome unknown")]
    Unknown,
}
