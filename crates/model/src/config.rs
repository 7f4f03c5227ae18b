//! The configuration in force: teams, services and endpoints at one revision.
//!
//! The `intent` crate decides what may be committed; this module holds only what routers need. A
//! [`Config`] moves from one revision to the next by a [`Delta`] whose digest chains to the
//! previous one. A router that applied the whole chain therefore holds exactly what the quorum
//! committed, and a delta that does not fit is rejected.

use {
    crate::id::{Digest, Domain, EndpointId, Name, Revision, ServiceId, TeamId},
    derive_more::{Debug, Display, Error},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// The limits of a team.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Limits {
    /// Requests per second, over the whole fleet.
    pub rate: u32,
    /// Concurrently running requests, over the whole fleet.
    pub running: u32,
    /// Requests that may queue at one owner.
    pub queued: u32,
}

/// A team: the callers of one organisational unit.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Team {
    /// The id of the team.
    pub id: TeamId,
    /// The name chosen by the operators.
    pub name: Name,
    /// The digests of the tokens that its callers present.
    pub tokens: SmallVec<[Digest; 2]>,
    /// The weight in fair queueing.
    pub weight: u32,
    /// The priority that its requests carry to engines; higher values are scheduled first.
    pub priority: u8,
    /// The limits of the team.
    pub limits: Limits,
    /// The services that the team may call; empty means all.
    pub services: SmallVec<[ServiceId; 4]>,
}

/// The kind of the endpoints of a service.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with a prompt cache; load is measured in tokens still to compute.
    #[display("model")]
    Model,
    /// Plain HTTP servers; load is the number of running calls.
    #[display("plain")]
    Plain,
}

/// A set of endpoints that serve the same requests.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Service {
    /// The id of the service.
    pub id: ServiceId,
    /// The name chosen by the operators.
    pub name: Name,
    /// The kind of its endpoints.
    pub kind: ServiceKind,
    /// The load bound of an endpoint as a multiple of the mean load, in thousandths (1250 is 1.25).
    pub bound: u32,
    /// The minimum number of endpoints that must stay in service during a rolling change.
    pub minimum: u32,
    /// How long the claim of a non-idempotent request is kept, in milliseconds.
    pub claim_ms: u64,
}

/// Whether an endpoint rejects orders with a stale fencing token.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The endpoint rejects stale orders.
    #[display("checked")]
    Checked,
    /// The endpoint executes every order that arrives.
    #[display("ignored")]
    Ignored,
}

/// The desired state of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[display("active")]
    Active,
    /// The endpoint finishes its running requests and accepts no new ones.
    #[display("draining")]
    Draining,
}

/// A model at a version, with an optional adapter.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display)]
#[display("{model}/{adapter}@{version}")]
pub struct Image {
    /// The name of the model.
    pub model: Name,
    /// The name of the adapter; empty for the base model.
    pub adapter: Name,
    /// The version of the weights.
    pub version: Name,
}

/// An instance of a service.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Endpoint {
    /// The id of the endpoint.
    pub id: EndpointId,
    /// The name chosen by the operators.
    pub name: Name,
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// The address on which the endpoint listens.
    pub addr: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: Domain,
    /// The relative speed, in thousandths of a standard endpoint.
    pub weight: u32,
    /// Whether the endpoint checks fencing tokens.
    pub fencing: Fencing,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// The images that should be loaded; empty for a plain service.
    pub images: SmallVec<[Image; 2]>,
}

/// The configuration that routers work with, at one revision.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Config {
    /// The number of this configuration.
    pub revision: Revision,
    /// The chained digest of all deltas up to this revision.
    pub digest: Digest,
    /// The teams by id.
    pub teams: BTreeMap<TeamId, Arc<Team>>,
    /// The services by id.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// The endpoints by id.
    pub endpoints: BTreeMap<EndpointId, Arc<Endpoint>>,
}

/// A single change in a delta.
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

/// The changes from one revision to the next.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Delta {
    /// The revision that the delta applies to.
    pub base: Revision,
    /// The chained digest after the delta is applied.
    pub digest: Digest,
    /// The changes, in the order of application.
    pub changes: Arc<[Change]>,
}

/// The reason why a delta was not applied.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// The delta applies to another revision.
    #[display("delta applies to {base}, but the current revision is {current}")]
    Base {
        /// The revision that the delta applies to.
        base: Revision,
        /// The revision in force.
        current: Revision,
    },
    /// The digest of the delta does not chain to the digest in force.
    #[display("digest of the delta for {base} does not match the digest chain")]
    Chain {
        /// The revision that the delta applies to.
        base: Revision,
    },
    /// The changes cannot be encoded.
    #[display("failed to encode configuration changes")]
    Encode,
}

impl Config {
    /// Creates the delta that makes `changes` to this configuration.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Encode`] if the changes cannot be encoded.
    pub fn delta(&self, changes: Arc<[Change]>) -> Result<Delta, ConfigError> {
        let digest = self.next_digest(&changes)?;
        Ok(Delta { base: self.revision, digest, changes })
    }

    /// Applies a delta and moves to the next revision.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Base`] if the delta applies to another revision, [`ConfigError::Chain`] if it
    /// breaks the digest chain and [`ConfigError::Encode`] if the changes cannot be encoded. The
    /// configuration is unchanged then.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ConfigError> {
        if delta.base != self.revision {
            return Err(ConfigError::Base { base: delta.base, current: self.revision });
        }
        if self.next_digest(&delta.changes)? != delta.digest {
            return Err(ConfigError::Chain { base: delta.base });
        }
        delta.changes.iter().for_each(|it| self.apply_change(it));
        self.revision = self.revision.next();
        self.digest = delta.digest;
        Ok(())
    }

    fn next_digest(&self, changes: &[Change]) -> Result<Digest, ConfigError> {
        let bytes = bincode::serde::encode_to_vec(changes, bincode::config::standard())
            .map_err(|_| ConfigError::Encode)?;
        Ok(self.digest.chain(&bytes))
    }

    fn apply_change(&mut self, change: &Change) {
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
