//! Keeps struck requests apart, so that a second crash names one of them.

use {
    derive_more::Debug,
    model::{EndpointId, RequestId},
    std::collections::BTreeMap,
};

/// Which struck request runs on each endpoint of an owner.
///
/// A struck request runs beside no other struck one. So when an endpoint dies, at most one of its requests gets a
/// second strike, and that one was running at both deaths: its bystanders have one strike each and are tried again.
#[derive(Clone, Default, Debug)]
pub struct Isolation {
    running: BTreeMap<EndpointId, RequestId>,
}

impl Isolation {
    /// Whether a struck request may start on `endpoint`; takes the place if so.
    pub fn try_acquire(&mut self, endpoint: EndpointId, request: RequestId) -> bool {
        *self.running.entry(endpoint).or_insert(request) == request
    }

    /// Frees the place of a request that ended.
    pub fn release(&mut self, endpoint: EndpointId, request: RequestId) {
        if self.running.get(&endpoint) == Some(&request) {
            self.running.remove(&endpoint);
        }
    }
}
