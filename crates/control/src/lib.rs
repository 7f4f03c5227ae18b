//! A control replica: the replicated state behind an admin API for operators and feeds for routers.
//!
//! [`State`] is the whole replicated state; one match in it applies each [`Command`]. Everything that is acknowledged
//! was committed first. The rest is thin: sockets, timers, and tables of what routers last reported, which the leader
//! alone holds and which a new leader fills anew.
//!
//! Lock order: the state before the fleet; no lock is held across an await.

#![allow(
    clippy::disallowed_methods,
    reason = "this process reads the clocks for its state machines"
)]

mod admin;
mod bulk_limiter;
mod claims;
mod command;
mod control;
mod discovery;
mod feed;
mod fleet;
mod hosts;
mod layout_topic;
mod log;
mod metrics;
mod news;
mod operators;
mod orders;
mod quarantine;
mod reply;
mod roster;
mod rosters;
mod routers;
mod routing_configs;
mod state;
mod status;
mod topic;
mod watching;

pub use crate::{
    bulk_limiter::{BulkLimiter, BulkPermit},
    command::{Command, Output},
    control::{Control, Sockets},
    routing_configs::{JsonFormat, PublishError, RoutingConfigFormat, RoutingConfigStore},
    state::State,
};
