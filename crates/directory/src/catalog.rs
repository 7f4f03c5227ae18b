//! The endpoints that are listed, and the steps from one list to the next.

use {
    crate::listing::ListedEndpoint,
    derive_more::Debug,
    model::Name,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What changed in a list.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct CatalogDelta {
    /// New or changed endpoints.
    pub changed: Vec<ListedEndpoint>,
    /// Endpoints that are not listed any more.
    pub removed: Vec<Name>,
}

impl CatalogDelta {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }
}

/// The endpoints that are listed, by id.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Catalog(BTreeMap<Name, ListedEndpoint>);

impl Catalog {
    /// Returns the catalog of a list; of two entries with one id the last one holds.
    pub fn from_endpoints(listing: &[ListedEndpoint]) -> Catalog {
        Catalog(listing.iter().map(|it| (it.id.clone(), it.clone())).collect())
    }

    /// All endpoints, in the order of their ids.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.0.values().cloned().collect()
    }

    /// The step from this catalog to another one.
    pub fn diff(&self, next: &Catalog) -> CatalogDelta {
        let changed = next.0.iter().filter(|(id, it)| self.0.get(*id) != Some(it));
        let gone = self.0.keys().filter(|it| !next.0.contains_key(*it));
        CatalogDelta {
            changed: changed.map(|it| it.1.clone()).collect(),
            removed: gone.cloned().collect(),
        }
    }

    /// Takes a step.
    pub fn apply(&mut self, delta: &CatalogDelta) {
        delta.removed.iter().for_each(|it| drop(self.0.remove(it)));
        self.0.extend(delta.changed.iter().map(|it| (it.id.clone(), it.clone())));
    }
}
