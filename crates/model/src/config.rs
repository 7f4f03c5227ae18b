//! The configuration that is in force: teams, services and endpoints at one revision.
//!
//! The `intent` crate decides what may be committed; here is only what routers hold. A [`Config`] moves from one
//! revision to the next by a [`Delta`], whose digest chains to the digest before it: a router that applied a chain
//! holds exactly what the quorum committed, and a delta that does not fit is refused rather than guessed at.

use {
    crate::id::{Digest, Domain, EndpointId, Name, Revision, ServiceId, TeamId},
    derive_more::{Debug, Display, Error},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// What a team may use.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Limits {
    /// Requests a second, over the fleet.
    pub rate: u32,
    /// Requests that may run at once, over the fleet.
    pub running: u32,
    /// Requests that may wait at one owner.
    pub queued: u32,
}

/// The callers of one organisation unit.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Team {
    /// Its id.
    pub id: TeamId,
    /// Its name.
    pub name: Name,
    /// The digests of its tokens.
    pub tokens: SmallVec<[Digest; 2]>,
    /// Its weight in fair queueing.
    pub weight: u32,
    /// The priority that its requests carry to engines; higher goes first.
    pub priority: u8,
    /// What it may use.
    pub limits: Limits,
    /// The services that it may call; empty: all.
    pub services: SmallVec<[ServiceId; 4]>,
}

/// What kind of endpoints a service has.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with a prompt cache; load is tokens still to compute.
    #[display("model")]
    Model,
    /// Plain HTTP; load is running calls.
    #[display("plain")]
    Plain,
}

/// A set of endpoints that answer the same requests.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Service {
    /// Its id.
    pub id: ServiceId,
    /// Its name.
    pub name: Name,
    /// What kind of endpoints it has.
    pub kind: ServiceKind,
    /// The bound as a multiple of the mean load, in thousandths (1250 is 1.25).
    pub bound: u32,
    /// The fewest endpoints that must stay in service during a rolling change.
    pub minimum: u32,
    /// How long a non-idempotent claim is kept, in milliseconds.
    pub claim_ms: u64,
}

/// Whether an endpoint refuses orders that carry an old fencing number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses them.
    #[display("checked")]
    Checked,
    /// It carries out whatever arrives.
    #[display("ignored")]
    Ignored,
}

/// What an operator wants of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It takes work.
    #[display("active")]
    Active,
    /// It finishes what it has and takes nothing new.
    #[display("draining")]
    Draining,
}

/// A model, with an optional adapter, at a version.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display)]
#[display("{model}/{adapter}@{version}")]
pub struct Image {
    /// The model.
    pub model: Name,
    /// The adapter; empty for the bare model.
    pub adapter: Name,
    /// The version of the weights.
    pub version: Name,
}

/// One runner of a service.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its name.
    pub name: Name,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its relative speed, in thousandths of a standard endpoint.
    pub weight: u32,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Whether it takes work.
    pub state: EndpointState,
    /// What it should carry; empty for a plain service.
    pub images: SmallVec<[Image; 2]>,
}

/// Everything that routers need to know, at one revision.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Config {
    /// Its number.
    pub revision: Revision,
    /// The chain digest of all deltas that led here.
    pub digest: Digest,
    /// The teams.
    pub teams: BTreeMap<TeamId, Arc<Team>>,
    /// The services.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// The endpoints.
    pub endpoints: BTreeMap<EndpointId, Arc<Endpoint>>,
}

/// One step of a delta.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Change {
    /// Adds or replaces a team.
    SetTeam(Arc<Team>),
    /// Removes a team.
    DropTeam(TeamId),
    /// Adds or replaces a service.
    SetService(Arc<Service>),
    /// Removes a service.
    DropService(ServiceId),
    /// Adds or replaces an endpoint.
    SetEndpoint(Arc<Endpoint>),
    /// Removes an endpoint.
    DropEndpoint(EndpointId),
}

/// What leads from one revision to the next.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Delta {
    /// The revision that it applies to.
    pub base: Revision,
    /// The chain digest after it.
    pub digest: Digest,
    /// The steps, in order.
    pub changes: Arc<[Change]>,
}

/// Why a delta was not applied.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// The delta belongs to another revision.
    #[display("delta applies to {base}, in force is {current}")]
    Base {
        /// The revision that it applies to.
        base: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The digest does not chain to the one in force.
    #[display("delta on {base} breaks the digest chain")]
    Chain {
        /// The revision that it applies to.
        base: Revision,
    },
    /// The changes cannot be encoded.
    #[display("changes cannot be encoded")]
    Encode,
}

impl Config {
    /// Returns the delta that carries out `changes` on this configuration.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Encode`] if the changes cannot be encoded.
    pub fn delta(&self, changes: Arc<[Change]>) -> Result<Delta, ConfigError> {
        let digest = self.next_digest(&changes)?;
        Ok(Delta { base: self.revision, digest, changes })
    }

    /// Moves to the next revision.
    ///
    /// # Errors
    ///
    /// The delta belongs to another revision or breaks the chain; nothing is changed then.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ConfigError> {
        if delta.base != self.revision {
            return Err(ConfigError::Base { base: delta.base, current: self.revision });
        }
        if self.next_digest(&delta.changes)? != delta.digest {
            return Err(ConfigError::Chain { base: delta.base });
        }
        delta.changes.iter().for_each(|it| self.change(it));
        self.revision = self.revision.next();
        self.digest = delta.digest;
        Ok(())
    }

    fn next_digest(&self, changes: &[Change]) -> Result<Digest, ConfigError> {
        let bytes = bincode::serde::encode_to_vec(changes, bincode::config::standard())
            .map_err(|_| ConfigError::Encode)?;
        Ok(self.digest.chain(&bytes))
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::SetTeam(it) => drop(self.teams.insert(it.id, it.clone())),
            Change::DropTeam(id) => drop(self.teams.remove(id)),
            Change::SetService(it) => drop(self.services.insert(it.id, it.clone())),
            Change::DropService(id) => drop(self.services.remove(id)),
            Change::SetEndpoint(it) => drop(self.endpoints.insert(it.id, it.clone())),
            Change::DropEndpoint(id) => drop(self.endpoints.remove(id)),
        }
    }
}
