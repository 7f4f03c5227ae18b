//! The settings of a control replica.

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
    std::{collections::BTreeSet, net::SocketAddr, path::PathBuf},
};

/// Another control replica.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ControlPeer {
    /// Where replicas and routers reach it.
    pub inner: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// The limits of the weight store, by which loading times are told and loads are spaced.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct WeightStoreLimits {
    /// The bytes of one image; default 16 GiB.
    pub image_bytes: u64,
    /// The bytes a second that the store gives to the whole fleet; default 1 GiB.
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
    /// The folder that holds all of its state.
    pub data: PathBuf,
    /// Where replicas and routers connect.
    pub inner: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where replicas and routers reach this one if that is not `inner`, as behind a forwarder.
    pub advertise: Option<SocketAddr>,
    /// The inner addresses that the group is formed from and found by, in place of `peer`; replicas may have moved to
    /// other addresses since.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether no group exists yet; with `seeds` only.
    #[serde(default)]
    pub bootstrap: bool,
    /// How many replicas may be lost at once; with `seeds` only, the group has twice as many voters and one; default 1.
    #[serde(default = "default_tolerance")]
    pub tolerance: usize,
    /// The bandwidth of this host's link in Mbit/s, which the timeouts of the group and the size of its messages follow;
    /// default 1000.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Where the list of endpoints is read (`GET /endpoints`) for the gateways; without it they read it themselves.
    pub directory: Option<SocketAddr>,
    /// How often the list of endpoints is read.
    #[serde(default)]
    pub listing: ListingSettings,
    /// The other replicas; none: this replica alone is the quorum.
    #[serde(default, rename = "peer")]
    pub peers: Vec<ControlPeer>,
    /// The TOML file of operators: `[[operator]]` tables with `name` and `token = "sha256:..."`; without it nobody
    /// may use the admin API.
    pub operators: Option<PathBuf>,
    /// Keys between the system's own processes; without them these connections are in the clear.
    pub tls_inner: Option<TlsFiles>,
    /// Where the platform's host list is read; without it a router that is lost for good keeps its shares.
    pub host_list: Option<SocketAddr>,
    /// What the weight store allows.
    #[serde(default)]
    pub weights: WeightStoreLimits,
    /// How this process logs.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_link() -> f64 {
    1_000.0
}

fn default_tolerance() -> usize {
    1
}

impl Validate for ControlSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        let inner: BTreeSet<_> = self.peers.iter().map(|it| it.inner).collect();
        let admin: BTreeSet<_> = self.peers.iter().map(|it| it.admin).collect();
        let count = self.peers.len();
        require("host", !self.host.0.is_empty(), "expected a name, found an empty one")?;
        require("domain", !self.domain.0.is_empty(), "expected a name, found an empty one")?;
        require("inner", !inner.contains(&self.inner), "expected an address that no peer has")?;
        require("admin", !admin.contains(&self.admin), "expected an address that no peer has")?;
        require("seeds", self.seeds.is_empty() || count == 0, "expected either seeds or peers")?;
        require("tolerance", self.tolerance <= 8, "expected at most 8")?;
        require("link-mbps", self.link_mbps > 0.0, "expected more than zero")?;
        self.listing.validate()?;
        require(
            "peer",
            inner.len() == count && admin.len() == count,
            "expected each address once",
        )?;
        require("weights.rate-bytes", self.weights.rate_bytes > 0, "expected at least 1")?;
        require("weights.image-bytes", self.weights.image_bytes > 0, "expected at least 1")
    }
}
