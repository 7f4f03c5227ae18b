//! Reads the list of endpoints with `GET /endpoints`, which returns a JSON array of
//! [`ListedEndpoint`].

use {
    crate::{body::empty, client::Client},
    derive_more::Debug,
    directory::{Directory, DirectoryError, ListedEndpoint, Listing},
    std::net::SocketAddr,
};

/// The time limit for reading the list, in milliseconds.
const LISTING_TIMEOUT_MS: u64 = 2_000;

/// A directory that reads the list of endpoints over HTTP.
#[derive(Clone, Debug)]
pub struct HttpDirectory {
    addr: SocketAddr,
    #[debug(skip)]
    client: Client,
}

impl HttpDirectory {
    /// Returns a directory that reads the list at an address. Nothing is read yet.
    pub fn new(addr: SocketAddr) -> HttpDirectory {
        HttpDirectory { addr, client: Client::new(LISTING_TIMEOUT_MS) }
    }
}

impl Directory for HttpDirectory {
    async fn list(&self) -> Result<Listing, DirectoryError> {
        let result = self.client.call(self.addr, "GET", "/endpoints", None, empty()).await;
        let (status, body) = result.map_err(|it| DirectoryError { reason: it.to_string() })?;
        if status != 200 {
            return Err(DirectoryError { reason: format!("status {status}") });
        }
        let endpoints: Vec<ListedEndpoint> = serde_json::from_slice(&body)
            .map_err(|it| DirectoryError { reason: it.to_string() })?;
        Ok(Listing { endpoints, cold: Vec::new(), calls: 1 })
    }
}
