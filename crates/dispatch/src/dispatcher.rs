//! The endpoints of all services, and the requests that run or wait.

use {
    crate::{
        endpoint::EndpointHandle,
        health::AttemptOutcome,
        listing::EndpointChange,
        load::LoadReport,
        lobby::{Waiter, WaiterId},
        service::{Assignment, DispatchRequest, Service},
    },
    derive_more::Debug,
    directory::ListedEndpoint,
    model::{Domain, MILLISECOND, Name, Time},
    std::collections::{HashMap, HashSet},
};

/// What becomes of a request that arrives.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum SubmitResult {
    /// It starts there.
    Started(Assignment),
    /// It waits; [`Dispatcher::finish`] or [`Dispatcher::expire`] tell what becomes of it.
    Queued(WaiterId),
    /// It cannot be served in its time.
    Refused {
        /// After how many milliseconds there may be room.
        retry_ms: u64,
    },
}

/// The most requests that wait for one service.
const MAX_WAITING: usize = 512;

/// The most waiting requests that a new one is compared with: more that cannot start do not matter.
const MAX_COMPARED: usize = 16;

/// A caller should not come back earlier than this, in milliseconds.
const LEAST_RETRY_MS: u64 = 150;

/// Nor be told to wait longer than this, in milliseconds: callers give up instead.
const MOST_RETRY_MS: u64 = 2_000;

/// The time that a request holds its place, as long as none has ended yet, in milliseconds.
const FIRST_HOLD_MS: f64 = 200.0;

/// How much one request moves the mean time that requests hold their places.
const HOLD_WEIGHT: f64 = 0.05;

/// Places requests of one router.
#[derive(Debug)]
pub struct Dispatcher {
    domain: Domain,
    services: HashMap<Name, Service>,
    /// The service of each endpoint.
    numbers: HashMap<EndpointHandle, Name>,
    last_no: u32,
    last_ticket: u64,
    /// The mean time that a request holds its place, by service, in milliseconds.
    holds: HashMap<Name, f64>,
    /// Prompt parts that endpoints began to read for this router, which others have not been told of.
    placed: Vec<(u64, u64)>,
}

impl Dispatcher {
    /// Returns a dispatcher for a router in `domain` that knows no endpoint yet.
    pub fn new(domain: Domain) -> Dispatcher {
        Dispatcher {
            domain,
            services: HashMap::new(),
            numbers: HashMap::new(),
            last_no: 0,
            last_ticket: 0,
            holds: HashMap::new(),
            placed: Vec::new(),
        }
    }

    /// Sets how many tokens fit into the memory of each endpoint of a service; none: it runs no model.
    pub fn set_kv_capacity(&mut self, service: &Name, tokens: Option<u64>) {
        self.services.entry(service.clone()).or_default().memory = tokens;
    }

