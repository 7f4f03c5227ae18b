//! The endpoints of one service, and the choice among them.

use {
    crate::{
        endpoint::{Endpoint, EndpointHandle},
        queue::WaitQueue,
        rendezvous::ranked,
    },
    derive_more::Debug,
    directory::ListedEndpoint,
    model::{Domain, Name, Time},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PromptPart {
    /// What it is known by.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

impl Prompt {
    /// The parts that other prompts may share: all but the last one.
    pub(crate) fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |it| it.1)
    }
}

/// The prompt of a request.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Prompt {
    /// Its parts in order; the last one is the request's own.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of the prompt and the most that the answer may have.
    pub tokens: u32,
}

/// What a request asks for.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DispatchRequest {
    /// The service.
    pub service: Name,
    /// Its prompt, if it is for a model.
    pub prompt: Option<Prompt>,
    /// Its rank; zero goes first.
    pub priority: u8,
    /// Until when it may wait for room.
    pub wait_until: Time,
    /// Endpoints that it should not go to again.
    pub excluded: SmallVec<[EndpointHandle; 2]>,
}

/// A place for a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Assignment {
    /// The endpoint.
    pub handle: EndpointHandle,
    /// Its id.
    pub id: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// What distinguishes this start of the endpoint from others.
    pub incarnation: u64,
    /// Another endpoint that is believed to hold more of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The tokens that the request was counted with.
    pub tokens: u32,
    /// Running requests there, all routers together, this one not included.
    pub load: u32,
}

/// Prompts that share fewer tokens than this are homed in each domain for itself: reading them once a domain costs
/// less than carrying each request to another domain.
const LOCAL_PREFIX_TOKENS: u32 = 1_000;

/// An endpoint takes a prompt for which it is not the least loaded while it has at most this times the mean load.
/// The bound that must hold is twice the mean.
const SPILL_FACTOR: f64 = 1.4;

/// And this many requests more, as few requests are spread unevenly.
const SPILL_SLACK: f64 = 2.0;

/// The part of an endpoint's memory that running requests may be expected to fill.
const KV_FILL_LIMIT: f64 = 0.85;

/// How much above the best failure rate of the service an endpoint's may be.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.25;

/// Tokens of which another endpoint must have more in memory before a fetch is asked for: reading fewer is as quick.
const MIN_FETCH_TOKENS: u32 = 128;

/// Requests beyond its slots that a plain endpoint may be sent, as a fraction of the slots: its queue, short enough
/// to be served in time.
const PLAIN_QUEUE_RATIO: f64 = 0.5;

/// The endpoints of a service.
#[derive(Default, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Tokens of memory of each endpoint, if it runs a model.
    pub(crate) kv_capacity: Option<u64>,
    pub(crate) queue: WaitQueue,
}

impl Service {
    pub(crate) fn add_endpoint(&mut self, handle: EndpointHandle, listed: ListedEndpoint) {
        self.endpoints.push(Endpoint::new(handle, listed));
    }

    pub(crate) fn get_mut(&mut self, handle: EndpointHandle) -> Option<&mut Endpoint> {
        self.endpoints.iter_mut().find(|it| it.handle == handle)
    }

    /// Chooses an endpoint with room.
    pub(crate) fn choose(
        &self,
        now: Time,
        local_domain: &Domain,
        request: &DispatchRequest,
    ) -> Option<Assignment> {
        let usable = |it: &Endpoint| !it.listed.draining && !request.excluded.contains(&it.handle);
        let ready: Vec<_> = self.endpoints.iter().enumerate().filter(|it| usable(it.1)).collect();
        let healthy = self.healthy(now, &ready);
        // With no sound endpoint left, an unsound one may still answer.
        let candidates = if healthy.is_empty() { ready } else { healthy };
        match request.prompt.as_ref().filter(|it| !it.parts.is_empty()) {
            Some(prompt) => self.choose_by_prompt(now, local_domain, prompt, &candidates),
            None => self.choose_by_load(now, local_domain, request, &candidates),
        }
    }

    /// The endpoints that answer, and fail no more than others.
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
            let most = f64::from(endpoint.listed.slots) * (1.0 + PLAIN_QUEUE_RATIO);
            return f64::from(load) < most;
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
        // An endpoint in another domain is worth its distance only when the near ones are half full.
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
        let remote_endpoints = ranked.iter().copied().filter(|it| !(local_first && is_local(it)));
        let search_order: Vec<_> = local_endpoints.chain(remote_endpoints).collect();
        let bound = self.bound(now, candidates);
        let load = |it: &usize| f64::from(self.endpoints[*it].load.requests(now));
        let room = |it: &usize| self.has_room(now, &self.endpoints[*it], prompt.tokens);
        let within = search_order.iter().find(|it| load(it) + 1.0 <= bound && room(it));
        let least =
            || search_order.iter().filter(|it| room(it)).min_by(|a, b| load(a).total_cmp(&load(b)));
        let chosen = *within.or_else(least)?;
        let fetch = self.fetch_source(now, prompt, chosen);
        Some(assignment(now, &self.endpoints[chosen], prompt.tokens, fetch))
    }

    /// The most requests that an endpoint may have to take one that would wait shorter elsewhere.
    fn bound(&self, now: Time, candidates: &[(usize, &Endpoint)]) -> f64 {
        let total: u32 = candidates.iter().map(|(_, it)| it.load.requests(now)).sum();
        let mean = f64::from(total) / candidates.len().max(1) as f64;
        mean * SPILL_FACTOR + SPILL_SLACK
    }

    /// Returns the endpoint that should have most of a prompt in memory, if that is more than the chosen one has.
    fn fetch_source(&self, now: Time, prompt: &Prompt, chosen: usize) -> Option<SocketAddr> {
        let shared = prompt.shared();
        let target = &self.endpoints[chosen];
        let least = target.cached_tokens(shared) + MIN_FETCH_TOKENS;
        // An endpoint that is leaving may still be fetched from.
        let others = self.endpoints.iter().filter(|it| it.handle != target.handle);
        let healthy = others.filter(|it| !it.health.is_avoided(now));
        let is_local = |it: &Endpoint| it.listed.domain == target.listed.domain;
        let ranked = healthy.map(|it| (it.cached_tokens(shared), is_local(it), it.addr()));
        let best = ranked.filter(|it| it.0 >= least).max_by_key(|it| (it.0, it.1));
        best.map(|it| it.2)
    }
}

/// What a prompt is placed by: its last shared part, and the tokens up to there.
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
