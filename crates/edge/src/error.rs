//! Errors of HTTP servers and clients.

use {
    derive_more::{Debug, Display, Error},
    std::{error::Error as StdError, net::SocketAddr},
};

/// The step at which an HTTP exchange or a server failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum HttpStep {
    /// Binding a listener.
    #[display("bind")]
    Bind,
    /// Opening the connection: no byte of the request was sent.
    #[display("connect")]
    Connect,
    /// The TLS or HTTP handshake: no byte of the request was sent.
    #[display("handshake")]
    Handshake,
    /// Sending the request or waiting for the head of the response.
    #[display("exchange")]
    Exchange,
    /// Receiving the body of the response.
    #[display("receive body")]
    Body,
}

/// An HTTP exchange with a peer failed, or a server could not be started.
#[derive(Debug, Display, Error)]
#[display("{step} with {peer}: {source}")]
pub struct HttpError {
    /// The step that failed.
    pub step: HttpStep,
    /// The address of the peer, or the address to bind.
    pub peer: SocketAddr,
    /// The underlying error.
    pub source: Box<dyn StdError + Send + Sync>,
}

impl HttpError {
    /// Wraps an error with the step that failed and the address of the peer.
    pub fn new<E>(step: HttpStep, peer: SocketAddr, source: E) -> HttpError
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        HttpError { step, peer, source: source.into() }
    }
}
