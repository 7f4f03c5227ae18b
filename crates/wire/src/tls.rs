//! Mutual TLS between the processes of the system, with keys that are reloaded without a restart.

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

/// The interval at which the certificates and the key are reloaded.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// The DNS name in the certificates of all processes.
pub(crate) const SERVER_NAME: &str = "jasminefront";

/// The TLS identity of this process: its certificate and key, and the trusted authority.
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
    /// Reads the certificates and the key.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or the key does not match the certificate.
    pub fn open(files: &TlsFiles) -> Result<Identity, Box<dyn StdError + Send + Sync>> {
        let configs = Configs::load(files)?;
        Ok(Identity {
            files: Arc::new(files.clone()),
            configs: Arc::new(ArcSwap::from_pointee(configs)),
        })
    }

    /// Reloads the certificates and the key. New connections use them.
    ///
    /// # Errors
    ///
    /// As for [`Identity::open`]; the current certificates and key remain in use.
    pub fn reload(&self) -> Result<(), Box<dyn StdError + Send + Sync>> {
        self.configs.store(Arc::new(Configs::load(&self.files)?));
        Ok(())
    }

    /// Reloads the certificates and the key every 10 seconds and never returns. If they cannot be
    /// read, the current ones remain in use.
    pub async fn reload_periodically(self) {
        let mut timer = interval(RELOAD_INTERVAL);
        loop {
            timer.tick().await;
            if let Err(err) = self.reload() {
                tracing::warn!("wire: failed to reload the TLS keys: {err}");
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
        ServerName::try_from(SERVER_NAME)
    }
}

impl Configs {
    fn load(files: &TlsFiles) -> Result<Configs, Box<dyn StdError + Send + Sync>> {
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
            .with_single_cert(read_chain(files)?, PrivateKeyDer::from_pem_file(&files.key)?)?;
        server.alpn_protocols = vec![b"h2".to_vec()];
        let mut client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots)
            .with_client_auth_cert(read_chain(files)?, PrivateKeyDer::from_pem_file(&files.key)?)?;
        client.alpn_protocols = vec![b"h2".to_vec()];
        Ok(Configs { client: Arc::new(client), server: Arc::new(server) })
    }
}

fn read_chain(files: &TlsFiles) -> Result<Vec<CertificateDer<'static>>, PemError> {
    CertificateDer::pem_file_iter(&files.cert)?.collect()
}
