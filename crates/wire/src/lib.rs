//! Messages between the processes of the system: `bincode` frames over `h2` streams, with mutual
//! TLS.
//!
//! A [`Peer`] keeps one connection to another process and replaces it when a ping times out, so
//! that both ends detect a connection whose state a middlebox has dropped. A [`Listener`] accepts
//! connections and returns their streams. A [`Stream`] carries typed frames in both directions,
//! each of at most [`MAX_FRAME_BYTES`]; a malformed or oversized frame ends only its own stream.
//! Both ends of a stream say which protocol they speak ([`PROTOCOL`]), so that builds of different
//! age can run side by side.
//! Bytes are counted by [`TrafficClass`], so that the control traffic of a process can be measured.

#![allow(
    clippy::disallowed_methods,
    reason = "this crate reads the clock on behalf of the process crates"
)]

mod clock;
mod compressed;
mod dial;
mod error;
mod frame;
mod limits;
pub mod msg;
mod peer;
mod protocol;
mod server;
mod stream;
mod tls;
mod traffic;

pub use crate::{
    clock::Clock,
    compressed::{Compressed, CompressionError},
    dial::dial,
    error::{Step, WireError},
    frame::{Encoded, MAX_FRAME_BYTES},
    limits::ListenerLimits,
    peer::{Dialer, Peer},
    protocol::PROTOCOL,
    server::{Incoming, Listener},
    stream::{RecvHalf, SendHalf, Stream},
    tls::Identity,
    traffic::{Traffic, TrafficClass},
};
