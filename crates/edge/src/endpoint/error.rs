//! Errors of exchanges with an endpoint, and whether the request may have run.

use {
    derive_more::{Debug, Display, Error},
    model::Outcome,
    std::{error::Error as StdError, net::SocketAddr},
};

/// The kind of an [`EndpointError`].
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum EndpointErrorKind {
    /// The endpoint does not accept connections.
    #[display("cannot connect")]
    Unreachable,
    /// The connection failed, and a new one was refused or failed as well, so the endpoint has
    /// crashed.
    #[display("endpoint crashed")]
    Crashed,
    /// The connection made no progress, and neither did a new one.
    #[display("endpoint makes no progress")]
    Stalled,
    /// The connection failed and the request must not be repeated. The endpoint still accepts
    /// connections.
    #[display("connection failed")]
    Connection,
    /// The response is not valid and complete HTTP, or contradicts an earlier part of it.
    #[display("malformed response")]
    Malformed,
    /// The endpoint refused the request and stated that it did not run.
    #[display("refused by the endpoint")]
    Refused,
    /// The deadline of the request passed.
    #[display("deadline exceeded")]
    Deadline,
}

/// An exchange with an endpoint failed.
#[derive(Debug, Display, Error)]
#[display("{kind} with {peer} at byte {offset} ({outcome}): {source}")]
pub struct EndpointError {
    /// The kind of the error.
    pub kind: EndpointErrorKind,
    /// Whether the request may have run. [`Outcome::NotRun`] only if no byte of the request was
    /// written to a socket, or if the endpoint stated it.
    pub outcome: Outcome,
    /// The position in the response body up to which it was delivered, counting the bytes before
    /// the offset of the request.
    pub offset: u64,
    /// The address of the endpoint.
    pub peer: SocketAddr,
    /// The underlying error.
    pub source: Box<dyn StdError + Send + Sync>,
}

impl EndpointError {
    /// Returns whether the endpoint crashed after it may have started to run the request.
    pub fn crashed(&self) -> bool {
        self.kind == EndpointErrorKind::Crashed
    }
}

/// The error of one exchange on one connection.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    pub(crate) kind: ExchangeErrorKind,
    pub(crate) source: Box<dyn StdError + Send + Sync>,
}

/// The kind of an [`ExchangeError`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ExchangeErrorKind {
    /// No connection could be opened.
    Connect,
    /// The connection was closed or reset.
    Reset,
    /// Nothing was received in time.
    Timeout,
    /// The received bytes are not a valid and complete response.
    Malformed,
    /// The endpoint refused the request and stated that it did not run.
    Refused,
    /// The deadline of the request passed.
    Deadline,
}

impl ExchangeError {
    pub(crate) fn new<E>(kind: ExchangeErrorKind, source: E) -> ExchangeError
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        ExchangeError { kind, source: source.into() }
    }
}
