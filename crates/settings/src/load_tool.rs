//! The settings of the load tool: the routers that it loads and the endpoints that it monitors.

use {
    crate::file::{Validate, require},
    derive_more::Debug,
    model::Name,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf},
};

/// A team whose callers are simulated.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadTeam {
    /// The name of the team.
    pub name: Name,
    /// The file that holds the team's bearer token, on one line.
    pub token_file: PathBuf,
    /// The weight of the team's share of the requests, relative to the other teams.
    pub share: u32,
}

/// A router to which requests are sent.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadRouter {
    /// The address at which callers connect.
    pub listen: SocketAddr,
    /// The address from which metrics are read.
    pub admin: SocketAddr,
}

/// A stand-in engine whose load is monitored.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadEngine {
    /// The name of the engine.
    pub name: Name,
    /// The address on which it listens.
    pub addr: SocketAddr,
}

/// A stand-in endpoint of a plain service, which counts how often each idempotency key ran.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadPlainEndpoint {
    /// The name of the endpoint.
    pub name: Name,
    /// The service to which it belongs.
    pub service: Name,
    /// The address on which it listens.
    pub addr: SocketAddr,
}

/// The settings of the load tool.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadSettings {
    /// The model that chats request.
    pub model: Name,
    /// The teams.
    pub team: Vec<LoadTeam>,
    /// The routers.
    pub router: Vec<LoadRouter>,
    /// The engines.
    #[serde(default)]
    pub engine: Vec<LoadEngine>,
    /// The endpoints of plain services.
    #[serde(default)]
    pub plain: Vec<LoadPlainEndpoint>,
}

impl Validate for LoadSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        let shares: u64 = self.team.iter().map(|it| u64::from(it.share)).sum();
        require("router", !self.router.is_empty(), "expected at least one")?;
        require("team", !self.team.is_empty(), "expected at least one")?;
        require("team.share", shares > 0, "expected at least one share above 0")
    }
}
