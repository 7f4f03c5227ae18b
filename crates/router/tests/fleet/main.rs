//! Whole fleets on loopback: real control, real routers and stand-in endpoints, with nodes that are killed.
//!
//! Each node runs in its own runtime, so that a kill ends all its tasks and sockets at once, as the end of a process
//! does. Nothing here waits by sleeping for a fixed time: loops end when what they wait for is seen.

#![allow(clippy::disallowed_methods, reason = "limits are checked by the clock")]

mod calls;
mod crash;
mod drain;
mod harness;
mod kill;
