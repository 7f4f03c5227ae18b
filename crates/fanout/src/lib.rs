//! Distribution of routing configurations to many routers over slow links.
//!
//! [`Fanout`] decides which router gets a configuration from this process and which one gets it from another router.
//! [`ConfigHistory`] holds the encoded messages that update a router from an earlier version; control replicas and
//! gateways both serve from it. [`Group`] decides which replicas a router watches, and [`Requests`] which one it asks. This
//! crate performs no I/O.

mod group;
mod history;
mod requests;
mod scheduler;

pub use crate::{
    group::Group,
    history::ConfigHistory,
    requests::{RequestCause, Requests, Turn},
    scheduler::{Fanout, Router, Source, WaiterId},
};
