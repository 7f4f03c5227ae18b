//! A gateway: a router that stands between callers and endpoints and decides by itself where each request runs.
//!
//! It watches control for routing configurations ([`route`]) and endpoints ([`directory`]), places requests by
//! [`dispatch`] and exchanges them with endpoints over HTTP/1.1. Other gateways tell it by UDP what they run. All of its state is in memory; any gateway can be lost at any time.

mod attempt;
mod call;
mod control;
mod crash;
mod discovery;
mod gateway;
mod gossip;
mod header_names;
mod headers;
mod metrics;
mod rejection;
mod sampler;
mod server;
mod shared;
mod sse;
mod stream;
mod subscription;
mod upstream;

pub use crate::{gateway::Gateway, header_names::HeaderNames};
