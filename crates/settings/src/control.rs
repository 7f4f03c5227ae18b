//! The settings of a control replica.

use {
    crate::{
        file::{Validate, require},
        intake::{IntakeSettings, validate_memory},
        listing::ListingSettings,
        log::LogSettings,
        tls::TlsFiles,
    },
    derive_more::Debug,
    model::{Domain, HostName},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::SocketAddr, path::PathBuf},
};

/// Another control replica.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ControlPeer {
    /// The address at which replicas and routers reach it.
    pub inner: SocketAddr,
    /// The address at which operators reach it.
    pub admin: SocketAddr,
}

/// The limits of the weight store, from which loading times are estimated and by which loads are spaced.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct WeightStoreLimits {
    /// Size of one image, in bytes; default 16 GiB.
    pub image_bytes: u64,
    /// Rate at which the store serves the whole fleet, in bytes per second; default 1 GiB.
    pub rate_bytes: u64,
}

impl Default for WeightStoreLimits {
    fn default() -> WeightStoreLimits {
        WeightStoreLimits { image_bytes: 16 << 30, rate_bytes: 1 << 30 }
    }
}

/// The settings of a control replica.
#[derive(Clone, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ControlSettings {
    /// The platform's name for this host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: Domain,
    /// The directory that holds all state of the replica.
    pub data: PathBuf,
    /// The address on which replicas and routers connect.
    pub inner: SocketAddr,
    /// The address on which operators connect.
    pub admin: SocketAddr,
    /// The address at which replicas and routers reach this replica if it differs from `inner`, for example behind a
    /// forwarding proxy.
    pub advertise: Option<SocketAddr>,
    /// The inner addresses by which the group is formed and discovered, as an alternative to `peer`; replicas may have
    /// moved to other addresses since.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether to form a new group because none exists yet; only with `seeds`.
    #[serde(default)]
    pub bootstrap: bool,
    /// Number of replicas that may be lost at once, which makes a group of twice as many voters plus one; only with
    /// `seeds`; default 1.
    #[serde(default = "default_tolerance")]
    pub tolerance: usize,
    /// Bandwidth of this host's network link in Mbit/s, which determines the timeouts and message sizes of the group;
    /// default 1000.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// The address from which the list of endpoints is read for the gateways (`GET /endpoints`); without it the gateways
    /// read the list themselves.
    pub directory: Option<SocketAddr>,
    /// How often the list of endpoints is read.
    #[serde(default)]
    pub listing: ListingSettings,
    /// The other replicas; if there are none, this replica alone is the quorum.
    #[serde(default, rename = "peer")]
    pub peers: Vec<ControlPeer>,
    /// The TOML file of operators: `[[operator]]` tables with `name` and `token = "sha256:..."`; without it nobody
    /// may use the admin API.
    pub operators: Option<PathBuf>,
    /// TLS keys for connections between processes of the system; without them these connections are not encrypted.
    pub tls_inner: Option<TlsFiles>,
    /// The address from which the platform's host list is read; without it a permanently lost router keeps its shares.
    pub host_list: Option<SocketAddr>,
    /// The memory that the platform allows this process, in megabytes; default 256. Documents of operators take at most a
    /// quarter of it together while they are received and handled, and messages of other processes another quarter.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Limits on connections.
    #[serde(default)]
    pub intake: IntakeSettings,
    /// Limits of the weight store.
    #[serde(default)]
    pub weights: WeightStoreLimits,
    /// Logging of this process.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_link_mbps() -> f64 {
    1_000.0
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_tolerance() -> usize {
    1
}

impl Validate for ControlSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        let inner: BTreeSet<_> = self.peers.iter().map(|it| it.inner).collect();
        let admin: BTreeSet<_> = self.peers.iter().map(|it| it.admin).collect();
        let peer_count = self.peers.len();
        require("host", !self.host.0.is_empty(), "expected a non-empty name")?;
        require("domain", !self.domain.0.is_empty(), "expected a non-empty name")?;
        require("inner", !inner.contains(&self.inner), "expected an address that no peer has")?;
        require("admin", !admin.contains(&self.admin), "expected an address that no peer has")?;
        require(
            "seeds",
            self.seeds.is_empty() || peer_count == 0,
            "expected either seeds or peers",
        )?;
        require("tolerance", self.tolerance <= 8, "expected at most 8")?;
        require("link-mbps", self.link_mbps > 0.0, "expected more than 0")?;
        validate_memory(self.memory_mb)?;
        self.intake.validate()?;
        self.listing.validate()?;
        require(
            "peer",
            inner.len() == peer_count && admin.len() == peer_count,
            "expected distinct addresses",
        )?;
        require("weights.rate-bytes", self.weights.rate_bytes > 0, "expected at least 1")?;
        require("weights.image-bytes", self.weights.image_bytes > 0, "expected at least 1")
    }
}
