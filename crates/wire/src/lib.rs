//! Messages between the system's own processes: `bincode` frames over `h2` streams, with mutual TLS.
//!
//! A [`Peer`] keeps one connection to another process and replaces it when it fails a ping, so that a connection that
//! something between the two ends has forgotten is noticed by both. A [`Listener`] accepts connections and hands out
//! their streams. A [`Stream`] carries typed frames both ways, each no longer than its limit; a malformed or
//! oversized frame ends that stream's connection alone. Bytes are counted by [`TrafficClass`], so that the control traffic
//! of a process is known.

#![allow(clippy::disallowed_methods, reason = "this crate reads the clock for the process crates")]

mod clock;
mod compressed;
mod dial;
mod error;
mod frame;
pub mod msg;
mod peer;
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
    peer::{Dialer, Peer},
    server::{Incoming, Listener},
    stream::{RecvHalf, SendHalf, Stream},
    tls::Identity,
    traffic::{Traffic, TrafficClass},
};
