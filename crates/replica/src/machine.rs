//! What is replicated.

use derive_more::{Debug, Display, Error};

/// A deterministic state machine: the same commands in the same order give the same state and replies everywhere.
pub trait StateMachine: Send + Sync + 'static {
    /// Carries out a committed command and returns its reply; `index` goes up with each command, with gaps.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state.
    ///
    /// # Errors
    ///
    /// The snapshot is not one of this machine's; the state is unspecified then and the replica stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// A snapshot that a machine cannot read.
#[derive(Debug, Display, Error)]
#[display("snapshot cannot be restored: {reason}")]
pub struct RestoreError {
    /// What is wrong with it.
    pub reason: String,
}
