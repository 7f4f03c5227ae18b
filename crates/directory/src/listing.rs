//! The interface to a directory of endpoints.

use {
    derive_more::{Debug, Display, Error},
    model::{Domain, Name, hash64},
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
    /// The ids of the endpoints of which the directory says whether they are cold, and for how many milliseconds they
    /// remain so; 0 if they are not.
    pub cold: Vec<(Name, u32)>,
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

/// An endpoint as listed by a directory. Its encoding never changes.
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
    /// The version of the endpoint's software, if it is known. Versions have no order.
    pub build: Option<Name>,
}

/// Identifies a version of endpoints' software: the hash of its name.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Debug,
    Display,
)]
#[display("{_0:x}")]
pub struct BuildId(pub u64);

impl ListedEndpoint {
    /// Returns the id of the version of the endpoint's software. All endpoints whose version is not
    /// known have the same one.
    pub fn build_id(&self) -> BuildId {
        BuildId(self.build.as_ref().map_or(0, |it| hash64(it.as_bytes())))
    }
}
