//! The committed list of routers.
//!
//! The owner of each endpoint is a pure function of the roster and the endpoint (see the `member`
//! crate), so the roster stays small and every process with the same epoch computes the same
//! owners.

use {
    crate::id::{Domain, Epoch, RouterId},
    derive_more::{Debug, Display},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Whether a router may own endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
pub enum RouterState {
    /// The router owns endpoints.
    #[display("live")]
    Live,
    /// The router finishes its running requests and owns no endpoints.
    #[display("leaving")]
    Leaving,
    /// The lease of the router has expired or is about to; owners reserve its fixed share of each
    /// endpoint.
    #[display("missing")]
    Missing,
}

/// A router in a roster.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct RouterEntry {
    /// The id of the router process.
    pub id: RouterId,
    /// The address at which other routers reach it.
    pub addr: SocketAddr,
    /// The failure domain of its host.
    pub domain: Domain,
    /// Whether it may own endpoints.
    pub state: RouterState,
    /// The epoch of the last roster that it acknowledged.
    pub acked: Epoch,
    /// The epoch of the first roster in which it is missing; meaningful only while the state is
    /// [`RouterState::Missing`].
    pub lost: Epoch,
}

/// The committed list of routers, ordered by id.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Roster {
    /// The number of this roster.
    pub epoch: Epoch,
    /// The routers, ordered by id.
    pub routers: Arc<[RouterEntry]>,
}

impl Roster {
    /// Returns the entry of a router, or `None` if the roster does not contain it.
    pub fn get(&self, id: RouterId) -> Option<&RouterEntry> {
        let at = self.routers.binary_search_by_key(&id, |it| it.id).ok()?;
        Some(&self.routers[at])
    }
}
