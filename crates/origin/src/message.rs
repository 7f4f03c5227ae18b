//! What routers tell each other and replicas of the control plane.

use {
    derive_more::{Debug, Display},
    directory::BuildId,
    model::{hash64, mix2},
    serde::{Deserialize, Serialize},
};

/// Identifies a stream: a hash of its team and of the attempt that brought its first event.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display,
)]
#[display("{_0:x}")]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt of a team began.
    pub fn new(team: &str, attempt_id: &[u8]) -> StreamKey {
        StreamKey(mix2(hash64(team.as_bytes()), hash64(attempt_id)))
    }
}

/// Where a stream began.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug)]
pub struct Origin {
    /// The hash of the service's name.
    pub service: u64,
    /// The software version of the endpoint.
    pub build: BuildId,
}

/// The origin of one stream.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Record {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: Origin,
    /// How much longer the origin is of use, in milliseconds.
    pub keep_ms: u64,
}

/// A stream whose origin is to be found.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Wanted {
    /// The stream, if the client named the attempt that began it.
    pub key: Option<StreamKey>,
    /// The hash of the only service that can have begun it, if there is only one.
    pub service: Option<u64>,
    /// How long ago it may have begun at most, in milliseconds.
    pub max_age_ms: u64,
}

/// A message between routers, or of a router and a replica of the control plane. Encoded by
/// `bincode`, so the order of the variants and fields is the wire format. Readers drop a message
/// with a variant that they do not know, and take its sender to be silent.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Message {
    /// The receiver is to keep these origins.
    Tell(Vec<Record>),
    /// Asks for the origin of a stream.
    Ask(Wanted),
    /// The sender knows the origin of a stream.
    Known(Record),
    /// The sender does not know the origin of a stream.
    NotKnown {
        /// The question.
        wanted: Wanted,
        /// The only version that can have begun the stream by the sender's lists.
        only: Option<BuildId>,
    },
    /// The attempt began streams at several versions. Unknown to readers of commit 0d4d3b9.
    Conflict {
        /// The stream.
        key: StreamKey,
        /// How much longer this is of use, in milliseconds.
        keep_ms: u64,
    },
}
