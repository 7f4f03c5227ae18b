//! Errors of the connections between processes.

use {
    derive_more::{Debug, Display, Error},
    std::{error::Error as StdError, net::SocketAddr},
};

/// The step at which a connection or stream failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Step {
    /// Reading the certificates and the key.
    #[display("read keys")]
    Keys,
    /// Binding a listener.
    #[display("bind")]
    Bind,
    /// Opening the TCP connection.
    #[display("connect")]
    Connect,
    /// The TLS or HTTP/2 handshake.
    #[display("handshake")]
    Handshake,
    /// Opening a stream.
    #[display("open stream")]
    Open,
    /// Sending a frame.
    #[display("send")]
    Send,
    /// Receiving a frame.
    #[display("receive")]
    Receive,
    /// Decoding a frame.
    #[display("decode")]
    Decode,
}

/// A connection to another process, or a stream on it, failed.
#[derive(Debug, Display, Error)]
#[display("{step} with {peer}: {source}")]
pub struct WireError {
    /// The step that failed.
    pub step: Step,
    /// The address of the other process.
    pub peer: SocketAddr,
    /// The underlying error.
    pub source: Box<dyn StdError + Send + Sync>,
}

impl WireError {
    /// Wraps an error with the step that failed and the address of the other process.
    pub fn new<E>(step: Step, peer: SocketAddr, source: E) -> WireError
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        WireError { step, peer, source: source.into() }
    }
}
