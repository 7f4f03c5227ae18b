//! Errors of HTTP servers and clients.

use {
    derive_more::{Debug, Display, Error},
    std::{error::Error as StdError, net::SocketAddr},
};

/// The step at which HTTP failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum HttpStep {
    /// Binding a listener.
    #[display("bind")]
    Bind,
    /// Connecting: no byte of the request was sent.
    #[display("connect")]
    Connect,
    /// The TLS or HTTP handshake: no byte of the request was sent.
    #[display("handshake")]
    Handshake,
    /// Sending the request or waiting for the head of the answer.
    #[display("exchange")]
    Exchange,
    /// Receiving the body of the answer.
    #[display("receive body")]
    Body,
}

/// HTTP with a peer failed.
#[derive(Debug, Display, Error)]
#[display("{step} with {peer}: {source}")]
pub struct HttpError {
    /// Where it failed.
    pub step: HttpStep,
    /// The other end.
    pub peer: SocketAddr,
    /// What went wrong.
    pub source: Box<dyn StdError + Send + Sync>,
}

impl HttpError {
    /// Wraps an error with its step and peer.
    pub fn new<E>(step: HttpStep, peer: SocketAddr, source: E) -> HttpError
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        HttpError { step, peer, source: source.into() }
    }
}
