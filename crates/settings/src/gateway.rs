//! The settings of a gateway, which is a router that selects the endpoint of each request by itself.

use {
    crate::{
        file::{Validate, require},
        listing::ListingSettings,
        log::LogSettings,
        tls::TlsFiles,
    },
    derive_more::Debug,
    model::{Domain, HostName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Limits on retries.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed per request of a service; default 0.1.
    pub ratio: f64,
    /// Additional retries allowed in each accounting window, for the whole fleet; default 20.
    pub slack: f64,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings { ratio: 0.1, slack: 20.0 }
    }
}

/// The settings of a gateway.
#[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatewaySettings {
    /// The platform's name for this host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: Domain,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address on which readiness and metrics are served.
    pub admin: SocketAddr,
    /// The address on which other gateways send load reports (UDP) and request configurations (TCP).
    pub inner: SocketAddr,
    /// The inner addresses of control replicas, from which further replicas are discovered.
    pub control: Vec<SocketAddr>,
    /// The address from which the list of endpoints is read (`GET /endpoints`); not needed in a deployment with its own
    /// directory.
    pub directory: Option<SocketAddr>,
    /// TLS keys for connections between processes of the system; without them these connections are not encrypted.
    pub tls_inner: Option<TlsFiles>,
    /// Milliseconds from a termination signal until the process must have exited; default 8000.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Maximum number of concurrent connections from callers; default 1500.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// The memory that the platform allows this process, in megabytes; default 256. Responses being received take at most
    /// an eighth of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Polling of the list of endpoints while the control service provides none.
    #[serde(default)]
    pub listing: ListingSettings,
    /// Limits on retries.
    #[serde(default)]
    pub retries: RetrySettings,
    /// Logging of this process.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_grace_ms() -> u64 {
    8_000
}

fn default_connections() -> usize {
    1_500
}

fn default_memory_mb() -> f64 {
    256.0
}

impl Validate for GatewaySettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        require("host", !self.host.0.is_empty(), "expected a non-empty name")?;
        require("domain", !self.domain.0.is_empty(), "expected a non-empty name")?;
        require("control", !self.control.is_empty(), "expected at least one address")?;
        require("connections", self.connections > 0, "expected at least 1")?;
        require("memory-mb", self.memory_mb >= 32.0, "expected at least 32")?;
        require("grace-ms", self.grace_ms >= 1_000, "expected at least 1000")?;
        self.listing.validate()?;
        require("retries.ratio", self.retries.ratio >= 0.0, "expected at least 0")?;
        require("retries.slack", self.retries.slack >= 0.0, "expected at least 0")
    }
}
