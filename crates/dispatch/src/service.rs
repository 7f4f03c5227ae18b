//! The endpoints of one service and the selection among them.

use {
    crate::{
        endpoint::{Endpoint, EndpointHandle},
        queue::WaitQueue,
        rendezvous::ranked,
    },
    derive_more::Debug,
    model::{Domain, Name, Time},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// The length of the part.
    pub tokens: u32,
}

impl Prompt {
    /// Returns the parts that other prompts may share: all but the last one.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |it| it.1)
    }
}

/// The prompt of a request.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Prompt {
    /// The parts of the prompt, in order. The last one is specific to this request.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// The tokens of the prompt plus the maximum length of the answer.
    pub tokens: u32,
}

/// A request to be assigned to an endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DispatchRequest {
    /// The service.
    pub service: Name,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// The priority of the request. Zero is the highest.
    pub priority: u8,
    /// Until when the request may wait for room.
    pub wait_until: Time,
    /// Endpoints that the request should not be sent to again.
    pub excluded: SmallVec<[EndpointHandle; 2]>,
}

/// The endpoint that a request is assigned to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Assignment {
    /// The endpoint.
    pub handle: EndpointHandle,
    /// The id of the endpoint.
    pub id: Name,
    /// The address that the endpoint listens on.
    pub addr: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: Domain,
    /// Distinguishes this run of the endpoint from its earlier and later ones.
    pub incarnation: u64,
    /// Another endpoint that is expected to have more of the prompt in memory.
    pub fetch_from: Option<SocketAddr>,
    /// The tokens that the request is counted with.
    pub tokens: u32,
    /// The running requests of all routers on the endpoint, without this one.
    pub load: u32,
}

/// Prompts that share fewer tokens than this have a home in each domain. Processing them once per
/// domain costs less than sending requests to another domain.
const LOCAL_PREFIX_TOKENS: u32 = 1_000;

/// An endpoint that is not the least loaded takes a prompt only while its load is at most this
/// multiple of the mean. The bound that must hold is twice the mean.
const SPILL_FACTOR: f64 = 1.4;

/// Requests allowed on top of that multiple, because a few requests are never spread evenly.
const SPILL_SLACK: f64 = 2.0;

/// The part of an endpoint's memory that running requests may be expected to fill.
const KV_FILL_LIMIT: f64 = 0.85;

/// How far an endpoint's failure rate may exceed the lowest one of the service.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.25;

/// How many more tokens another endpoint must have in memory before they are fetched. Fewer tokens
/// are as quick to recompute.
const MIN_FETCH_TOKENS: u32 = 128;

/// Requests beyond its slots that may be sent to a plain endpoint, as a fraction of the slots. This
/// bounds its queue, so that queued requests are served in time.
const PLAIN_QUEUE_RATIO: f64 = 0.5;

/// A service's endpoints and waiting requests.
#[derive(Default, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<Endpoint>,
    /// The number of tokens that fit into each endpoint's memory, if the service runs a model.
    pub(crate) kv_capacity: Option<u64>,
    pub(crate) queue: WaitQueue,
}

impl Service {
    pub(crate) fn get_mut(&mut self, handle: EndpointHandle) -> Option<&mut Endpoint> {
        self.endpoints.iter_mut().find(|it| it.handle == handle)
    }

    /// Returns whether an endpoint takes new requests, now or later.
    pub(crate) fn has_endpoints(&self) -> bool {
        self.endpoints.iter().any(Endpoint::is_staying)
    }

    /// Returns when the first endpoint takes new requests.
    pub(crate) fn opens_at(&self) -> Time {
        let staying = self.endpoints.iter().filter(|it| it.is_staying());
        staying.map(|it| it.notice.closed_until).min().unwrap_or(Time::NEVER)
    }

    /// Selects an endpoint that has room.
    pub(crate) fn choose(
        &self,
        now: Time,
        local_domain: &Domain,
        request: &DispatchRequest,
    ) -> Option<Assignment> {
        let usable = |it: &Endpoint| it.is_open(now) && !request.excluded.contains(&it.handle);
        let ready: Vec<_> = self.endpoints.iter().enumerate().filter(|it| usable(it.1)).collect();
        let healthy = self.healthy(now, &ready);
        // If no endpoint is healthy, an unhealthy one may still answer.
        let candidates = if healthy.is_empty() { ready } else { healthy };
        match request.prompt.as_ref().filter(|it| !it.parts.is_empty()) {
            Some(prompt) => self.choose_by_prompt(now, local_domain, prompt, &candidates),
            None => self.choose_by_load(now, local_domain, request, &candidates),
        }
    }

