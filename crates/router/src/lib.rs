//! The router accepts requests from callers, forwards each to the router that owns the selected endpoint, and owns
//! endpoints itself.
//!
//! The decisions are made by `member`, `placement`, `admission` and `retry`. This crate holds the sockets, timers and
//! tables that drive them:
//!
//! - `entry` validates a caller's request.
//! - `driver` performs the actions that [`retry::Attempts`] returns for it.
//! - `forward` sends it to the owner of the endpoint.
//! - `owner` admits it and exchanges it with the endpoint.
//! - `idempotency` wraps calls that must run at most once.
//! - `control_feed` maintains the cluster view and the lease.
//! - `hint` tells other routers where spilled chats run.
//! - `probe` polls owned endpoints for their load.

#![allow(clippy::disallowed_methods, reason = "this crate runs the process and reads its clocks")]

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
