//! TLS for the connections of clients, with certificates that are reloaded without a restart.

use {
    arc_swap::ArcSwap,
    derive_more::Debug,
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::{
        error::Error as StdError,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::time::interval,
    tokio_rustls::{
        TlsAcceptor,
        rustls::{ServerConfig, crypto::ring::default_provider},
    },
};

/// The interval at which the certificate and the key are reloaded.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// The TLS configuration of a server, with its certificate and key.
#[derive(Clone, Debug)]
pub struct ServerTls {
    paths: Arc<(PathBuf, PathBuf)>,
    #[debug(skip)]
    config: Arc<ArcSwap<ServerConfig>>,
}

impl ServerTls {
    /// Reads a certificate chain and its key from PEM files.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or the key does not match the certificate.
    pub fn open(cert: &Path, key: &Path) -> Result<ServerTls, Box<dyn StdError + Send + Sync>> {
        let config = load_config(cert, key)?;
        let paths = Arc::new((cert.to_owned(), key.to_owned()));
        Ok(ServerTls { paths, config: Arc::new(ArcSwap::from_pointee(config)) })
    }

    /// Reloads the certificate and the key. New connections use them.
    ///
    /// # Errors
    ///
    /// As for [`ServerTls::open`]; the current certificate and key remain in use.
    pub fn reload(&self) -> Result<(), Box<dyn StdError + Send + Sync>> {
        let (cert, key) = &*self.paths;
        self.config.store(Arc::new(load_config(cert, key)?));
        Ok(())
    }

    /// Reloads the certificate and the key every 10 seconds and never returns. If they cannot be
    /// read, the current ones remain in use.
    pub async fn reload_periodically(self) {
        let mut timer = interval(RELOAD_INTERVAL);
        loop {
            timer.tick().await;
            if let Err(err) = self.reload() {
                tracing::warn!("edge: failed to reload the TLS certificate and key: {err}");
            }
        }
    }

    pub(crate) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.load_full())
    }
}

fn load_config(cert: &Path, key: &Path) -> Result<ServerConfig, Box<dyn StdError + Send + Sync>> {
    let chain = CertificateDer::pem_file_iter(cert)?.collect::<Result<Vec<_>, _>>()?;
    let mut config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, PrivateKeyDer::from_pem_file(key)?)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(config)
}
