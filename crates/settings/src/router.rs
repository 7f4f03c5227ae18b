//! The settings of a router.

use {
    crate::{
        load::{Validate, require},
        log::LogSettings,
        tls::{CertFiles, TlsFiles},
    },
    derive_more::{Debug, Display},
    model::{Domain, HostName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The largest body that fits a frame between routers, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// How a router chooses an endpoint; all but `owner` are baselines for measurements.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Routing {
    /// The home of the chat, inside the bound, by way of the endpoint's owner.
    #[default]
    #[display("owner")]
    Owner,
    /// Each endpoint in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The endpoint that last reported the least load.
    #[display("least-reported")]
    LeastReported,
    /// The home of the chat, without the bound.
    #[display("rendezvous")]
    Rendezvous,
}

/// What one request may cost.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Bytes of a body; default 8 MiB.
    pub body_bytes: usize,
    /// Bytes of the headers; default 32 KiB.
    pub header_bytes: usize,
    /// Callers' connections at once; default 16384.
    pub connections: usize,
    /// Milliseconds until the deadline of a request that sets none; default 120000.
    pub deadline_default_ms: u64,
    /// The most milliseconds that a request may set; default 600000.
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
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RouterSettings {
    /// The platform's name for this host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other routers connect.
    pub inner: SocketAddr,
    /// Where operators read metrics, health and readiness.
    pub admin: SocketAddr,
    /// The inner addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Keys between the system's own processes; without them these connections are in the clear.
    pub tls_inner: Option<TlsFiles>,
    /// Keys towards callers; refused until routers serve TLS there, so that no one takes clear text for secret.
    pub tls_callers: Option<CertFiles>,
    /// How endpoints are chosen; default `owner`.
    #[serde(default)]
    pub routing: Routing,
    /// What one request may cost.
    #[serde(default)]
    pub limits: RequestLimits,
    /// How this process logs.
    #[serde(default)]
    pub log: LogSettings,
}

impl Validate for RouterSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        let limits = &self.limits;
        require("host", !self.host.0.is_empty(), "expected a name, found an empty one")?;
        require("domain", !self.domain.0.is_empty(), "expected a name, found an empty one")?;
        require("control", !self.control.is_empty(), "expected at least one address")?;
        require("control", distinct(&self.control), "expected each address once")?;
        require("limits.body-bytes", in_range(limits.body_bytes), "expected 1 to 16777216")?;
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

fn in_range(bytes: usize) -> bool {
    (1..=MAX_BODY_BYTES).contains(&bytes)
}

fn distinct(addrs: &[SocketAddr]) -> bool {
    addrs.iter().enumerate().all(|(at, it)| !addrs[..at].contains(it))
}
