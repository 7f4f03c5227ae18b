//! Paths of TLS certificates and keys.

use {
    serde::{Deserialize, Serialize},
    std::path::PathBuf,
};

/// The PEM files of the identity of a process.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// The certificate authorities that must have signed the certificates of peers.
    pub ca: PathBuf,
    /// The certificate chain of this process.
    pub cert: PathBuf,
    /// The private key of this process.
    pub key: PathBuf,
}

/// The PEM files by which a process authenticates itself to callers, which present no certificate.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct CertFiles {
    /// The certificate chain.
    pub cert: PathBuf,
    /// The private key.
    pub key: PathBuf,
}
