//! Discovery of endpoints: where the list of endpoints is read, how often, and what changed in it.
//!
//! [`Directory`] is the interface to the source of the list. [`Catalog`] and [`PollInterval`] are
//! state machines without I/O. Control replicas read the list and send changes to gateways. A
//! gateway that is not connected to any replica reads it itself.

mod catalog;
mod listing;
mod poll_interval;

pub use crate::{
    catalog::{Catalog, CatalogDelta},
    listing::{BuildId, Directory, DirectoryError, ListedEndpoint, Listing},
    poll_interval::PollInterval,
};
