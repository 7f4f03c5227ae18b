//! The list of endpoints: where it is read, how often, and what changed in it.
//!
//! [`Directory`] is the trait at the edge of a process; [`Catalog`] and [`PollInterval`] are state machines without I/O.
//! Control replicas read the list and tell gateways what changed; a gateway that hears of no replica reads it itself.

mod catalog;
mod listing;
mod poll_interval;

pub use crate::{
    catalog::{Catalog, CatalogDelta},
    listing::{Directory, DirectoryError, ListedEndpoint, Listing},
    poll_interval::PollInterval,
};
