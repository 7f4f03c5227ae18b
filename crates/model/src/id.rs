//! Typed identifiers.
//!
//! Numeric ids are assigned once by the replicated state and never reused, so tables can be indexed
//! by them. Names are shared immutable strings and appear only in operator-facing text and in
//! interfaces to other systems.

use {
    derive_more::{Debug, Display, From, Into},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An immutable shared string, such as a name chosen by an operator.
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
    /// Identifies a team: the callers of one organisational unit.
    TeamId(u32) "team-";
    /// Identifies a service, either a model service or a plain one.
    ServiceId(u32) "service-";
    /// Identifies an endpoint: one instance of a service.
    EndpointId(u32) "endpoint-";
    /// Identifies a router process on an entry host. A restarted process gets a new id.
    RouterId(u32) "router-";
    /// Identifies a replica of the replicated log. A replica that lost its disk rejoins under a new
    /// id.
    ReplicaId(u64) "replica-";
    /// A term of the replicated log.
    Term(u64) "term-";
    /// The number of a committed configuration; it never decreases.
    Revision(u64) "r";
    /// The number of a committed roster; it never decreases.
    Epoch(u64) "epoch-";
    /// The hash of a team and a chat id, by which a chat is placed.
    ChatKey(u64) "chat-";
    /// The number of an attempt at a request, starting at 1.
    AttemptNo(u32) "attempt-";
}

impl Revision {
    /// Returns the next revision.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl Epoch {
    /// Returns the next epoch.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl AttemptNo {
    /// Returns the number of the next attempt.
    pub fn next(self) -> AttemptNo {
        AttemptNo(self.0 + 1)
    }
}

/// Identifies a request from the arrival at a router until the last byte of the response.
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

/// Identifies an operator's operation. A resend carries the same id and gets the same answer.
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

/// The name of a host on the platform.
#[derive(
    Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display, From,
)]
#[display("{_0}")]
pub struct HostName(pub Name);

/// A fencing token. An order whose token is lower than one that the endpoint has already seen is
/// stale.
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
    /// The term of the leader that issued the order.
    pub term: Term,
    /// The revision of the configuration that the order implements.
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
    /// Parses `sha256:` followed by 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Digest> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.strip_prefix("sha256:")?, &mut bytes).ok()?;
        Some(Digest(bytes))
    }

    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        use sha2::Digest as _;
        Digest(sha2::Sha256::digest(bytes).into())
    }

    /// Computes the digest of this digest followed by `bytes`, which is the next link of a hash
    /// chain.
    pub fn chain(&self, bytes: &[u8]) -> Digest {
        use sha2::Digest as _;
        Digest(sha2::Sha256::new().chain_update(self.0).chain_update(bytes).finalize().into())
    }
}
