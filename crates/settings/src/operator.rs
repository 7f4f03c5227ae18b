//! The settings of the operator's command-line tool.

use {
    crate::file::{Validate, require},
    derive_more::Debug,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf},
};

/// The settings of `jf`.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorSettings {
    /// The admin addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// The file that holds the operator's token, on one line.
    pub token_file: PathBuf,
    /// Timeout of an operation, in milliseconds; default 15000.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

impl Validate for OperatorSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        require("control", !self.control.is_empty(), "expected at least one address")?;
        require("timeout-ms", self.timeout_ms > 0, "expected at least 1")
    }
}

fn default_timeout_ms() -> u64 {
    15_000
}
