//! The settings of a gateway: a router that decides by itself where its requests run.

use {
    crate::{
        listing::ListingSettings,
        load::{Validate, require},
        log::LogSettings,
        tls::TlsFiles,
    },
    derive_more::Debug,
    model::{Domain, HostName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How much may be sent again.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeated sends for each request of a service; default 0.1.
    pub ratio: f64,
    /// Repeated sends beyond that in the window over which operators count, for the whole fleet; default 20.
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
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness and metrics are read.
    pub admin: SocketAddr,
    /// Where other gateways send load reports, by UDP.
    pub inner: SocketAddr,
    /// The inner addresses of control replicas; others are learned from them.
    pub control: Vec<SocketAddr>,
    /// Where the list of endpoints is read (`GET /endpoints`); a deployment with a directory of its own needs none.
    pub directory: Option<SocketAddr>,
    /// Keys between the system's own processes; without them these connections are in the clear.
    pub tls_inner: Option<TlsFiles>,
    /// Milliseconds from a termination signal until the process must have ended; default 8000.
    #[serde(default = "default_grace")]
    pub grace_ms: u64,
    /// Callers' connections at once; default 1500.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// How often the list of endpoints is read while control tells of none.
    #[serde(default)]
    pub listing: ListingSettings,
    /// How much may be sent again.
    #[serde(default)]
    pub retries: RetrySettings,
    /// How this process logs.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_grace() -> u64 {
    8_000
}

fn default_connections() -> usize {
    1_500
}

impl Validate for GatewaySettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        require("host", !self.host.0.is_empty(), "expected a name, found an empty one")?;
        require("domain", !self.domain.0.is_empty(), "expected a name, found an empty one")?;
        require("control", !self.control.is_empty(), "expected at least one address")?;
        require("connections", self.connections > 0, "expected at least 1")?;
        require("grace-ms", self.grace_ms >= 1_000, "expected at least 1000")?;
        self.listing.validate()?;
        require("retries.ratio", self.retries.ratio >= 0.0, "expected zero or more")?;
        require("retries.slack", self.retries.slack >= 0.0, "expected zero or more")
    }
}
