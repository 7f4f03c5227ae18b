//! The settings of a router.

use {
    crate::{
        file::{Validate, require},
        intake::{IntakeSettings, validate_memory},
        log::LogSettings,
        tls::{CertFiles, TlsFiles},
    },
    derive_more::{Debug, Display},
    model::{Domain, HostName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Maximum request body that fits into a frame between routers, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The policy by which a router selects endpoints; all but `owner` are baselines for measurements.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// The home endpoint of the chat, subject to the load bound, through the owner of the endpoint.
    #[default]
    #[display("owner")]
    Owner,
    /// The endpoints in rotation.
    #[display("round-robin")]
    RoundRobin,
    /// The endpoint with the lowest load in its last report.
    #[display("least-reported")]
    LeastReported,
    /// The home endpoint of the chat, without the load bound.
    #[display("rendezvous")]
    Rendezvous,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes; default 8 MiB.
    pub body_bytes: usize,
    /// Maximum size of the request headers, in bytes; default 32 KiB.
    pub header_bytes: usize,
    /// Maximum number of concurrent connections from callers; default 16384.
    pub connections: usize,
    /// Deadline of a request that sets none, in milliseconds; default 120000.
    pub deadline_default_ms: u64,
    /// Maximum deadline of a request, in milliseconds; longer ones are reduced to it; default 600000.
    pub deadline_max_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            body_bytes: 8 << 20,
            header_bytes: 32 << 10,
            connections: 16_384,
            deadline_default_ms: 120_000,
            deadline_max_ms: 600_000,
        }
    }
}

/// The settings of a router.
#[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RouterSettings {
    /// The platform's name for this host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: Domain,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address on which other routers connect.
    pub inner: SocketAddr,
    /// The address on which metrics, health and readiness are served to operators.
    pub admin: SocketAddr,
    /// The inner addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// TLS keys for connections between processes of the system; without them these connections are not encrypted.
    pub tls_inner: Option<TlsFiles>,
    /// TLS keys for connections from callers; without them these connections are not encrypted.
    pub tls_callers: Option<CertFiles>,
    /// The policy by which endpoints are selected; default `owner`.
    #[serde(default)]
    pub routing: Routing,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub limits: RequestLimits,
    /// The memory that this process may use, in megabytes; default 2048. Bodies of requests take at most a quarter of it
    /// together.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Limits on connections.
    #[serde(default)]
    pub intake: IntakeSettings,
    /// Logging of this process.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_memory_mb() -> f64 {
    2_048.0
}

impl Validate for RouterSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        let limits = &self.limits;
        validate_memory(self.memory_mb)?;
        self.intake.validate()?;
        require("host", !self.host.0.is_empty(), "expected a non-empty name")?;
        require("domain", !self.domain.0.is_empty(), "expected a non-empty name")?;
        require("control", !self.control.is_empty(), "expected at least one address")?;
        require("control", all_distinct(&self.control), "expected distinct addresses")?;
        require(
            "limits.body-bytes",
            is_valid_body_size(limits.body_bytes),
            "expected 1 to 16777216",
        )?;
        require("limits.header-bytes", limits.header_bytes >= 8 << 10, "expected at least 8192")?;
        require("limits.connections", limits.connections > 0, "expected at least 1")?;
        require(
            "limits.deadline-default-ms",
            limits.deadline_default_ms > 0,
            "expected at least 1",
        )?;
        require(
            "limits.deadline-max-ms",
            limits.deadline_max_ms >= limits.deadline_default_ms,
            "expected at least limits.deadline-default-ms",
        )
    }
}

fn is_valid_body_size(bytes: usize) -> bool {
    (1..=MAX_BODY_BYTES).contains(&bytes)
}

fn all_distinct(addrs: &[SocketAddr]) -> bool {
    addrs.iter().enumerate().all(|(index, it)| !addrs[..index].contains(it))
}
