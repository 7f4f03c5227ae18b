//! What goes into the state machine and what comes out.

use {
    crate::{
        entry::{Entry, HardState, Membership, Snapshot},
        message::Envelope,
    },
    bytes::Bytes,
    derive_more::Debug,
    model::Term,
    smallvec::SmallVec,
};

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// [`crate::Raft::deadline`] has come.
    Tick,
    /// A message arrived.
    Received(Envelope),
    /// Commands are to be committed; all of them get consecutive indexes.
    Propose(Vec<Bytes>),
    /// A read wants to know that this replica still leads.
    Read {
        /// Comes back in the answer.
        token: u64,
    },
    /// All writes up to this number are on disk.
    Synced(u64),
    /// The state was encoded after this entry was applied; entries before it may be dropped.
    Snapshot {
        /// The last entry applied.
        index: u64,
        /// The encoded state.
        data: Bytes,
    },
    /// Starts a new group with these members. The caller knows that no other group exists, or that every founder
    /// starts the same one: the same number, members and ids.
    Bootstrap {
        /// The number of the group, not zero.
        group: u64,
        /// The founders; this replica is one of them.
        members: Membership,
    },
}

/// What is to be done, in this order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send(Envelope),
    /// Write to disk, after the writes before it. The number comes back in [`Event::Synced`].
    Write(u64, Write),
    /// Replace the replicated state.
    Restore(Snapshot),
    /// Apply a committed entry; its index is one more than that of the one before.
    Apply(Entry),
    /// The commands of the last [`Event::Propose`] got indexes from this one on, in this term.
    Proposed {
        /// The first index.
        first_index: u64,
        /// The term.
        term: Term,
    },
    /// The commands of the last [`Event::Propose`] were not taken.
    ProposalRejected,
    /// The read may go on once the entry at this index is applied.
    ReadReady {
        /// The token of [`Event::Read`].
        token: u64,
        /// The index.
        index: u64,
    },
    /// This replica does not lead any more.
    ReadFailed {
        /// The token of [`Event::Read`].
        token: u64,
    },
    /// This replica stopped to lead: what it had proposed may or may not be committed.
    SteppedDown,
}

/// What is to be done in one step.
pub type Actions = SmallVec<[Action; 8]>;

/// A write to disk.
#[derive(Clone, Debug)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Puts entries into the log; all that was at or after the first one's index is void.
    Append(Vec<Entry>),
    /// Replaces the snapshot and drops the whole log.
    Install(Snapshot),
    /// Replaces the snapshot; entries that it includes may be dropped.
    Compact(Snapshot),
}
