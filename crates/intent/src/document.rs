//! The desired state as operators write it: TOML with names instead of ids.

use {
    derive_more::Debug,
    model::{Domain, EndpointState, Fencing, Name, ServiceKind},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The whole desired state.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The teams.
    #[serde(default, rename = "team")]
    pub teams: Vec<TeamSpec>,
    /// The services.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSpec>,
    /// The endpoints.
    #[serde(default, rename = "endpoint")]
    pub endpoints: Vec<EndpointSpec>,
}

/// A team in the document.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TeamSpec {
    /// The name.
    pub name: Name,
    /// The digests of its tokens, as `sha256:` followed by hexadecimal digits.
    pub tokens: Vec<Name>,
    /// The weight in fair queueing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The priority that its requests carry to engines; higher values are scheduled first.
    #[serde(default)]
    pub priority: u8,
    /// Requests per second, over the whole fleet.
    pub rate_per_second: u32,
    /// Concurrently running requests, over the whole fleet.
    pub running: u32,
    /// Requests that may queue at one owner.
    pub queued: u32,
    /// The services that the team may call; empty means all.
    #[serde(default)]
    pub services: Vec<Name>,
}

/// A service in the document.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name.
    pub name: Name,
    /// The kind of its endpoints.
    pub kind: ServiceKind,
    /// The load bound of an endpoint as a multiple of the mean load, in thousandths.
    pub bound_permille: u32,
    /// The minimum number of endpoints that must stay in service during a change.
    pub minimum: u32,
    /// How long the claim of a non-idempotent request is kept, in milliseconds.
    pub claim_ms: u64,
}

/// An endpoint in the document.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EndpointSpec {
    /// The name.
    pub name: Name,
    /// The name of the service that it belongs to.
    pub service: Name,
    /// The address on which the endpoint listens.
    pub addr: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: Domain,
    /// The relative speed, in thousandths of a standard endpoint.
    #[serde(default = "default_weight_permille")]
    pub weight_permille: u32,
    /// Whether the endpoint checks fencing tokens.
    pub fencing: Fencing,
    /// Whether the endpoint accepts requests.
    #[serde(default = "default_state")]
    pub state: EndpointState,
    /// The images that should be loaded; empty for a plain service.
    #[serde(default)]
    pub images: Vec<ImageSpec>,
}

/// A model at a version, with an optional adapter, in the document.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct ImageSpec {
    /// The name of the model.
    pub model: Name,
    /// The name of the adapter; empty for the base model.
    #[serde(default)]
    pub adapter: Name,
    /// The version of the weights.
    pub version: Name,
}

impl Document {
    /// Parses a TOML document.
    ///
    /// # Errors
    ///
    /// The text is not valid TOML or does not have this structure; the message names the position.
    pub fn parse(text: &str) -> Result<Document, String> {
        toml::from_str(text).map_err(|it| it.to_string())
    }
}

fn default_weight() -> u32 {
    1
}

fn default_weight_permille() -> u32 {
    1_000
}

fn default_state() -> EndpointState {
    EndpointState::Active
}
