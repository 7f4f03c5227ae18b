//! Placement of chats on endpoints: rendezvous hashing, displaced chats, models of prompt caches,
//! and the load bound. Everything here is a state machine without I/O.
//!
//! A chat's home is the endpoint that ranks highest for it. [`RendezvousHash`] computes the home,
//! and every router computes the same one. [`EndpointTable`] is the owner's side: it tracks what
//! runs on the router's endpoints and what their prompt caches hold, and it decides whether another
//! request may start. The design is described in `docs/design/placement.md`.

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
