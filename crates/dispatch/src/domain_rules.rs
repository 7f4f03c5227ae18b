//! What applies to all endpoints of a failure domain.

use {
    crate::endpoint::Endpoint,
    derive_more::Debug,
    model::{Domain, MILLISECOND, Name, SECOND},
    std::collections::{HashMap, HashSet},
};

/// The retry delay that a caller is told while all endpoints of a service are evacuated, in
/// milliseconds.
pub(crate) const EVACUATED_RETRY_MS: u64 = SECOND / MILLISECOND;

/// The rules of the failure domains. Endpoints keep a copy of what applies to them.
#[derive(Default, Debug)]
pub(crate) struct DomainRules {
    evacuated: HashSet<Domain>,
    regions: HashMap<Domain, Name>,
}

impl DomainRules {
    /// Replaces the evacuated domains. Returns those that are not evacuated any more.
    pub(crate) fn set_evacuated(&mut self, domains: &[Domain]) -> HashSet<Domain> {
        let old = std::mem::replace(&mut self.evacuated, domains.iter().cloned().collect());
        old.into_iter().filter(|it| !self.evacuated.contains(it)).collect()
    }

    pub(crate) fn set_regions(&mut self, regions: HashMap<Domain, Name>) {
        self.regions = regions;
    }

    pub(crate) fn has_evacuated(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Applies the rules to an endpoint that is new, or whose domain or rules have changed.
    pub(crate) fn apply(&self, endpoint: &mut Endpoint) {
        endpoint.evacuated = self.evacuated.contains(&endpoint.listed.domain);
        endpoint.region = self.regions.get(&endpoint.listed.domain).cloned();
    }
}
