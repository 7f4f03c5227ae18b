//! The endpoints of one service, its waiting requests, and the times that its requests take.

use {
    crate::{
        cold::ColdRate,
        endpoint::Endpoint,
        placement::Placement,
        queue::WaitQueue,
        request::{DispatchRequest, Eligibility, EndpointHandle},
    },
    derive_more::Debug,
    model::{Domain, Time},
};

/// The weight of one request in the moving average of the time that requests run.
const RUN_MS_WEIGHT: f64 = 0.05;

/// The least expected work of a request, relative to that of the mean request. What is short
/// occupies its slot for some time all the same.
const MIN_WORK_PART: f64 = 0.25;

/// The most expected work of a request, relative to that of the mean request. Most of a long prompt
/// is in the memory of its endpoint.
const MAX_WORK_PART: f64 = 4.0;

/// A service's endpoints and waiting requests.
#[derive(Default, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<Endpoint>,
    /// The number of tokens that fit into each endpoint's memory, if the service runs a model.
    pub(crate) kv_capacity: Option<u64>,
    pub(crate) queue: WaitQueue,
    /// How many requests cold endpoints take, if endpoints may be cold.
    pub(crate) cold_rate: Option<ColdRate>,
    /// The mean time that an endpoint runs a request, without the time that it queues it, in
    /// milliseconds. `None` before any has ended.
    run_ms: Option<f64>,
    /// The mean tokens of the requests that were started. `None` before any was.
    mean_tokens: Option<f64>,
}

impl Service {
    pub(crate) fn get_mut(&mut self, handle: EndpointHandle) -> Option<&mut Endpoint> {
        self.endpoints.iter_mut().find(|it| it.handle == handle)
    }

    /// Returns the endpoints that take new requests, now or later. They may run a request
    /// with this eligibility.
    fn staying<'a>(&'a self, eligibility: Eligibility<'a>) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints.iter().filter(move |it| it.is_staying() && it.is_eligible(eligibility))
    }

    /// Returns whether an endpoint takes new requests, now or later.
    pub(crate) fn has_endpoints(&self, eligibility: Eligibility<'_>) -> bool {
        self.staying(eligibility).next().is_some()
    }

    /// Returns whether no endpoint takes requests because those that would are evacuated.
    pub(crate) fn is_evacuated(&self, eligibility: Eligibility<'_>) -> bool {
        let mut evacuated =
            self.endpoints.iter().filter(|it| it.evacuated && it.is_eligible(eligibility));
        evacuated.next().is_some() && !self.has_endpoints(eligibility)
    }

    /// Returns when the first endpoint takes new requests.
    pub(crate) fn opens_at(&self, eligibility: Eligibility<'_>) -> Time {
        let staying = self.staying(eligibility);
        staying.map(Endpoint::opens_at).min().unwrap_or(Time::NEVER)
    }

    /// Returns how long requests wait at least behind `ahead` others because of the limits of
    /// endpoints, in milliseconds.
    pub(crate) fn limit_wait_ms(
        &self,
        now: Time,
        eligibility: Eligibility<'_>,
        ahead: usize,
    ) -> u64 {
        let rates = self.staying(eligibility).map(|it| it.max_rate(now));
        let Some(rate) = rates.sum::<Option<f64>>() else { return 0 };
        if rate > 0.0 { (ahead as f64 / rate * 1_000.0) as u64 } else { 0 }
    }

    /// Records the work of a request that starts.
    pub(crate) fn record_work(&mut self, request: &DispatchRequest) {
        let Some(prompt) = &request.prompt else { return };
        let tokens = f64::from(prompt.tokens);
        let mean = self.mean_tokens.unwrap_or(tokens);
        self.mean_tokens = Some(mean + (tokens - mean) * RUN_MS_WEIGHT);
    }

    /// Returns the expected work of a request relative to that of the mean request.
    pub(crate) fn work_part(&self, request: &DispatchRequest) -> f64 {
        let tokens = request.prompt.as_ref().map(|it| f64::from(it.tokens));
        let part = tokens.zip(self.mean_tokens).map(|it| it.0 / it.1.max(1.0));
        part.map_or(1.0, |it| it.clamp(MIN_WORK_PART, MAX_WORK_PART))
    }

    /// Records that an endpoint answered a request `service_ms` milliseconds after it was sent.
    pub(crate) fn record_service_time(
        &mut self,
        now: Time,
        handle: EndpointHandle,
        service_ms: f64,
    ) {
        let Some(endpoint) = self.get_mut(handle) else { return };
        // The requests on the endpoint shared its slots with this one.
        let slots = f64::from(endpoint.listed.slots.max(1));
        let crowding = (f64::from(endpoint.load.requests(now) + 1) / slots).max(1.0);
        let run_ms = service_ms / crowding;
        let mean_ms = self.run_ms.unwrap_or(run_ms);
        self.run_ms = Some(mean_ms + (run_ms - mean_ms) * RUN_MS_WEIGHT);
    }

    /// Returns the choice of an endpoint for a router in `local_domain`, which is one of `routers`.
    pub(crate) fn placement<'a>(
        &'a self,
        now: Time,
        local_domain: &'a Domain,
        routers: usize,
    ) -> Placement<'a> {
        let Service { endpoints, kv_capacity, run_ms, .. } = self;
        Placement {
            now,
            local_domain,
            routers,
            endpoints,
            kv_capacity: *kv_capacity,
            run_ms: *run_ms,
        }
    }
}
