//! What a failed exchange with an endpoint may have done.

use {
    derive_more::{Debug, Display, Error},
    model::Outcome,
    std::{error::Error as StdError, net::SocketAddr},
};

/// What failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum EndpointErrorKind {
    /// The endpoint takes no connection.
    #[display("cannot connect")]
    Unreachable,
    /// The connection broke, and a new one was refused or broke as well: the endpoint crashed.
    #[display("endpoint crashed")]
    Crashed,
    /// The connection made no progress, and neither did a new one.
    #[display("endpoint makes no progress")]
    Stalled,
    /// The connection failed and the request may not be repeated; the endpoint still takes connections.
    #[display("connection failed")]
    Connection,
    /// The answer is not whole HTTP, or contradicts what came before.
    #[display("malformed answer")]
    Malformed,
    /// The endpoint refused the request and said that it did not run.
    #[display("refused by the endpoint")]
    Refused,
    /// The deadline of the request passed.
    #[display("deadline passed")]
    Deadline,
}

/// An exchange with an endpoint failed.
#[derive(Debug, Display, Error)]
#[display("{kind} with {peer} at byte {offset} ({outcome}): {source}")]
pub struct EndpointError {
    /// What failed.
    pub kind: EndpointErrorKind,
    /// [`Outcome::NotRun`] only if no byte of the request was handed to a socket, or the endpoint proved it.
    pub outcome: Outcome,
    /// Bytes of the answer's body that were delivered, those before the first offset included.
    pub offset: u64,
    /// The endpoint's address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub source: Box<dyn StdError + Send + Sync>,
}

impl EndpointError {
    /// Whether the endpoint crashed after it may have begun with the request.
    pub fn crashed(&self) -> bool {
        self.kind == EndpointErrorKind::Crashed
    }
}

/// How one exchange on one connection failed.
#[derive(Debug)]
pub(crate) struct LinkError {
    pub(crate) kind: LinkErrorKind,
    pub(crate) source: Box<dyn StdError + Send + Sync>,
}

/// The kind of failure of one exchange on one connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum LinkErrorKind {
    /// No connection could be made.
    Connect,
    /// The connection was closed or reset.
    Reset,
    /// Nothing came for too long.
    Silent,
    /// What came is not a whole answer.
    Malformed,
    /// The endpoint said that the request did not run.
    Refused,
    /// The deadline of the request passed.
    Deadline,
}

impl LinkError {
    pub(crate) fn new<E>(kind: LinkErrorKind, source: E) -> LinkError
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        LinkError { kind, source: source.into() }
    }
}
