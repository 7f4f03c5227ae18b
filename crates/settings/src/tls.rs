//! Where a process finds its keys.

use {
    serde::{Deserialize, Serialize},
    std::path::PathBuf,
};

/// The PEM files of one identity.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// The certificates of the authorities that peers must come from.
    pub ca: PathBuf,
    /// This process's certificate chain.
    pub cert: PathBuf,
    /// This process's private key.
    pub key: PathBuf,
}

/// The PEM files by which a process proves itself to callers, who show no certificate.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct CertFiles {
    /// The certificate chain.
    pub cert: PathBuf,
    /// The private key.
    pub key: PathBuf,
}
