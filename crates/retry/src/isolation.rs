//! Runs suspected requests on separate endpoints, so that a second crash identifies the request that caused it.

use {
    derive_more::Debug,
    model::{EndpointId, RequestId},
    std::collections::BTreeMap,
};

/// The suspected request that runs on each endpoint of an owner.
///
/// A request is suspected once an endpoint crashed while running it. At most one suspected request runs on an endpoint
/// at a time. So when an endpoint crashes, at most one request has its second crash counted, and that request was
/// running at both crashes. All other requests on the endpoint have one crash counted and are retried.
#[derive(Clone, Default, Debug)]
pub struct Isolation {
    running: BTreeMap<EndpointId, RequestId>,
}

impl Isolation {
    /// Reserves `endpoint` for a suspected request; returns `false` if another one holds it.
    pub fn try_acquire(&mut self, endpoint: EndpointId, request: RequestId) -> bool {
        *self.running.entry(endpoint).or_insert(request) == request
    }

    /// Releases `endpoint` if `request` holds it.
    pub fn release(&mut self, endpoint: EndpointId, request: RequestId) {
        if self.running.get(&endpoint) == Some(&request) {
            self.running.remove(&endpoint);
        }
    }
}
