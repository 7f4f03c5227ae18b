//! Typed identifiers.
//!
//! Small integers are handed out once by the replicated state and never reused, so tables can be indexed by them;
//! names are shared immutable strings and appear only where people or other systems read them.

use {
    derive_more::{Debug, Display, From, Into},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A shared immutable name as an operator wrote it.
pub type Name = Arc<str>;

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty) $tag:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize, Debug, Display, From, Into,
        )]
        #[debug("{}{_0}", $tag)]
        #[display("{}{_0}", $tag)]
        pub struct $name(pub $inner);
    )*};
}

number_id! {
    /// A team (the callers of one organisation unit).
    TeamId(u32) "team-";
    /// A service: a model service or a plain one.
    ServiceId(u32) "service-";
    /// An endpoint: one runner of a service.
    EndpointId(u32) "endpoint-";
    /// One router process on an entry host; a restarted process gets a new id.
    RouterId(u32) "router-";
    /// One replica of the replicated log; a replica that lost its disk comes back under a new id.
    ReplicaId(u64) "replica-";
    /// A term of the replicated log.
    Term(u64) "term-";
    /// The number of a committed configuration; it never goes down.
    Revision(u64) "r";
    /// The number of a committed roster; it never goes down.
    Epoch(u64) "epoch-";
    /// The hash of (team, chat): what a chat is placed by.
    ChatKey(u64) "chat-";
    /// The number of an attempt at one request, from 1.
    AttemptNo(u32) "attempt-";
}

impl Revision {
    /// The revision after this one.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl Epoch {
    /// The epoch after this one.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl AttemptNo {
    /// The attempt after this one.
    pub fn next(self) -> AttemptNo {
        AttemptNo(self.0 + 1)
    }
}

/// Identifies one request of a caller from entry to its last byte.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Debug,
    Display,
    From,
)]
#[debug("{_0:032x}")]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// Identifies one operation of an operator; a resend carries the same id and gets the same answer.
#[derive(
    Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display, From,
)]
#[display("{_0}")]
pub struct OperationId(pub Name);

/// A failure domain, such as a zone.
#[derive(
    Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display, From,
)]
#[display("{_0}")]
pub struct Domain(pub Name);

/// The platform's name for a host.
#[derive(
    Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display, From,
)]
#[display("{_0}")]
pub struct HostName(pub Name);

/// A fencing number: orders with a lower one than an endpoint has seen are stale.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Debug,
    Display,
)]
#[display("{}.{}", term.0, revision.0)]
pub struct FencingToken {
    /// The term of the leader that gave the order.
    pub term: Term,
    /// The configuration that the order carries out.
    pub revision: Revision,
}

/// A SHA-256 digest.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Debug,
    Display,
)]
#[debug("{}", hex::encode(_0))]
#[display("{}", hex::encode(_0))]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Reads `sha256:` followed by 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Digest> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.strip_prefix("sha256:")?, &mut bytes).ok()?;
        Some(Digest(bytes))
    }

    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        use sha2::Digest as _;
        Digest(sha2::Sha256::digest(bytes).into())
    }

    /// Returns the digest of this digest followed by `bytes`: the next link of a chain.
    pub fn chain(&self, bytes: &[u8]) -> Digest {
        use sha2::Digest as _;
        Digest(sha2::Sha256::new().chain_update(self.0).chain_update(bytes).finalize().into())
    }
}
