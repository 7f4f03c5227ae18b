//! What replicas tell each other.

use {
    crate::entry::{Entry, Membership},
    bytes::Bytes,
    derive_more::Debug,
    model::{ReplicaId, Term, Time},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A message with its sender and receiver.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Envelope {
    /// The group; zero from a replica that belongs to none yet.
    pub group: u64,
    /// Who sent it.
    pub from: ReplicaId,
    /// Who should get it: an id, not an address, so that a replaced replica ignores what was meant for the old one.
    pub to: ReplicaId,
    /// The sender's term, or the term that a vote is asked for.
    pub term: Term,
    /// The message.
    pub message: Message,
}

/// What one replica tells another.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Message {
    /// Asks whether a vote would be given, without changing anything.
    RequestPreVote {
        /// The last entry of the sender's log.
        last_index: u64,
        /// Its term.
        last_term: Term,
    },
    /// Answers [`Message::RequestPreVote`]; the envelope's term is the one that was asked for if it is granted.
    PreVoteResponse {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// The last entry of the sender's log.
        last_index: u64,
        /// Its term.
        last_term: Term,
    },
    /// Answers [`Message::RequestVote`].
    VoteResponse {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Sends entries, or none as a heartbeat.
    AppendEntries {
        /// The entry before the first one sent.
        prev_index: u64,
        /// Its term.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Up to where the leader knows that entries are committed.
        commit_index: u64,
        /// When this was sent, on the leader's clock; comes back in the answer.
        sent_at: Time,
    },
    /// Answers [`Message::AppendEntries`], and [`Message::SnapshotChunk`] when the snapshot is whole: the log is the leader's and
    /// on disk up to an index.
    AppendAccepted {
        /// That index.
        match_index: u64,
        /// The `sent` of the message answered.
        sent_at: Time,
    },
    /// Answers [`Message::AppendEntries`]: the entry before the first one sent is not the leader's.
    AppendRejected {
        /// The highest index at which the logs may still agree.
        hint: u64,
        /// The `sent` of the message answered.
        sent_at: Time,
    },
    /// Sends a piece of a snapshot.
    SnapshotChunk {
        /// The last entry that the snapshot includes.
        index: u64,
        /// The term of that entry.
        term: Term,
        /// The membership at that entry.
        members: Membership,
        /// Where the piece begins in the encoded state.
        offset: u64,
        /// The length of the encoded state.
        total: u64,
        /// The piece.
        #[debug("{} bytes", data.len())]
        data: Bytes,
        /// When this was sent, on the leader's clock; comes back in the answer.
        sent_at: Time,
    },
    /// Answers [`Message::SnapshotChunk`]: which piece is wanted next.
    SnapshotChunkReceived {
        /// The snapshot's index.
        index: u64,
        /// How much of it has arrived without gaps.
        offset: u64,
        /// The `sent` of the message answered.
        sent_at: Time,
    },
    /// Asks to be taken into the group; the envelope's receiver is not looked at.
    JoinRequest {
        /// Where the sender listens.
        addr: SocketAddr,
    },
}
