//! The interface of the replicated state machine.

use derive_more::{Debug, Display, Error};

/// A deterministic state machine: the same commands in the same order produce the same state and replies on every
/// replica.
pub trait StateMachine: Send + Sync + 'static {
    /// Applies a committed command and returns its reply. `index` increases with each command, but not always by one.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the complete state with that of a snapshot.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be decoded. The state is then unspecified and the replica stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// A snapshot that the state machine cannot decode.
#[derive(Debug, Display, Error)]
#[display("snapshot cannot be restored: {reason}")]
pub struct RestoreError {
    /// Why it cannot be decoded.
    pub reason: String,
}
