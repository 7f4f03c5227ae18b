//! Bounds what clients make a process hold.
//!
//! [`Uploads`] counts the bytes of request bodies before they are held. [`Connections`] counts open connections. When
//! there is no room left, both name what makes the least progress and has to give way, so that a client which sends a
//! small request at once is served beside any number of clients that hold on to what they have.
//!
//! Both are state machines without I/O. Their users hold the bytes and the sockets.

mod connections;
mod uploads;

pub use crate::{
    connections::{ConnectionId, Connections, Displaced, Opened, Phase},
    uploads::{Growth, SharedUploads, UploadId, Uploads},
};
