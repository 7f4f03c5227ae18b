//! The intent as operators write it: TOML with names, no ids.

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

/// A team as written.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TeamSpec {
    /// Its name.
    pub name: Name,
    /// The digests of its tokens, as `sha256:` and hexadecimal digits.
    pub tokens: Vec<Name>,
    /// Its weight in fair queueing.
    #[serde(default = "one")]
    pub weight: u32,
    /// The priority that its requests carry to engines; higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Requests a second, over the fleet.
    pub rate_per_second: u32,
    /// Requests that may run at once, over the fleet.
    pub running: u32,
    /// Requests that may wait at one owner.
    pub queued: u32,
    /// The services that it may call; empty: all.
    #[serde(default)]
    pub services: Vec<Name>,
}

/// A service as written.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Name,
    /// What kind of endpoints it has.
    pub kind: ServiceKind,
    /// The bound as a multiple of the mean load, in thousandths.
    pub bound_permille: u32,
    /// The fewest endpoints that must stay in service during a change.
    pub minimum: u32,
    /// How long a non-idempotent claim is kept, in milliseconds.
    pub claim_ms: u64,
}

/// An endpoint as written.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EndpointSpec {
    /// Its name.
    pub name: Name,
    /// The name of its service.
    pub service: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its relative speed, in thousandths of a standard endpoint.
    #[serde(default = "thousand")]
    pub weight_permille: u32,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Whether it takes work.
    #[serde(default = "active")]
    pub state: EndpointState,
    /// What it should carry; empty for a plain service.
    #[serde(default)]
    pub images: Vec<ImageSpec>,
}

/// A model, with an optional adapter, at a version, as written.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct ImageSpec {
    /// The model.
    pub model: Name,
    /// The adapter; empty for the bare model.
    #[serde(default)]
    pub adapter: Name,
    /// The version of the weights.
    pub version: Name,
}

impl Document {
    /// Reads TOML.
    ///
    /// # Errors
    ///
    /// The text is no TOML of this form; the message names the place.
    pub fn parse(text: &str) -> Result<Document, String> {
        toml::from_str(text).map_err(|it| it.to_string())
    }
}

fn one() -> u32 {
    1
}

fn thousand() -> u32 {
    1_000
}

fn active() -> EndpointState {
    EndpointState::Active
}
