//! Whether this router reaches endpoints by itself, and which other router it asks to if it does not.
//!
//! Connections that fail at several endpoints, with none that succeeds in between, mean that this
//! router has lost its own path to them. Whether the endpoints are there is for other routers to
//! say: each answers for its own path only, so a request takes one detour at most.
//!
//! [`Paths`] is a state machine without I/O.

mod paths;
mod peers;
mod regions;
mod scope;

pub use crate::{
    paths::{Destination, Endpoint, PathChange, Paths},
    peers::{Member, PeerFailure},
};
