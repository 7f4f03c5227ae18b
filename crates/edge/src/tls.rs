//! TLS towards callers, with keys that reload without a restart.

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

/// How often files are read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// The certificate that callers see.
#[derive(Clone, Debug)]
pub struct ServerTls {
    files: Arc<(PathBuf, PathBuf)>,
    #[debug(skip)]
    config: Arc<ArcSwap<ServerConfig>>,
}

impl ServerTls {
    /// Reads a certificate chain and its key from PEM files.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or the key does not fit the certificate.
    pub fn open(cert: &Path, key: &Path) -> Result<ServerTls, Box<dyn StdError + Send + Sync>> {
        let config = read(cert, key)?;
        let files = Arc::new((cert.to_owned(), key.to_owned()));
        Ok(ServerTls { files, config: Arc::new(ArcSwap::from_pointee(config)) })
    }

    /// Reads the files again; new connections use what they hold now.
    ///
    /// # Errors
    ///
    /// As [`ServerTls::open`]; the certificate in use is kept then.
    pub fn reload(&self) -> Result<(), Box<dyn StdError + Send + Sync>> {
        let (cert, key) = &*self.files;
        self.config.store(Arc::new(read(cert, key)?));
        Ok(())
    }

    /// Reads the files again each `RELOAD_INTERVAL`, for the life of the process; files that cannot be read change
    /// nothing.
    pub async fn reload_periodically(self) {
        let mut ticks = interval(RELOAD_INTERVAL);
        loop {
            ticks.tick().await;
            if let Err(err) = self.reload() {
                tracing::warn!("edge: keys not reloaded: {err}");
            }
        }
    }

    pub(crate) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.load_full())
    }
}

fn read(cert: &Path, key: &Path) -> Result<ServerConfig, Box<dyn StdError + Send + Sync>> {
    let chain = CertificateDer::pem_file_iter(cert)?.collect::<Result<Vec<_>, _>>()?;
    let mut config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, PrivateKeyDer::from_pem_file(key)?)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(config)
}
