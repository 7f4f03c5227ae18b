//! What a directory lists.

use {
    derive_more::{Debug, Display, Error},
    model::{Domain, Name},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Where endpoints are listed.
pub trait Directory: Send + Sync + 'static {
    /// Returns all endpoints that can be used or are leaving, and how many calls that took.
    ///
    /// # Errors
    ///
    /// The list cannot be had; what was listed before still holds.
    fn list(&self) -> impl Future<Output = Result<Listing, DirectoryError>> + Send;
}

/// A whole list of endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Listing {
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
    /// How many calls it took.
    pub calls: u32,
}

/// The list of endpoints cannot be had.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("list of endpoints: {reason}")]
pub struct DirectoryError {
    /// What went wrong.
    pub reason: String,
}

/// An endpoint as a directory lists it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ListedEndpoint {
    /// Its id; an endpoint that starts again may have it again.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens; another endpoint may have listened there before.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving: it gets no new work.
    pub draining: bool,
    /// When it started, in milliseconds since 1970, if it says so.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
}
