//! HTTP for clients, endpoints and operators: servers, clients, authentication and streaming.
//!
//! [`Server`] serves any `tower` service over `hyper` with limits on time and size, and completes
//! the requests in progress when it shuts down. [`EndpointClient`] sends requests to an endpoint.
//! [`Client`] is the HTTP client of the tools. [`refusal_response`] builds all responses to refused
//! requests, so that each says in a header and in its body whether the request ran.

#![allow(
    clippy::disallowed_methods,
    reason = "this crate reads clocks on behalf of the process crates"
)]

mod auth;
mod body;
mod client;
mod directory;
mod endpoint;
mod error;
mod payload;
mod refusal;
mod response_memory;
mod server;
mod slots;
mod socket;
mod throttle;
mod tls;

pub use crate::{
    auth::Authenticator,
    body::{Body, BodyError, ReadError, discard, empty, full, paced, read_all},
    client::Client,
    directory::HttpDirectory,
    endpoint::{
        EndpointClient, EndpointError, EndpointErrorKind, EndpointEvent, EndpointLimits,
        EndpointRequest, EndpointStream,
    },
    error::{HttpError, HttpStep},
    payload::{HeldMemory, Payload, UploadMemory},
    refusal::{OUTCOME_HEADER, REASON_HEADER, refusal_response},
    response_memory::{Reservation, ResponseMemory},
    server::{Server, ServerLimits},
    slots::{ConnectionSlot, ConnectionSlots, RequestSlot, listen},
    socket::ClientSocket,
    tls::ServerTls,
};
