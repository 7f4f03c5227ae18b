//! Errors of inner connections.

use {
    derive_more::{Debug, Display, Error},
    std::{error::Error as StdError, net::SocketAddr},
};

/// The step at which an inner connection failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum Step {
    /// Reading keys.
    #[display("read keys")]
    Keys,
    /// Binding a listener.
    #[display("bind")]
    Bind,
    /// Connecting.
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

/// An inner connection or stream failed.
#[derive(Debug, Display, Error)]
#[display("{step} with {peer}: {source}")]
pub struct WireError {
    /// Where it failed.
    pub step: Step,
    /// The other end.
    pub peer: SocketAddr,
    /// What went wrong.
    pub source: Box<dyn StdError + Send + Sync>,
}

impl WireError {
    /// Wraps an error with its step and peer.
    pub fn new<E>(step: Step, peer: SocketAddr, source: E) -> WireError
    where
        E: Into<Box<dyn StdError + Send + Sync>>,
    {
        WireError { step, peer, source: source.into() }
    }
}
