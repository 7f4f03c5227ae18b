//! The settings of a control replica.

use {
    crate::TlsFiles,
    model::{Domain, HostName, ReplicaId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf},
};

/// Another control replica.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ControlPeer {
    /// Its id.
    pub id: ReplicaId,
    /// Where replicas and routers reach it.
    pub inner: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// The limits of the weight store, by which loading times are told and loads are spaced.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct WeightLimits {
    /// The bytes of one image; default 16 GiB.
    pub image_bytes: u64,
    /// The bytes a second that the store gives to the whole fleet; default 1 GiB.
    pub rate_bytes: u64,
}

impl Default for WeightLimits {
    fn default() -> WeightLimits {
        WeightLimits { image_bytes: 16 << 30, rate_bytes: 1 << 30 }
    }
}

/// The settings of a control replica.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ControlSettings {
    /// The platform's name for this host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: Domain,
    /// The id of this replica.
    pub replica: ReplicaId,
    /// The folder that holds all of its state.
    pub data: PathBuf,
    /// Where replicas and routers connect.
    pub inner: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// The other replicas; none: this replica alone is the quorum.
    #[serde(default, rename = "peer")]
    pub peers: Vec<ControlPeer>,
    /// The TOML file of operators: `[[operator]]` tables with `name` and `token = "sha256:..."`.
    pub operators: PathBuf,
    /// Keys between the system's own processes; without them these connections are in the clear.
    pub tls_inner: Option<TlsFiles>,
    /// What the weight store allows.
    #[serde(default)]
    pub weights: WeightLimits,
}
