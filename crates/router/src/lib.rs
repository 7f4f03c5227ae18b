//! The router: takes requests of callers, hands each to the owner of an endpoint, and owns endpoints itself.
//!
//! The decisions are made by `member`, `placement`, `admission` and `retry`; here are the sockets, timers and tables
//! that drive them. `entry` takes a caller's request, `drive` carries out what [`retry::Attempts`] says about it,
//! `handoff` reaches the owner, `owner` admits it and speaks with the endpoint, `keyed` wraps calls that must run at
//! most once, `feed` keeps the view and the lease, `note` tells
//! other routers where spilled chats run, and `probe` asks owned endpoints for their load.

#![allow(clippy::disallowed_methods, reason = "process crate: it reads clocks")]

mod admin;
mod call;
mod control_feed;
mod driver;
mod entry;
mod forward;
mod hint;
mod idempotency;
mod metrics;
mod owned;
mod owner;
mod probe;
mod router;
mod shared;
mod view;

pub use crate::{router::Router, view::ClusterView};
