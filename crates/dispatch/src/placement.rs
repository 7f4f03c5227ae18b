//! The choice of an endpoint for a request.

use {
    crate::{
        endpoint::Endpoint,
        rendezvous::ranked,
        request::{Assignment, DispatchRequest, EndpointHandle, Prompt},
    },
    derive_more::Debug,
    model::{Domain, MILLISECOND, Time},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// Prompts that share fewer tokens than this have a home in each domain. Processing them once per
/// domain costs less than sending requests to another domain.
const LOCAL_PREFIX_TOKENS: u32 = 1_000;

/// The number of failures in the own failure domain after which a request prefers no endpoints
/// there. All of them may be down.
const MAX_LOCAL_FAILURES: usize = 2;

/// An endpoint that is not the least loaded takes a prompt only while its load is at most this
/// multiple of the mean. The bound that must hold is twice the mean.
const SPILL_FACTOR: f64 = 1.4;

/// Requests allowed on top of that multiple, because a few requests are never spread evenly.
const SPILL_SLACK: f64 = 2.0;

/// Like [`SPILL_FACTOR`], for an endpoint that has the prompt in memory. Elsewhere it would have to
/// be fetched or read again.
const HOLDER_SPILL_FACTOR: f64 = 1.6;

/// Like [`SPILL_SLACK`], for an endpoint that has the prompt in memory.
const HOLDER_SPILL_SLACK: f64 = 2.5;

/// The part of an endpoint's memory that running requests may be expected to fill.
const KV_FILL_LIMIT: f64 = 0.85;

/// How far an endpoint's failure rate may exceed the lowest one of the service.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.25;

/// How many more tokens another endpoint must have in memory before they are fetched. Fewer tokens
/// are as quick to recompute.
const MIN_FETCH_TOKENS: u32 = 128;

/// The share of the time that a request may wait which the queue of a plain endpoint is expected to
/// take. The rest allows for loads that are out of date.
const QUEUE_WAIT_SHARE: f64 = 0.75;

/// Requests beyond its slots that may always be sent to a plain endpoint, as a fraction of the
/// slots.
const MIN_QUEUE_RATIO: f64 = 0.5;

/// The shortest mean run that queues are sized by, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;

/// What the choice of an endpoint of a service depends on, besides the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) now: Time,
    /// The failure domain of this router.
    pub(crate) local_domain: &'a Domain,
    /// The number of routers that send requests to the same endpoints.
    pub(crate) routers: usize,
    pub(crate) endpoints: &'a [Endpoint],
    /// The number of tokens that fit into each endpoint's memory, if the service runs a model.
    pub(crate) kv_capacity: Option<u64>,
    /// The mean time that an endpoint runs a request, without the time that it queues it, in
    /// milliseconds. `None` before any has ended.
    pub(crate) run_ms: Option<f64>,
}

impl<'a> Placement<'a> {
    /// Selects an endpoint that has room for one of `routers`. Equal random numbers give equal choices.
    pub(crate) fn choose(&self, request: &DispatchRequest, random: u64) -> Option<Assignment> {
        let Placement { now, routers, .. } = *self;
        let usable = |it: &Endpoint| {
            it.is_open(now)
                && it.bears_another(now, routers)
                && it.is_eligible(request.eligibility())
                && !request.excluded.contains(&it.handle)
        };
        let ready: Vec<_> = self.endpoints.iter().enumerate().filter(|it| usable(it.1)).collect();
        let healthy = self.healthy(&ready);
        // If no endpoint is healthy, an unhealthy one may still answer.
        let candidates = if healthy.is_empty() { ready } else { healthy };
        match request.prompt.as_ref().filter(|it| !it.parts.is_empty()) {
            Some(prompt) => self.choose_by_prompt(request, prompt, &candidates),
            None => self.choose_by_load(request, &candidates, random),
        }
    }

