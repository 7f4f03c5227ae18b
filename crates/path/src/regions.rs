//! Which routers may carry the requests whose regions are restricted.

use {
    derive_more::Debug,
    model::{Domain, Name},
    std::collections::HashMap,
};

/// The regions of all failure domains. A domain that is missing is in no region.
#[derive(Default, Debug)]
pub(crate) struct DomainRegions {
    /// The region of this router, to which the caller sent the request by itself.
    own: Option<Name>,
    regions: HashMap<Domain, Name>,
}

impl DomainRegions {
    pub(crate) fn new(own: &Domain, regions: HashMap<Domain, Name>) -> DomainRegions {
        DomainRegions { own: regions.get(own).cloned(), regions }
    }

    /// Returns whether a router in `domain` may receive a request that is allowed in these regions,
    /// or in all of them.
    pub(crate) fn may_carry(&self, domain: &Domain, allowed: Option<&[Name]>) -> bool {
        let Some(allowed) = allowed else { return true };
        let region = self.regions.get(domain);
        region.is_some_and(|it| allowed.contains(it) || self.own.as_ref() == Some(it))
    }
}