    /// Whether any endpoint of a service may get work.
    pub fn has_endpoints(&self, service: &Name) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|it| it.endpoints.iter().any(|it| !it.listed.draining))
    }

    /// Takes a whole listing; returns what it changed.
    pub fn update_endpoints(&mut self, listing: &[ListedEndpoint]) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let listed: HashSet<_> = listing.iter().map(|it| &it.id).collect();
        for service in self.services.values_mut() {
            service.endpoints.retain(|it| {
                let kept = listed.contains(&it.listed.id);
                if !kept {
                    changes.push(EndpointChange::Removed(it.listed.id.clone()));
                    self.numbers.remove(&it.no);
                }
                kept
            });
        }
        listing.iter().for_each(|it| changes.extend(self.take_listed(it)));
        changes
    }

    fn take_listed(&mut self, listed: &ListedEndpoint) -> Option<EndpointChange> {
        let known = self.find_by_id(&listed.id);
        let Some((service, no)) = known else {
            self.join(listed.clone());
            return Some(EndpointChange::Added(listed.clone()));
        };
        let endpoint = self.services.get_mut(&service)?.get_mut(no)?;
        let reborn = endpoint
            .listed
            .started_at_ms
            .zip(listed.started_at_ms)
            .is_some_and(|(old, new)| old != new);
        if endpoint.listed.addr != listed.addr || service != listed.service || reborn {
            self.remove(&service, no);
            self.join(listed.clone());
            return Some(EndpointChange::Restarted(listed.id.clone()));
        }
        let leaves = listed.draining && !endpoint.listed.draining;
        endpoint.listed = listed.clone();
        leaves.then(|| EndpointChange::Draining(listed.id.clone()))
    }

    fn join(&mut self, listed: ListedEndpoint) {
        self.last_no += 1;
        let no = EndpointHandle(self.last_no);
        let name = listed.service.clone();
        self.numbers.insert(no, name.clone());
        self.services.entry(name).or_default().join(no, listed);
    }

    fn remove(&mut self, service: &Name, no: EndpointHandle) {
        self.numbers.remove(&no);
        if let Some(service) = self.services.get_mut(service) {
            service.endpoints.retain(|it| it.no != no);
        }
    }

    fn find_by_id(&self, id: &Name) -> Option<(Name, EndpointHandle)> {
        self.services.iter().find_map(|(name, service)| {
            let found = service.endpoints.iter().find(|it| it.listed.id == *id)?;
            Some((name.clone(), found.no))
        })
    }

    /// Takes a request.
    pub fn submit(&mut self, now: Time, ask: DispatchRequest) -> SubmitResult {
        if let Some(pick) = self.start(now, &ask) {
            return SubmitResult::Started(pick);
        }
        let name = ask.service.clone();
        let wait_ms = self.wait_ms(now, &name, ask.priority);
        let Some(service) = self.services.get_mut(&name) else {
            return SubmitResult::Refused { retry_ms: LEAST_RETRY_MS };
        };
        let endless = now + wait_ms.saturating_mul(MILLISECOND) > ask.wait_until;
        let none = !service.endpoints.iter().any(|it| !it.listed.draining);
        if endless || none || service.lobby.len() >= MAX_WAITING {
            return SubmitResult::Refused {
                retry_ms: wait_ms.clamp(LEAST_RETRY_MS, MOST_RETRY_MS),
            };
        }
        self.last_ticket += 1;
        let ticket = WaiterId(self.last_ticket);
        let expires = ask.wait_until;
        service.lobby.push(Waiter { ticket, ask, expires });
        SubmitResult::Queued(ticket)
    }

    /// Starts a request if there is room and no request waits that goes before it and could use the room.
    fn start(&mut self, now: Time, ask: &DispatchRequest) -> Option<Assignment> {
        let service = self.services.get(&ask.service)?;
        let ahead = service.lobby.ahead(ask.priority).min(MAX_COMPARED);
        let could_start = |it: &Waiter| service.choose(now, &self.domain, &it.ask).is_some();
        if service.lobby.iter().take(ahead).any(could_start) {
            return None;
        }
        let pick = service.choose(now, &self.domain, ask)?;
        self.count(now, ask, &pick);
        Some(pick)
    }

    fn count(&mut self, now: Time, ask: &DispatchRequest, pick: &Assignment) {
        let Some(service) = self.services.get_mut(&ask.service) else { return };
        let Some(endpoint) = service.get_mut(pick.handle) else { return };
        endpoint.load.add(pick.tokens);
        if let Some(prompt) = &ask.prompt {
            for part in prompt.shared() {
                if endpoint.remember(now, part.id) {
                    self.placed.push((endpoint.hash, part.id));
                }
            }
        }
    }

    /// How long a request of this priority would wait for its place, in milliseconds.
    fn wait_ms(&self, now: Time, name: &Name, priority: u8) -> u64 {
        let Some(service) = self.services.get(name) else { return MOST_RETRY_MS };
        let ready = service.endpoints.iter().filter(|it| !it.listed.draining);
        let running: u32 = ready.map(|it| it.load.requests(now)).sum();
        let hold = self.holds.get(name).copied().unwrap_or(FIRST_HOLD_MS);
        let ahead = service.lobby.ahead(priority) as f64 + 1.0;
        (hold * ahead / f64::from(running.max(1))) as u64
    }

    /// Takes note of the load that an endpoint tells: its running and waiting requests.
    pub fn record_reported_load(&mut self, now: Time, no: EndpointHandle, requests: u32) {
        if let Some(endpoint) = self.endpoint(no) {
            endpoint.load.told(now, requests);
        }
    }

    /// Takes the report of another router on all endpoints where it runs anything, by the hash of their ids.
    pub fn apply_peer_report(&mut self, now: Time, router: u64, reports: &[(u64, LoadReport)]) {
        for endpoint in self.services.values_mut().flat_map(|it| &mut it.endpoints) {
            let found = reports.iter().find(|it| it.0 == endpoint.hash);
            endpoint.load.report(now, router, found.map(|it| it.1).unwrap_or_default());
        }
    }

    /// Returns up to `most` prompt parts that endpoints began to read for this router since the last call, by the hash
    /// of the endpoints' ids.
    pub fn take_new_parts(&mut self, most: usize) -> Vec<(u64, u64)> {
        let from = self.placed.len().saturating_sub(most);
        self.placed.split_off(from)
    }

    /// Takes prompt parts that endpoints read for another router.
    pub fn record_peer_parts(&mut self, now: Time, placed: &[(u64, u64)]) {
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        let mut endpoints: HashMap<_, _> = endpoints.map(|it| (it.hash, it)).collect();
        for (hash, part) in placed {
            if let Some(endpoint) = endpoints.get_mut(hash) {
                endpoint.remember(now, *part);
            }
        }
    }

    /// What this router runs, by the hash of the endpoints' ids; endpoints without are left out.
    pub fn local_loads(&self) -> Vec<(u64, LoadReport)> {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        let busy = endpoints.filter(|it| it.load.own != LoadReport::default());
        busy.map(|it| (it.hash, it.load.own)).collect()
    }

    /// Takes the end of a request that was started `held_ms` ago; returns requests that start now.
    pub fn finish(
        &mut self,
        now: Time,
        pick: &Assignment,
        ending: AttemptOutcome,
        held_ms: f64,
    ) -> Vec<(WaiterId, Assignment)> {
        let Some(name) = self.numbers.get(&pick.handle).cloned() else { return Vec::new() };
        if let Some(endpoint) = self.endpoint(pick.handle) {
            endpoint.load.remove(pick.tokens);
            endpoint.health.record(now, ending);
        }
        if matches!(ending, AttemptOutcome::Served | AttemptOutcome::Failed) {
            let hold = self.holds.entry(name.clone()).or_insert(FIRST_HOLD_MS);
            *hold += (held_ms - *hold) * HOLD_WEIGHT;
        }
        self.start_queued(now, &name)
    }

    /// Takes note that an endpoint does not answer a request that still waits for it.
    pub fn record_stall(&mut self, now: Time, no: EndpointHandle) {
        if let Some(endpoint) = self.endpoint(no) {
            endpoint.health.record(now, AttemptOutcome::Unreachable);
        }
    }

    /// Starts waiting requests of a service for which there is room.
    pub fn start_queued(&mut self, now: Time, name: &Name) -> Vec<(WaiterId, Assignment)> {
        let mut started = Vec::new();
        while let Some(service) = self.services.get(name) {
            let Some((ticket, pick)) = self.next_start(now, service) else { break };
            let Some(service) = self.services.get_mut(name) else { break };
            let Some(waiter) = service.lobby.remove(ticket) else { break };
            self.count(now, &waiter.ask, &pick);
            started.push((ticket, pick));
        }
        started
    }

    /// Starts waiting requests of all services.
    pub fn start_all_queued(&mut self, now: Time) -> Vec<(WaiterId, Assignment)> {
        let names: Vec<_> = self.services.keys().cloned().collect();
        names.iter().flat_map(|it| self.start_queued(now, it)).collect()
    }

    /// The first waiting request for which there is room.
    fn next_start(&self, now: Time, service: &Service) -> Option<(WaiterId, Assignment)> {
        let choose = |it: &Waiter| service.choose(now, &self.domain, &it.ask);
        service.lobby.iter().find_map(|it| Some((it.ticket, choose(it)?)))
    }

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, service: &Name, ticket: WaiterId) {
        if let Some(service) = self.services.get_mut(service) {
            service.lobby.remove(ticket);
        }
    }

    /// Removes the requests that waited as long as they could; returns them with a time to come back, in milliseconds.
    pub fn expire(&mut self, now: Time) -> Vec<(WaiterId, u64)> {
        let mut expired = Vec::new();
        let names: Vec<_> = self.services.keys().cloned().collect();
        for name in names {
            let retry_ms = self.wait_ms(now, &name, u8::MAX).clamp(LEAST_RETRY_MS, MOST_RETRY_MS);
            let Some(service) = self.services.get_mut(&name) else { continue };
            let late = service.lobby.expire(now);
            expired.extend(late.into_iter().map(|it| (it.ticket, retry_ms)));
        }
        expired
    }

    /// When [`Dispatcher::expire`] is due.
    pub fn next_deadline(&self) -> Time {
        self.services.values().map(|it| it.lobby.deadline()).min().unwrap_or(Time::NEVER)
    }

    fn endpoint(&mut self, no: EndpointHandle) -> Option<&mut crate::endpoint::Endpoint> {
        let name = self.numbers.get(&no)?;
        self.services.get_mut(name)?.get_mut(no)
    }
}
