//! Reads the list of endpoints with `GET /endpoints`, which returns a JSON array of
//! [`ListedEndpoint`], each with an optional `cold_remaining_ms`.

use {
    crate::{body::empty, client::Client},
    derive_more::Debug,
    directory::{Directory, DirectoryError, ListedEndpoint, Listing},
    serde::Deserialize,
    serde_json::Value,
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

#[derive(Deserialize)]
struct Entry {
    #[serde(flatten)]
    endpoint: ListedEndpoint,
    /// For how many milliseconds the endpoint remains cold. Without a valid one, the directory does not say.
    #[serde(default)]
    cold_remaining_ms: Value,
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
        let entries: Vec<Entry> = serde_json::from_slice(&body)
            .map_err(|it| DirectoryError { reason: it.to_string() })?;
        let cold = |it: &Entry| {
            let remaining_ms = it.cold_remaining_ms.as_u64()?;
            Some((it.endpoint.id.clone(), remaining_ms.try_into().unwrap_or(u32::MAX)))
        };
        let cold = entries.iter().filter_map(cold).collect();
        let endpoints = entries.into_iter().map(|it| it.endpoint).collect();
        Ok(Listing { endpoints, cold, calls: 1 })
    }
}
