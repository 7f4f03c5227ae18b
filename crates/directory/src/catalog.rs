//! The listed endpoints and the deltas between versions of the list.

use {
    crate::listing::ListedEndpoint,
    derive_more::Debug,
    model::Name,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The difference between two catalogs.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct CatalogDelta {
    /// New or changed endpoints.
    pub changed: Vec<ListedEndpoint>,
    /// Endpoints that are no longer listed.
    pub removed: Vec<Name>,
}

impl CatalogDelta {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }
}

/// The listed endpoints, by id.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct Catalog(BTreeMap<Name, ListedEndpoint>);

impl Catalog {
    /// Returns the catalog of a list. If an id occurs twice, the last entry is used.
    pub fn from_endpoints(listing: &[ListedEndpoint]) -> Catalog {
        Catalog(listing.iter().map(|it| (it.id.clone(), it.clone())).collect())
    }

    /// Returns all endpoints, ordered by id.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.0.values().cloned().collect()
    }

    /// Returns the delta that leads from this catalog to `next`.
    pub fn diff(&self, next: &Catalog) -> CatalogDelta {
        let changed = next.0.iter().filter(|(id, it)| self.0.get(*id) != Some(it));
        let removed = self.0.keys().filter(|it| !next.0.contains_key(*it));
        CatalogDelta {
            changed: changed.map(|it| it.1.clone()).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Applies a delta.
    pub fn apply(&mut self, delta: &CatalogDelta) {
        delta.removed.iter().for_each(|it| drop(self.0.remove(it)));
        self.0.extend(delta.changed.iter().map(|it| (it.id.clone(), it.clone())));
    }
}
