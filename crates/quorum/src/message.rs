//! The messages that replicas exchange.

use {
    crate::entry::{Entry, Membership},
    bytes::Bytes,
    derive_more::Debug,
    model::{ReplicaId, Term, Time},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A message with its group, term, sender and receiver.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Envelope {
    /// The sender's group; zero if it belongs to none yet.
    pub group: u64,
    /// The id of the sender.
    pub from: ReplicaId,
    /// The id of the receiver. It is an id and not an address, so that a replica that took over an address ignores
    /// messages to its predecessor.
    pub to: ReplicaId,
    /// The sender's term; for a pre-vote, the term that the candidate would start.
    pub term: Term,
    /// The message.
    pub message: Message,
}

/// A message between two replicas.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Message {
    /// Asks whether the receiver would grant its vote; neither side changes its term or vote.
    RequestPreVote {
        /// The index of the last entry of the sender's log.
        last_index: u64,
        /// The term of that entry.
        last_term: Term,
    },
    /// Responds to [`Message::RequestPreVote`]; if granted, the envelope has the term of the request.
    PreVoteResponse {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    RequestVote {
        /// The index of the last entry of the sender's log.
        last_index: u64,
        /// The term of that entry.
        last_term: Term,
    },
    /// Responds to [`Message::RequestVote`].
    VoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries, or none as a heartbeat.
    AppendEntries {
        /// The index of the entry before the first one sent.
        prev_index: u64,
        /// The term of that entry.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: u64,
        /// When this was sent, by the leader's clock; the response echoes it.
        sent_at: Time,
    },
    /// Responds to [`Message::AppendEntries`], and to [`Message::SnapshotChunk`] when the snapshot is complete: the
    /// receiver's log matches the leader's up to an index and is on disk up to there.
    AppendAccepted {
        /// The last index at which the log matches.
        match_index: u64,
        /// The `sent_at` of the request.
        sent_at: Time,
    },
    /// Responds to [`Message::AppendEntries`]: the receiver's log has no matching entry before the first one sent.
    AppendRejected {
        /// The highest index at which the logs may still match.
        hint: u64,
        /// The `sent_at` of the request.
        sent_at: Time,
    },
    /// Sends a chunk of a snapshot.
    SnapshotChunk {
        /// The index of the last entry that the snapshot includes.
        index: u64,
        /// The term of that entry.
        term: Term,
        /// The membership as of that entry.
        members: Membership,
        /// The offset of the chunk in the encoded state, in bytes.
        offset: u64,
        /// The length of the encoded state, in bytes.
        total: u64,
        /// The chunk.
        #[debug("{} bytes", data.len())]
        data: Bytes,
        /// When this was sent, by the leader's clock; the response echoes it.
        sent_at: Time,
    },
    /// Responds to [`Message::SnapshotChunk`] and requests the next chunk.
    SnapshotChunkReceived {
        /// The index of the snapshot.
        index: u64,
        /// How many bytes of it have arrived without gaps.
        offset: u64,
        /// The `sent_at` of the request.
        sent_at: Time,
    },
    /// Asks to be added to the group. The envelope's receiver is the sender itself, or the leader to which another
    /// replica forwards the request.
    JoinRequest {
        /// The address that the sender listens on.
        addr: SocketAddr,
    },
    /// Asks the leader to give the sender's vote to another member, because the sender is about to stop. Only a process
    /// of protocol 2 or later knows this message.
    LeaveRequest,
    /// Responds to [`Message::LeaveRequest`] once nothing is left to wait for.
    LeaveResponse {
        /// Whether the receiver has no vote any more. If not, no other member can take it now.
        left: bool,
    },
}
