//! A gateway: a router between clients and endpoints that decides locally where each request runs.
//!
//! It watches the control plane for routing configurations ([`route`]) and endpoints
//! ([`directory`]), schedules requests with [`dispatch`] and forwards them to endpoints over
//! HTTP/1.1. Gateways report their load to each other over UDP. All state is in memory, and any
//! gateway can be lost at any time.

mod attempt;
mod call;
mod cold;
mod control;
mod crash;
mod detour;
mod discovery;
mod evacuations;
mod field_requests;
mod gateway;
mod gossip;
mod header_names;
mod headers;
mod layout;
mod limits;
mod metrics;
mod notices;
mod origins;
mod outages;
mod paths;
mod quarantine;
mod rejection;
mod relay;
mod replacement;
mod sampler;
mod server;
mod shared;
mod sse;
mod startup;
mod stream;
mod subscription;
mod upstream;

pub use crate::{gateway::Gateway, header_names::HeaderNames};
