//! The product's own list of endpoints: `GET /endpoints`, a JSON array of [`ListedEndpoint`].

use {
    crate::{body::empty, client::Client},
    derive_more::Debug,
    directory::{Directory, DirectoryError, ListedEndpoint, Listing},
    std::net::SocketAddr,
};

/// How long a listing may take, in milliseconds.
const LIMIT_MS: u64 = 2_000;

/// A list of endpoints over HTTP.
#[derive(Clone, Debug)]
pub struct HttpDirectory {
    addr: SocketAddr,
    #[debug(skip)]
    client: Client,
}

impl HttpDirectory {
    /// Returns the list at an address; nothing is read yet.
    pub fn new(addr: SocketAddr) -> HttpDirectory {
        HttpDirectory { addr, client: Client::new(LIMIT_MS) }
    }
}

impl Directory for HttpDirectory {
    async fn list(&self) -> Result<Listing, DirectoryError> {
        let called = self.client.call(self.addr, "GET", "/endpoints", None, empty()).await;
        let (status, body) = called.map_err(|it| DirectoryError { reason: it.to_string() })?;
        if status != 200 {
            return Err(DirectoryError { reason: format!("status {status}") });
        }
        let endpoints: Vec<ListedEndpoint> = serde_json::from_slice(&body)
            .map_err(|it| DirectoryError { reason: it.to_string() })?;
        Ok(Listing { endpoints, calls: 1 })
    }
}
