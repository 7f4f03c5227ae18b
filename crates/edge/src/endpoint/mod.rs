//! The client that an owner uses towards one endpoint.
//!
//! It says exactly what a failed exchange may have done. Each connection counts the bytes that its socket took, and is
//! driven by the task that waits for the answer, so once an exchange failed nothing more can leave. A connection that
//! missed a deadline is retired together with every connection made before, and a new one is tried before the
//! endpoint is blamed: what lies between the two ends may have lost track of the old one.

mod client;
mod error;
mod link;
mod request;
mod stream;

pub use self::{
    client::EndpointClient,
    error::{EndpointError, EndpointErrorKind},
    request::{EndpointEvent, EndpointLimits, EndpointRequest},
    stream::EndpointStream,
};
