//! The settings of a gateway, which is a router that selects the endpoint of each request by itself.

use {
    crate::{
        file::{Validate, require},
        intake::{IntakeSettings, validate_memory},
        listing::ListingSettings,
        log::LogSettings,
        tls::TlsFiles,
    },
    derive_more::Debug,
    model::{Domain, HostName, Name},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
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

/// How many requests cold endpoints get, relative to the rate that their service names.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ColdSettings {
    /// Requests in any second, as a multiple of the rate that the service names; default 1.
    pub over: f64,
    /// Additional requests in any second; default 0.
    pub slack: f64,
}

impl Default for ColdSettings {
    fn default() -> ColdSettings {
        ColdSettings { over: 1.0, slack: 0.0 }
    }
}

/// What happens to a request for which there is too little capacity to be on time.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case")]
pub enum Overload {
    /// It is refused.
    #[default]
    Refuse,
    /// It waits behind those that can be on time while it can still be answered by its deadline.
    AnswerLate,
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
    /// The memory that the platform allows this process, in megabytes; default 256. Connections and bodies of requests
    /// take at most two thirds of it together, and responses being received an eighth.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Limits on connections.
    #[serde(default)]
    pub intake: IntakeSettings,
    /// Polling of the list of endpoints while the control service provides none.
    #[serde(default)]
    pub listing: ListingSettings,
    /// Limits on retries.
    #[serde(default)]
    pub retries: RetrySettings,
    /// The region of each failure domain. A domain that is missing here is in no region.
    #[serde(default)]
    pub regions: BTreeMap<Domain, Name>,
    /// Limits on the requests to cold endpoints.
    #[serde(default)]
    pub cold: ColdSettings,
    /// What happens to requests that cannot be on time; default `refuse`.
    #[serde(default)]
    pub overload: Overload,
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
        validate_memory(self.memory_mb)?;
        self.intake.validate()?;
        require("grace-ms", self.grace_ms >= 1_000, "expected at least 1000")?;
        self.listing.validate()?;
        require("retries.ratio", self.retries.ratio >= 0.0, "expected at least 0")?;
        require("retries.slack", self.retries.slack >= 0.0, "expected at least 0")?;
        let is_named = |it: (&Domain, &Name)| !it.0.0.is_empty() && !it.1.is_empty();
        require("regions", self.regions.iter().all(is_named), "expected non-empty names")?;
        let ColdSettings { over, slack } = self.cold;
        require("cold.over", over.is_finite() && over > 0.0, "expected more than 0")?;
        require("cold.slack", slack.is_finite() && slack >= 0.0, "expected at least 0")
    }
}
