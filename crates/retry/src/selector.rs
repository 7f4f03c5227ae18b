//! Selects the endpoint for the next attempt of a request.

use {derive_more::Debug, model::EndpointId, smallvec::SmallVec};

/// The candidate endpoints of one request and the results of its earlier attempts on them.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct EndpointSelector {
    /// Endpoints that may run the request, the home first.
    candidates: SmallVec<[EndpointId; 8]>,
    /// Endpoints that crashed while running the request; they are never selected again.
    crashed: SmallVec<[EndpointId; 2]>,
    /// Endpoints that failed or refused the request; they are selected again only if no other candidate is left.
    avoided: SmallVec<[EndpointId; 4]>,
    /// Endpoints that an owner without capacity suggested, in reverse order.
    spill_targets: SmallVec<[EndpointId; 4]>,
}

impl EndpointSelector {
    pub(crate) fn new(candidates: SmallVec<[EndpointId; 8]>) -> EndpointSelector {
        EndpointSelector {
            candidates,
            crashed: SmallVec::new(),
            avoided: SmallVec::new(),
            spill_targets: SmallVec::new(),
        }
    }

    /// Replaces the candidates and keeps the results of earlier attempts.
    pub(crate) fn replace_candidates(&mut self, candidates: SmallVec<[EndpointId; 8]>) {
        self.candidates = candidates;
    }

    /// Endpoints that crashed while running the request.
    pub(crate) fn crashed(&self) -> &[EndpointId] {
        &self.crashed
    }

    /// Records that an endpoint crashed while running the request.
    pub(crate) fn record_crash(&mut self, endpoint: EndpointId) {
        if !self.crashed.contains(&endpoint) {
            self.crashed.push(endpoint);
        }
    }

    /// Avoids an endpoint while there is another candidate.
    pub(crate) fn avoid(&mut self, endpoint: EndpointId) {
        self.avoided.push(endpoint);
    }

    /// Makes all avoided endpoints eligible again, except those that crashed.
    pub(crate) fn clear_avoided(&mut self) {
        self.avoided.clear();
    }

    /// Sets the endpoints that the owner of `from` suggested, skipping `from` and endpoints that crashed.
    pub(crate) fn set_spill_targets(&mut self, from: EndpointId, endpoints: &[EndpointId]) {
        let open = endpoints.iter().filter(|it| **it != from && !self.crashed.contains(*it));
        self.spill_targets = open.rev().copied().collect();
    }

    /// Discards the suggested endpoints.
    pub(crate) fn clear_spill_targets(&mut self) {
        self.spill_targets.clear();
    }

    /// Removes and returns the next suggested endpoint.
    pub(crate) fn next_spill_target(&mut self) -> Option<EndpointId> {
        self.spill_targets.pop()
    }

    /// The first candidate that neither failed nor refused the request, else the first one that did not crash.
    pub(crate) fn best_candidate(&self) -> Option<EndpointId> {
        let alive = |it: &&EndpointId| !self.crashed.contains(*it);
        self.first_untried().or_else(|| self.candidates.iter().find(alive).copied())
    }

    /// The first candidate that neither failed nor refused the request, if there is one.
    pub(crate) fn first_untried(&self) -> Option<EndpointId> {
        let open = |it: &&EndpointId| !self.crashed.contains(*it) && !self.avoided.contains(*it);
        self.candidates.iter().find(open).copied()
    }
}
