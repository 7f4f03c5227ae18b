//! Clients that misbehave, and a process of the system that serves them. For tests only.
//!
//! A [`Crowd`] is a number of connections that each send the same [`Script`] and then stay open. A [`Watched`] process
//! is sampled for the memory that it uses and the descriptors that it has open.

#![allow(clippy::disallowed_methods, reason = "tests start processes and read the clock")]

mod client;
mod process;
mod script;

pub use crate::{
    client::{Response, request},
    process::{Peaks, Watched, free_ports, unread_bytes},
    script::{Crowd, Script},
};
