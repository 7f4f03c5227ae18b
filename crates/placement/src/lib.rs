//! Homes of chats, their exceptions, the model of each prompt cache, and the load bound, as state machines without I/O.
//!
//! [`RendezvousHash`] says where a chat should run; every router computes the same. [`EndpointTable`] is the owner's side: what runs on
//! its endpoints, what their prompt caches hold, and whether one more request may start. The reasons are in
//! `docs/design/placement.md`.

mod bound;
mod cache;
mod displaced;
mod endpoint;
mod rendezvous;
mod request;
mod settings;
mod table;

pub use crate::{
    bound::{Headroom, MeanLoad},
    cache::{Cache, CacheEvent},
    displaced::DisplacedChats,
    rendezvous::{RankedEndpoints, RendezvousHash},
    request::{OwnedLoad, OwnerHandover, StartRequest, StartResult},
    settings::Settings,
    table::EndpointTable,
};