    /// Returns the endpoints that respond and whose failure rate is comparable to the lowest one.
    fn healthy<'a>(
        &self,
        now: Time,
        ready: &[(usize, &'a Endpoint)],
    ) -> Vec<(usize, &'a Endpoint)> {
        let answering = ready.iter().filter(|(_, it)| !it.health.is_avoided(now));
        let rates = answering.clone().map(|(_, it)| it.health.failure_rate(now));
        let best = rates.fold(1.0, f64::min);
        let comparable = |it: &&(usize, &Endpoint)| {
            it.1.health.failure_rate(now) <= best + MAX_EXCESS_FAILURE_RATE
        };
        answering.filter(comparable).copied().collect()
    }

    fn has_room(&self, now: Time, endpoint: &Endpoint, tokens: u32) -> bool {
        let load = endpoint.load.requests(now);
        let Some(kv_capacity) = self.kv_capacity else {
            let max_requests = f64::from(endpoint.listed.slots) * (1.0 + PLAIN_QUEUE_RATIO);
            return f64::from(load) < max_requests;
        };
        let used = endpoint.load.tokens(now);
        let fits = used + u64::from(tokens) <= (kv_capacity as f64 * KV_FILL_LIMIT) as u64;
        load < endpoint.listed.slots && (fits || load == 0)
    }

    fn choose_by_load(
        &self,
        now: Time,
        local_domain: &Domain,
        request: &DispatchRequest,
        candidates: &[(usize, &Endpoint)],
    ) -> Option<Assignment> {
        let tokens = request.prompt.as_ref().map_or(0, |it| it.tokens);
        let with_room = candidates.iter().filter(|(_, it)| self.has_room(now, it, tokens));
        // A remote domain is preferred only once the local endpoints are half full.
        let rank = |it: &Endpoint| {
            let filled = f64::from(it.load.requests(now)) / f64::from(it.listed.slots.max(1));
            filled + if it.listed.domain == *local_domain { 0.0 } else { 0.5 }
        };
        let best = with_room.min_by(|a, b| rank(a.1).total_cmp(&rank(b.1)))?.1;
        Some(assignment(now, best, tokens, None))
    }

    fn choose_by_prompt(
        &self,
        now: Time,
        local_domain: &Domain,
        prompt: &Prompt,
        candidates: &[(usize, &Endpoint)],
    ) -> Option<Assignment> {
        let (key, shared) = affinity(prompt);
        let ranked = ranked(key, candidates.iter().copied());
        let is_local = |it: &usize| self.endpoints[*it].listed.domain == *local_domain;
        let local_first = shared < LOCAL_PREFIX_TOKENS;
        let local_endpoints = ranked.iter().copied().filter(|it| local_first && is_local(it));
        let other_endpoints = ranked.iter().copied().filter(|it| !(local_first && is_local(it)));
        let search_order: Vec<_> = local_endpoints.chain(other_endpoints).collect();
        let bound = self.bound(now, candidates);
        let load = |it: &usize| f64::from(self.endpoints[*it].load.requests(now));
        let has_room_for_prompt =
            |it: &usize| self.has_room(now, &self.endpoints[*it], prompt.tokens);
        let within_bound =
            search_order.iter().find(|it| load(it) + 1.0 <= bound && has_room_for_prompt(it));
        let least_loaded = || {
            search_order
                .iter()
                .filter(|it| has_room_for_prompt(it))
                .min_by(|a, b| load(a).total_cmp(&load(b)))
        };
        let chosen = *within_bound.or_else(least_loaded)?;
        let fetch = self.fetch_source(now, prompt, chosen);
        Some(assignment(now, &self.endpoints[chosen], prompt.tokens, fetch))
    }

    /// Returns the maximum number of requests on an endpoint that takes a prompt although others
    /// are less loaded.
    fn bound(&self, now: Time, candidates: &[(usize, &Endpoint)]) -> f64 {
        let total: u32 = candidates.iter().map(|(_, it)| it.load.requests(now)).sum();
        let mean = f64::from(total) / candidates.len().max(1) as f64;
        mean * SPILL_FACTOR + SPILL_SLACK
    }

    /// Returns the endpoint that is expected to have most of a prompt in memory, if it has enough
    /// more than the chosen one.
    fn fetch_source(&self, now: Time, prompt: &Prompt, chosen: usize) -> Option<SocketAddr> {
        let shared = prompt.shared();
        let target = &self.endpoints[chosen];
        let min_tokens = target.cached_tokens(shared) + MIN_FETCH_TOKENS;
        // A draining endpoint can still be fetched from.
        let others = self.endpoints.iter().filter(|it| it.handle != target.handle);
        let healthy = others.filter(|it| !it.health.is_avoided(now));
        let is_local = |it: &Endpoint| it.listed.domain == target.listed.domain;
        let ranked = healthy.map(|it| (it.cached_tokens(shared), is_local(it), it.addr()));
        let best = ranked.filter(|it| it.0 >= min_tokens).max_by_key(|it| (it.0, it.1));
        best.map(|it| it.2)
    }
}

/// Returns the key by which a prompt is placed, which is its last shared part, and the number of
/// tokens up to its end.
fn affinity(prompt: &Prompt) -> (u64, u32) {
    let shared = if prompt.parts.len() > 1 { prompt.shared() } else { &prompt.parts };
    let key = shared.last().map_or(0, |it| it.id);
    (key, shared.iter().map(|it| it.tokens).sum())
}

fn assignment(
    now: Time,
    endpoint: &Endpoint,
    tokens: u32,
    fetch_from: Option<SocketAddr>,
) -> Assignment {
    Assignment {
        handle: endpoint.handle,
        id: endpoint.listed.id.clone(),
        addr: endpoint.addr(),
        domain: endpoint.listed.domain.clone(),
        incarnation: endpoint.incarnation(),
        fetch_from,
        tokens,
        load: endpoint.load.requests(now),
    }
}
