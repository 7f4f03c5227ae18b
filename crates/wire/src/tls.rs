//! Mutual TLS between the system's own processes, with keys that reload without a restart.

use {
    arc_swap::ArcSwap,
    derive_more::Debug,
    rustls_pki_types::{
        CertificateDer, PrivateKeyDer, ServerName,
        pem::{Error as PemError, PemObject},
    },
    settings::TlsFiles,
    std::{error::Error as StdError, sync::Arc, time::Duration},
    tokio::time::interval,
    tokio_rustls::{
        TlsAcceptor, TlsConnector,
        rustls::{
            ClientConfig, RootCertStore, ServerConfig, crypto::ring::default_provider,
            server::WebPkiClientVerifier,
        },
    },
};

/// How often keys are read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// The name that the certificates of all inner processes carry.
pub(crate) const INNER_NAME: &str = "jasminefront";

/// This process's keys.
#[derive(Clone, Debug)]
pub struct Identity {
    files: Arc<TlsFiles>,
    #[debug(skip)]
    configs: Arc<ArcSwap<Configs>>,
}

struct Configs {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
}

impl Identity {
    /// Reads the keys.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or the key does not fit the certificate.
    pub fn open(files: &TlsFiles) -> Result<Identity, Box<dyn StdError + Send + Sync>> {
        let configs = Configs::open(files)?;
        Ok(Identity {
            files: Arc::new(files.clone()),
            configs: Arc::new(ArcSwap::from_pointee(configs)),
        })
    }

    /// Reads the keys again; new connections use them.
    ///
    /// # Errors
    ///
    /// As [`Identity::open`]; the keys in use are kept then.
    pub fn reload(&self) -> Result<(), Box<dyn StdError + Send + Sync>> {
        self.configs.store(Arc::new(Configs::open(&self.files)?));
        Ok(())
    }

    /// Reads the keys again each `RELOAD_INTERVAL`, for the life of the process; keys that cannot be read change nothing.
    pub async fn reload_periodically(self) {
        let mut ticks = interval(RELOAD_INTERVAL);
        loop {
            ticks.tick().await;
            if let Err(err) = self.reload() {
                tracing::warn!("wire: keys not reloaded: {err}");
            }
        }
    }

    pub(crate) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.configs.load().server.clone())
    }

    pub(crate) fn connector(&self) -> TlsConnector {
        TlsConnector::from(self.configs.load().client.clone())
    }

    pub(crate) fn server_name() -> Result<ServerName<'static>, rustls_pki_types::InvalidDnsNameError>
    {
        ServerName::try_from(INNER_NAME)
    }
}

impl Configs {
    fn open(files: &TlsFiles) -> Result<Configs, Box<dyn StdError + Send + Sync>> {
        let mut roots = RootCertStore::empty();
        for cert in CertificateDer::pem_file_iter(&files.ca)? {
            roots.add(cert?)?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
        let mut server = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain(files)?, PrivateKeyDer::from_pem_file(&files.key)?)?;
        server.alpn_protocols = vec![b"h2".to_vec()];
        let mut client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain(files)?, PrivateKeyDer::from_pem_file(&files.key)?)?;
        client.alpn_protocols = vec![b"h2".to_vec()];
        Ok(Configs { client: Arc::new(client), server: Arc::new(server) })
    }
}

fn chain(files: &TlsFiles) -> Result<Vec<CertificateDer<'static>>, PemError> {
    CertificateDer::pem_file_iter(&files.cert)?.collect()
}