    /// Returns the endpoints that respond and whose failure rate is comparable to the lowest one.
    fn healthy(&self, ready: &[(usize, &'a Endpoint)]) -> Vec<(usize, &'a Endpoint)> {
        let now = self.now;
        let answering = ready.iter().filter(|(_, it)| !it.is_avoided(now));
        let rates = answering.clone().map(|(_, it)| it.health.failure_rate(now));
        let best = rates.fold(1.0, f64::min);
        let comparable = |it: &&(usize, &Endpoint)| {
            it.1.health.failure_rate(now) <= best + MAX_EXCESS_FAILURE_RATE
        };
        answering.filter(comparable).copied().collect()
    }

    /// Returns whether an endpoint has a free slot, and memory for `tokens` more.
    fn has_room(&self, endpoint: &Endpoint, tokens: u32) -> bool {
        let now = self.now;
        let load = endpoint.load.requests(now);
        let used = endpoint.load.tokens(now) + u64::from(tokens);
        let fits = self.kv_capacity.is_none_or(|it| used <= (it as f64 * KV_FILL_LIMIT) as u64);
        load < endpoint.listed.slots && (fits || load == 0)
    }

    /// Returns how many requests an endpoint may have, or none if its memory is full.
    fn max_load(&self, endpoint: &Endpoint, request: &DispatchRequest) -> f64 {
        let slots = f64::from(endpoint.listed.slots);
        if self.kv_capacity.is_some() {
            let tokens = request.prompt.as_ref().map_or(0, |it| it.tokens);
            return if self.has_room(endpoint, tokens) { slots } else { 0.0 };
        }
        let wait_ms = request.wait_until.since(self.now) as f64 / MILLISECOND as f64;
        let runs = self.run_ms.map_or(0.0, |it| wait_ms / it.max(MIN_RUN_MS));
        slots * (1.0 + (runs * QUEUE_WAIT_SHARE).max(MIN_QUEUE_RATIO))
    }

    /// Selects an endpoint at random. One that is nearly full gets half as much as an idle one.
    ///
    /// Loads are older than most requests take, and all routers know the same ones. If each chose
    /// the least loaded endpoint, that one would get everything until the next reports.
    fn choose_by_load(
        &self,
        request: &DispatchRequest,
        candidates: &[(usize, &Endpoint)],
        random: u64,
    ) -> Option<Assignment> {
        let Placement { now, local_domain, .. } = *self;
        let weighted = candidates.iter().filter_map(|(_, it)| {
            let max_load = self.max_load(it, request);
            let load = f64::from(it.load.requests(now));
            (load < max_load).then_some((*it, 2.0 * max_load - load))
        });
        let open: SmallVec<[_; 16]> = weighted.collect();
        // A remote domain is preferred only once the local endpoints are half full.
        let is_preferred = |it: &Endpoint| {
            it.listed.domain == *local_domain && it.load.requests(now) * 2 < it.listed.slots
        };
        let has_preferred = open.iter().any(|it| is_preferred(it.0));
        // Few routers use a cold endpoint, and each seldom may.
        let is_cold =
            |it: &Endpoint| it.is_cold(now) && it.load.requests(now) * 2 < it.listed.slots;
        let has_cold = open.iter().any(|it| is_cold(it.0));
        let eligible = || {
            open.iter().filter(|it| {
                if has_cold { is_cold(it.0) } else { !has_preferred || is_preferred(it.0) }
            })
        };
        let total: f64 = eligible().map(|it| it.1).sum();
        let mut at = random as f64 / u64::MAX as f64 * total;
        let chosen = eligible().find(|it| {
            at -= it.1;
            at <= 0.0
        });
        let chosen = chosen.or_else(|| eligible().next_back())?.0;
        let tokens = request.prompt.as_ref().map_or(0, |it| it.tokens);
        Some(chosen.assignment(now, tokens))
    }

    fn choose_by_prompt(
        &self,
        request: &DispatchRequest,
        prompt: &Prompt,
        candidates: &[(usize, &Endpoint)],
    ) -> Option<Assignment> {
        let Placement { now, local_domain, .. } = *self;
        let (key, shared) = affinity(prompt);
        let ranked = ranked(key, candidates.iter().copied());
        let is_local = |it: &usize| self.endpoints[*it].listed.domain == *local_domain;
        let failed_locally = request.excluded.iter().filter(|it| self.is_local(**it)).count();
        let local_first = shared < LOCAL_PREFIX_TOKENS && failed_locally < MAX_LOCAL_FAILURES;
        let local_endpoints = ranked.iter().copied().filter(|it| local_first && is_local(it));
        let other_endpoints = ranked.iter().copied().filter(|it| !(local_first && is_local(it)));
        let search_order: Vec<_> = local_endpoints.chain(other_endpoints).collect();
        let search_order = self.cold_first(request, prompt, search_order);
        let mean = self.mean_load(candidates);
        let shared_tokens: u32 = prompt.shared().iter().map(|it| it.tokens).sum();
        let bound = |it: &usize| {
            let missing = shared_tokens - self.endpoints[*it].cached_tokens(prompt.shared());
            if missing < MIN_FETCH_TOKENS {
                mean * HOLDER_SPILL_FACTOR + HOLDER_SPILL_SLACK
            } else {
                mean * SPILL_FACTOR + SPILL_SLACK
            }
        };
        let load = |it: &usize| f64::from(self.endpoints[*it].load.requests(now));
        let has_room_for_prompt = |it: &usize| self.has_room(&self.endpoints[*it], prompt.tokens);
        let within_bound =
            search_order.iter().find(|it| load(it) + 1.0 <= bound(it) && has_room_for_prompt(it));
        let least_loaded = || {
            search_order
                .iter()
                .filter(|it| has_room_for_prompt(it))
                .min_by(|a, b| load(a).total_cmp(&load(b)))
        };
        let chosen = *within_bound.or_else(least_loaded)?;
        let fetch_from = self.fetch_source(request, prompt, chosen);
        let endpoint = &self.endpoints[chosen];
        let unread = prompt.prompt_tokens() - endpoint.cached_tokens(prompt.shared());
        let assignment = endpoint.assignment(now, prompt.tokens);
        Some(Assignment { fetch_from, unread, ..assignment })
    }

    /// Returns whether an endpoint is in the failure domain of this router.
    fn is_local(&self, handle: EndpointHandle) -> bool {
        let found = self.endpoints.iter().find(|it| it.handle == handle);
        found.is_some_and(|it| it.listed.domain == *self.local_domain)
    }

    fn mean_load(&self, candidates: &[(usize, &Endpoint)]) -> f64 {
        // Cold endpoints get less than their part and would lower the mean.
        let warm = || candidates.iter().filter(|it| !it.1.is_cold(self.now));
        let total: u32 = warm().map(|(_, it)| it.load.requests(self.now)).sum();
        f64::from(total) / warm().count().max(1) as f64
    }

    /// Puts the cold endpoints that this router may use now before the others, for prompts whose home
    /// is cold and for those that are processed quickly.
    fn cold_first(
        &self,
        request: &DispatchRequest,
        prompt: &Prompt,
        search_order: Vec<usize>,
    ) -> Vec<usize> {
        let is_cold = |it: &usize| self.endpoints[*it].is_cold(self.now);
        if !search_order.iter().any(is_cold) {
            return search_order;
        }
        let (key, shared) = affinity(prompt);
        let eligible = |it: &Endpoint| it.is_staying() && it.is_eligible(request.eligibility());
        let homes = self.endpoints.iter().enumerate().filter(|it| eligible(it.1));
        let is_home_cold = ranked(key, homes).first().is_some_and(is_cold);
        if !is_home_cold && shared >= LOCAL_PREFIX_TOKENS {
            return search_order;
        }
        let (mut order, warm): (Vec<_>, Vec<_>) = search_order.into_iter().partition(is_cold);
        order.extend(warm);
        order
    }

    /// Returns the endpoint that is expected to have most of a prompt in memory, if it has enough
    /// more than the chosen one. If none is known to have more, it is the first other one in the
    /// prompt's order. It is the home of the prompt, or was before a new endpoint joined.
    fn fetch_source(
        &self,
        request: &DispatchRequest,
        prompt: &Prompt,
        chosen: usize,
    ) -> Option<SocketAddr> {
        let shared = prompt.shared();
        let target = &self.endpoints[chosen];
        let min_tokens = target.cached_tokens(shared) + MIN_FETCH_TOKENS;
        if shared.iter().map(|it| it.tokens).sum::<u32>() < min_tokens {
            return None;
        }
        // A draining endpoint can still be fetched from.
        let regions = request.regions.as_deref();
        // A cold endpoint has nothing in memory, and takes few requests.
        let allowed = |it: &Endpoint| !it.evacuated && it.is_in(regions) && !it.is_cold(self.now);
        let others = self.endpoints.iter().enumerate().filter(|it| it.0 != chosen && allowed(it.1));
        let healthy = others.filter(|it| !it.1.is_avoided(self.now));
        let is_local = |it: &Endpoint| it.listed.domain == target.listed.domain;
        let holders =
            healthy.clone().map(|(_, it)| (it.cached_tokens(shared), is_local(it), it.addr()));
        let known = holders.filter(|it| it.0 >= min_tokens).max_by_key(|it| (it.0, it.1));
        let likely = || ranked(affinity(prompt).0, healthy).first().copied();
        known.map(|it| it.2).or_else(|| Some(self.endpoints[likely()?].addr()))
    }
}

/// Returns the key by which a prompt is placed, which is its last shared part, and the number of
/// tokens up to its end.
fn affinity(prompt: &Prompt) -> (u64, u32) {
    let shared = if prompt.parts.len() > 1 { prompt.shared() } else { &prompt.parts };
    let key = shared.last().map_or(0, |it| it.id);
    (key, shared.iter().map(|it| it.tokens).sum())
}
