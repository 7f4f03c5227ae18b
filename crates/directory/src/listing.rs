//! The interface to a directory of endpoints.

use {
    derive_more::{Debug, Display, Error},
    model::{Domain, Name},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A source of the list of endpoints.
pub trait Directory: Send + Sync + 'static {
    /// Returns all endpoints that are usable or leaving, and how many calls reading them took.
    ///
    /// # Errors
    ///
    /// Returns an error if the list cannot be read. The previous list remains valid.
    fn list(&self) -> impl Future<Output = Result<Listing, DirectoryError>> + Send;
}

/// A complete list of endpoints.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Listing {
    /// The endpoints.
    pub endpoints: Vec<ListedEndpoint>,
    /// The number of calls that reading the list took.
    pub calls: u32,
}

/// The list of endpoints could not be read.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("cannot read the list of endpoints: {reason}")]
pub struct DirectoryError {
    /// The cause of the failure.
    pub reason: String,
}

/// An endpoint as listed by a directory.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ListedEndpoint {
    /// The endpoint's id. It may be the same after a restart.
    pub id: Name,
    /// The service that the endpoint belongs to.
    pub service: Name,
    /// The address that the endpoint listens on. Another endpoint may have used it before.
    pub addr: SocketAddr,
    /// The endpoint's failure domain.
    pub domain: Domain,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is leaving and accepts no new requests.
    pub draining: bool,
    /// When the endpoint started, in milliseconds since the Unix epoch (1970), if it is known.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
}
