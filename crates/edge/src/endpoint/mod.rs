//! The client that the owner of an endpoint uses to send requests to it.
//!
//! It reports whether a failed exchange may have reached the endpoint. Each connection counts the
//! bytes that its socket accepted, and is driven by the task that waits for the response, so
//! nothing more is sent once an exchange has failed. A connection that times out is retired
//! together with all connections that were opened before it, and a new one is tried before the
//! endpoint is considered failed, because a middlebox may have dropped the state of the old
//! connections.

mod client;
mod connection;
mod error;
mod request;
mod stream;

pub use self::{
    client::EndpointClient,
    error::{EndpointError, EndpointErrorKind},
    request::{EndpointEvent, EndpointLimits, EndpointRequest},
    stream::EndpointStream,
};
