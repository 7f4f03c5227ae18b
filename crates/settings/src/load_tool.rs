//! The settings of the load tool: what it drives and what it watches.

use {
    crate::load::{Validate, require},
    derive_more::Debug,
    model::Name,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf},
};

/// A team whose callers are played.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadTeam {
    /// Its name.
    pub name: Name,
    /// The file that holds its token, on one line.
    pub token_file: PathBuf,
    /// Its share of the requests, against the other teams' shares.
    pub share: u32,
}

/// A router that takes requests.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadRouter {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where its metrics are read.
    pub admin: SocketAddr,
}

/// A stand-in engine whose load is watched.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadEngine {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// A stand-in runner of a plain service, which counts how often each key ran.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadPlainEndpoint {
    /// Its name.
    pub name: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// The settings of the load tool.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LoadSettings {
    /// The model that chats ask for.
    pub model: Name,
    /// The teams.
    pub team: Vec<LoadTeam>,
    /// The routers.
    pub router: Vec<LoadRouter>,
    /// The engines.
    #[serde(default)]
    pub engine: Vec<LoadEngine>,
    /// The runners of plain services.
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
