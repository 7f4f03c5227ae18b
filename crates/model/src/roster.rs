//! The committed list of routers.
//!
//! Who owns which endpoint is a pure function of a roster and the endpoints (see the `member` crate), so the roster
//! stays small and every holder of one epoch computes the same owners.

use {
    crate::id::{Domain, Epoch, RouterId},
    derive_more::{Debug, Display},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// What a router may be given.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
pub enum RouterState {
    /// It owns endpoints.
    #[display("live")]
    Live,
    /// It finishes what it has and owns nothing new.
    #[display("leaving")]
    Leaving,
    /// Its lease is about to run out or ran out; owners leave room for its fixed share.
    #[display("missing")]
    Missing,
}

/// One router in a roster.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct RouterEntry {
    /// Its id.
    pub id: RouterId,
    /// Where the other routers reach it.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// What it may be given.
    pub state: RouterState,
    /// The last roster that it acknowledged.
    pub acked: Epoch,
    /// The first roster of its present absence; means nothing unless it is missing.
    pub lost: Epoch,
}

/// The committed list of routers, ordered by id.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Roster {
    /// Its number.
    pub epoch: Epoch,
    /// The routers, ordered by id.
    pub routers: Arc<[RouterEntry]>,
}

impl Roster {
    /// Returns the entry of a router.
    pub fn get(&self, id: RouterId) -> Option<&RouterEntry> {
        let at = self.routers.binary_search_by_key(&id, |it| it.id).ok()?;
        Some(&self.routers[at])
    }
}
