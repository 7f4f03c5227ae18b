//! Where a request may go next.

use {derive_more::Debug, model::EndpointId, smallvec::SmallVec};

/// The endpoints that may run one request, and what it learned about them.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Routes {
    /// All of them, the home first.
    candidates: SmallVec<[EndpointId; 8]>,
    /// Those that died while running it.
    strikes: SmallVec<[EndpointId; 2]>,
    /// Those that failed or refused it; they are tried again only where nothing else is left.
    avoid: SmallVec<[EndpointId; 4]>,
    /// Where an owner without room sent it, the next last.
    spill: SmallVec<[EndpointId; 4]>,
}

impl Routes {
    pub(crate) fn new(candidates: SmallVec<[EndpointId; 8]>) -> Routes {
        Routes {
            candidates,
            strikes: SmallVec::new(),
            avoid: SmallVec::new(),
            spill: SmallVec::new(),
        }
    }

    /// Takes other candidates; what was learned about them stays.
    pub(crate) fn replace(&mut self, candidates: SmallVec<[EndpointId; 8]>) {
        self.candidates = candidates;
    }

    /// Those that died while running the request.
    pub(crate) fn strikes(&self) -> &[EndpointId] {
        &self.strikes
    }

    /// Counts the death of an endpoint while it ran the request.
    pub(crate) fn strike(&mut self, endpoint: EndpointId) {
        if !self.strikes.contains(&endpoint) {
            self.strikes.push(endpoint);
        }
    }

    /// Avoids an endpoint while there is another.
    pub(crate) fn avoid(&mut self, endpoint: EndpointId) {
        self.avoid.push(endpoint);
    }

    /// Makes all that did not die eligible again.
    pub(crate) fn pardon(&mut self) {
        self.avoid.clear();
    }

    /// Takes the list of an owner whose endpoint has no room.
    pub(crate) fn set_spill(&mut self, from: EndpointId, endpoints: &[EndpointId]) {
        let open = endpoints.iter().filter(|it| **it != from && !self.strikes.contains(*it));
        self.spill = open.rev().copied().collect();
    }

    /// Forgets the list of an owner.
    pub(crate) fn clear_spill(&mut self) {
        self.spill.clear();
    }

    /// The next place of the owner's list.
    pub(crate) fn next_spill(&mut self) -> Option<EndpointId> {
        self.spill.pop()
    }

    /// The first candidate that did not fail the request, or else one that did not die under it.
    pub(crate) fn home(&self) -> Option<EndpointId> {
        let alive = |it: &&EndpointId| !self.strikes.contains(*it);
        self.untried().or_else(|| self.candidates.iter().find(alive).copied())
    }

    /// The first candidate that did not fail the request.
    pub(crate) fn untried(&self) -> Option<EndpointId> {
        let open = |it: &&EndpointId| !self.strikes.contains(*it) && !self.avoid.contains(*it);
        self.candidates.iter().find(open).copied()
    }
}
