//! Which software version of endpoints began a stream.
//!
//! A stream may be resumed only at the version that began it, and a client that resumes it names
//! only the attempt that brought its first event. The router that forwards the first event
//! therefore tells a few other routers, chosen by rendezvous hashing of the attempt. A router that
//! gets a resumption asks them, unless it knows the origin itself.
//!
//! [`Origins`] is a state machine without I/O. It never guesses: an origin that nobody knows is
//! taken to be the only version listed only if no other one can have begun the stream.

mod builds;
mod lookup;
mod members;
mod message;
mod origins;
mod table;

pub use crate::{
    message::{Message, Origin, Record, StreamKey, Wanted},
    origins::{Action, LookupId, Origins, Resolution, Source},
};
