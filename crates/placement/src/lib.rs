//! Homes of chats, their exceptions, the model of each prompt cache, and the load bound, as state machines without I/O.
//!
//! [`Homes`] says where a chat should run; every router computes the same. [`Table`] is the owner's side: what runs on
//! its endpoints, what their prompt caches hold, and whether one more request may start. The reasons are in
//! `docs/design/placement.md`.

mod bound;
mod cache;
mod engine;
mod exceptions;
mod homes;
mod settings;
mod start;
mod table;

pub use crate::{
    bound::{Mean, Room},
    cache::{Cache, CacheEvent},
    exceptions::Exceptions,
    homes::{Homes, Order},
    settings::Settings,
    start::{Memory, Start, Started, Sum},
    table::Table,
};
