//! The inputs and outputs of [`crate::Raft`].

use {
    crate::{
        entry::{Entry, HardState, Membership, Snapshot},
        members::MemberChange,
        message::Envelope,
    },
    bytes::Bytes,
    derive_more::Debug,
    model::{ReplicaId, Term},
    smallvec::SmallVec,
};

/// An input of [`crate::Raft::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of [`crate::Raft::deadline`] was reached.
    Tick,
    /// A message arrived from another replica.
    Received(Envelope),
    /// Proposes commands, which get consecutive indexes.
    Propose(Vec<Bytes>),
    /// Requests a linearizable read, which needs proof that this replica still leads.
    Read {
        /// Identifies the read in [`Action::ReadReady`] and [`Action::ReadFailed`].
        token: u64,
    },
    /// All writes up to this number are on disk.
    Synced(u64),
    /// The state was encoded after the entry at `index` was applied; entries up to there may be discarded.
    Snapshot {
        /// The index of the last entry applied.
        index: u64,
        /// The encoded state.
        data: Bytes,
    },
    /// This replica is about to stop, and another member should get its vote. Must be repeated each heartbeat interval
    /// until [`crate::Raft::has_left`] returns `true` or the replica stops.
    Leave,
    /// Starts a new group with these members. The caller must know that no other group exists, or that all initial
    /// members start the same group, with the same number, membership and ids.
    Bootstrap {
        /// The number of the group, not zero.
        group: u64,
        /// The initial members; this replica is one of them.
        members: Membership,
    },
}

/// An output of [`crate::Raft::step`]; the actions of one step must be carried out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send(Envelope),
    /// Write to disk, after the writes before it. [`Event::Synced`] reports the number once the write is durable.
    Write(u64, Write),
    /// Replace the replicated state with that of a snapshot.
    Restore(Snapshot),
    /// Apply a committed entry; entries are emitted in the order of their indexes, without gaps.
    Apply(Entry),
    /// The commands of the last [`Event::Propose`] were appended at consecutive indexes.
    Proposed {
        /// The index of the first command.
        first_index: u64,
        /// The term of their entries.
        term: Term,
    },
    /// The commands of the last [`Event::Propose`] were not appended.
    ProposalRejected,
    /// The read may proceed once the entry at `index` is applied.
    ReadReady {
        /// The token of [`Event::Read`].
        token: u64,
        /// The index that must be applied first.
        index: u64,
    },
    /// The read failed because this replica is not the leader.
    ReadFailed {
        /// The token of [`Event::Read`].
        token: u64,
    },
    /// The leader begins a change of the membership; only for logs.
    MemberChange(MemberChange),
    /// A voter is known to be lost for good, as another replica uses its address; only for logs.
    VoterLost(ReplicaId),
    /// This replica is no longer the leader; commands that it proposed may or may not be committed.
    SteppedDown,
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 8]>;

/// A write to disk.
#[derive(Clone, Debug)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends entries to the log, after removing all entries at or after the index of the first one.
    Append(Vec<Entry>),
    /// Replaces the snapshot and discards the whole log.
    Install(Snapshot),
    /// Replaces the snapshot; log entries that it includes may be discarded.
    Compact(Snapshot),
}
