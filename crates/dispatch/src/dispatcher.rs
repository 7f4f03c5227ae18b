//! Tracks the endpoints of all services and the requests that run or wait.

mod conditions;
mod list;
mod peers;

use {
    crate::{
        cold::ColdSource,
        domain_rules::{DomainRules, EVACUATED_RETRY_MS},
        endpoint::{Endpoint, Notice},
        health::{AttemptOutcome, Health},
        limit::Fleet,
        outage::OutageReport,
        queue::{Waiter, WaiterId},
        request::{Assignment, DispatchRequest, EndpointHandle},
        service::Service,
        unlisted_notices::UnlistedNotices,
    },
    derive_more::Debug,
    model::{Domain, MILLISECOND, Name, Time, mix, mix2},
    std::collections::{HashMap, HashSet},
};

/// The result of submitting a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum SubmitResult {
    /// The request starts on an endpoint.
    Started(Assignment),
    /// The request waits until [`Dispatcher::finish`] starts it or [`Dispatcher::expire`] refuses
    /// it.
    Queued(WaiterId),
    /// The request cannot be served in time.
    Refused {
        /// The estimated time until there is room, in milliseconds.
        retry_ms: u64,
    },
}

/// The maximum number of waiting requests per service.
const MAX_WAITING: usize = 512;

/// The maximum number of waiting requests that a new request is checked against. If that many
/// cannot start, the rest is ignored.
const MAX_COMPARED: usize = 16;

/// The shortest retry delay that a caller is told, in milliseconds.
const MIN_RETRY_MS: u64 = 150;

/// The longest retry delay that a caller is told, in milliseconds. Callers give up rather than wait
/// longer.
const MAX_RETRY_MS: u64 = 2_000;

/// Callers give up if a retry delay is over this part of the time that they have left.
const RETRY_LEFT_PARTS: u64 = 3;

/// The number of priorities whose retries come one after the other.
const RETRY_PRIORITIES: f64 = 3.0;

/// The assumed time that a request occupies an endpoint before any has ended, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 200.0;

/// The weight of one request in the moving average of the time that requests occupy an endpoint.
const SERVICE_MS_WEIGHT: f64 = 0.05;

/// The maximum number of outages that wait to be told to other routers.
const MAX_NEW_OUTAGES: usize = 256;

/// Returns the retry delay that a caller is told, in milliseconds. If no endpoint takes requests
/// now, it is the time until one does. Callers that take late responses are spread over the time in
/// which they would come back, the more urgent ones first.
fn retry_ms(
    now: Time,
    service: &Service,
    request: &DispatchRequest,
    estimated_wait_ms: u64,
    random: u64,
) -> u64 {
    let eligibility = request.eligibility();
    if service.is_evacuated(eligibility) {
        return EVACUATED_RETRY_MS;
    }
    let opens_at = service.opens_at(eligibility);
    if opens_at > now && opens_at != Time::NEVER {
        return opens_at.since(now).div_ceil(MILLISECOND);
    }
    let Some(finish_by) = request.finish_by else {
        return estimated_wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    };
    let max_ms = finish_by.since(now) / MILLISECOND / RETRY_LEFT_PARTS;
    let first_ms = estimated_wait_ms.max(MIN_RETRY_MS).min(max_ms / 2);
    let priority = f64::from(request.priority).min(RETRY_PRIORITIES - 1.0);
    let part = (priority + random as f64 / u64::MAX as f64) / RETRY_PRIORITIES;
    first_ms + ((max_ms - first_ms) as f64 * part) as u64
}

/// Assigns the requests of one router to endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    domain: Domain,
    /// The notices of endpoints that are not listed at the moment.
    unlisted_notices: UnlistedNotices,
    fleet: Fleet,
    domain_rules: DomainRules,
    /// Until when the listed cold endpoints are cold.
    listed_cold: HashMap<Name, Time>,
    /// Endpoints that may be cold as they are new in the list, which have not been handled yet.
    new_endpoints: Vec<(EndpointHandle, ColdSource)>,
    /// The runs of endpoints that have been listed. `None` before the first list.
    known_runs: Option<HashSet<u64>>,
    /// The random number of the next choice.
    random: u64,
    services: HashMap<Name, Service>,
    /// The service of each endpoint.
    service_names: HashMap<EndpointHandle, Name>,
    last_handle: u32,
    last_waiter: u64,
    /// The mean time that a request occupies an endpoint, per service, in milliseconds.
    service_times_ms: HashMap<Name, f64>,
    /// The endpoint hashes and last shared parts of prompts that are new there since other routers
    /// were last informed.
    new_parts: Vec<(u64, u64)>,
    /// The outages that other routers have not been told yet.
    new_outages: Vec<OutageReport>,
    /// Requests that others displaced from a full queue, each with a retry delay in milliseconds.
    displaced: Vec<(WaiterId, u64)>,
}

impl Dispatcher {
    /// Returns a dispatcher for a router in `domain`, without endpoints. Routers with different
    /// seeds make different random choices.
    pub fn new(domain: Domain, seed: u64) -> Dispatcher {
        Dispatcher {
            domain,
            unlisted_notices: UnlistedNotices::default(),
            fleet: Fleet::default(),
            domain_rules: DomainRules::default(),
            listed_cold: HashMap::new(),
            new_endpoints: Vec::new(),
            known_runs: None,
            random: mix(seed),
            services: HashMap::new(),
            service_names: HashMap::new(),
            last_handle: 0,
            last_waiter: 0,
            service_times_ms: HashMap::new(),
            new_parts: Vec::new(),
            new_outages: Vec::new(),
            displaced: Vec::new(),
        }
    }

    /// Sets how many tokens fit into the memory of each endpoint of a service, or `None` if the
    /// service does not run a model.
    pub fn set_kv_capacity(&mut self, service: &Name, tokens: Option<u64>) {
        self.services.entry(service.clone()).or_default().kv_capacity = tokens;
    }

    /// Returns whether an endpoint has not asked this router to send nothing.
    pub fn accepts(&self, now: Time, service: &Name, handle: EndpointHandle) -> bool {
        let endpoints = self.services.get(service).into_iter().flat_map(|it| &it.endpoints);
        endpoints.filter(|it| it.handle == handle).any(|it| it.accepts(now))
    }

    /// Forgets the failures of the endpoints of a service, or of all endpoints, as they were those of
    /// the path to them.
    pub fn forgive_failures(&mut self, service: Option<&Name>) {
        let services =
            self.services.iter_mut().filter(|it| service.is_none_or(|name| it.0 == name));
        for endpoint in services.flat_map(|it| &mut it.1.endpoints) {
            endpoint.health = Health::default();
            endpoint.notice.cold.forgive_failures();
        }
    }

    /// Submits a request, which starts, waits, or is refused.
    pub fn submit(&mut self, now: Time, request: DispatchRequest) -> SubmitResult {
        self.apply_new_endpoints(now);
        if let Some(assignment) = self.start(now, &request) {
            return SubmitResult::Started(assignment);
        }
        let name = request.service.clone();
        let mut waiter = self.waiter(request);
        let mut wait_ms = self.estimated_wait_ms(now, &name, Some(&waiter));
        let starts_by = |wait_ms: u64, by: Time| now + wait_ms.saturating_mul(MILLISECOND) <= by;
        let mut is_in_time = starts_by(wait_ms, waiter.expires);
        if !is_in_time && waiter.make_late(now) {
            wait_ms = self.estimated_wait_ms(now, &name, Some(&waiter));
            is_in_time = starts_by(wait_ms, waiter.expires);
        }
        let Some(service) = self.services.get_mut(&name) else {
            return SubmitResult::Refused { retry_ms: MIN_RETRY_MS };
        };
        let may_wait = is_in_time && service.has_endpoints(waiter.request.eligibility());
        let is_full = service.queue.len() >= MAX_WAITING;
        let displaced = if may_wait && is_full { service.queue.displace(&waiter) } else { None };
        if !may_wait || service.queue.len() >= MAX_WAITING {
            let random = mix2(self.random, waiter.id.0);
            let retry_ms = retry_ms(now, service, &waiter.request, wait_ms, random);
            return SubmitResult::Refused { retry_ms };
        }
        if let Some(displaced) = displaced {
            let random = mix2(self.random, displaced.id.0);
            let retry_ms = retry_ms(now, service, &displaced.request, wait_ms, random);
            self.displaced.push((displaced.id, retry_ms));
        }
        let id = waiter.id;
        service.queue.push(waiter);
        SubmitResult::Queued(id)
    }

    /// Returns a request with what its position among waiting requests depends on.
    fn waiter(&mut self, request: DispatchRequest) -> Waiter {
        self.last_waiter += 1;
        let mean_ms = self.service_times_ms.get(&request.service).copied();
        let service = self.services.get(&request.service);
        let part = service.map_or(1.0, |it| it.work_part(&request));
        let run_ms = mean_ms.unwrap_or(INITIAL_SERVICE_MS) * part;
        Waiter::new(WaiterId(self.last_waiter), request, run_ms)
    }

    /// Starts a request if there is room and no waiting request that goes before it could use it.
    fn start(&mut self, now: Time, request: &DispatchRequest) -> Option<Assignment> {
        let service = self.services.get(&request.service)?;
        let newcomer = Waiter::new(WaiterId(u64::MAX), request.clone(), 0.0);
        let ahead = service.queue.ahead(&newcomer).min(MAX_COMPARED);
        let placement = service.placement(now, &self.domain, self.fleet.len());
        let choose = |it| placement.choose(it, self.random);
        if service.queue.iter().take(ahead).any(|it| choose(&it.request).is_some()) {
            return None;
        }
        let assignment = choose(request)?;
        self.record_start(now, request, &assignment);
        Some(assignment)
    }

    fn record_start(&mut self, now: Time, request: &DispatchRequest, assignment: &Assignment) {
        self.random = mix(self.random);
        let Some(service) = self.services.get_mut(&request.service) else { return };
        service.record_work(request);
        let Some(endpoint) = service.get_mut(assignment.handle) else { return };
        endpoint.take(now, assignment.tokens);
        if let Some(prompt) = &request.prompt {
            let new = prompt.shared().iter().filter(|it| endpoint.record_part(now, it.id));
            // The last part implies those before it.
            if let Some(part) = new.last() {
                self.new_parts.push((endpoint.hash, part.id));
            }
        }
    }

    /// Returns the estimated time until a request starts, in milliseconds; without one, until one
    /// that goes behind all waiting requests starts.
    fn estimated_wait_ms(&self, now: Time, name: &Name, waiter: Option<&Waiter>) -> u64 {
        let Some(service) = self.services.get(name) else { return MAX_RETRY_MS };
        let eligibility = waiter.map(|it| it.request.eligibility()).unwrap_or_default();
        let ahead = waiter.map_or(service.queue.len(), |it| service.queue.ahead(it));
        let opens_at = service.opens_at(eligibility);
        if opens_at == Time::NEVER {
            return MAX_RETRY_MS;
        }
        if opens_at > now {
            let opens_ms = opens_at.since(now).div_ceil(MILLISECOND);
            return opens_ms + service.limit_wait_ms(now, eligibility, ahead);
        }
        let ready =
            service.endpoints.iter().filter(|it| it.is_open(now) && it.is_eligible(eligibility));
        let running: u32 = ready.map(|it| it.load.requests(now)).sum();
        let mean_ms = self.service_times_ms.get(name).copied().unwrap_or(INITIAL_SERVICE_MS);
        let ahead = ahead as f64 + 1.0;
        (mean_ms * ahead / f64::from(running.max(1))).ceil() as u64
    }

    /// Records the load that an endpoint reported: its running and waiting requests.
    pub fn record_reported_load(&mut self, now: Time, handle: EndpointHandle, requests: u32) {
        if let Some(endpoint) = self.endpoint(handle) {
            endpoint.load.record_self_report(now, requests);
        }
    }

    /// Records that the endpoint of a request is leaving. It gets no further requests. Returns whether
    /// this is new.
    pub fn record_leaving(&mut self, sent: &Assignment) -> bool {
        let mut is_new = false;
        self.update_notice(sent, |it| is_new = !std::mem::replace(&mut it.leaving, true));
        is_new
    }

    /// Records that the endpoint of a request wants none until `closed_until`. Returns whether the
    /// endpoint is listed.
    pub fn record_closed(&mut self, sent: &Assignment, closed_until: Time) -> bool {
        self.update_notice(sent, |it| it.closed_until = it.closed_until.max(closed_until))
    }

    /// Changes the notice of the endpoint of a request. It may have been listed anew since then, with
    /// another handle. Returns whether it is listed.
    fn update_notice<F>(&mut self, sent: &Assignment, update: F) -> bool
    where
        F: FnOnce(&mut Notice),
    {
        let Assignment { handle, incarnation, .. } = *sent;
        let is_same = |it: &&mut Endpoint| it.handle == handle || it.incarnation() == incarnation;
        let mut endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        if let Some(endpoint) = endpoints.find(is_same) {
            update(&mut endpoint.notice);
            return true;
        }
        let mut notice = self.unlisted_notices.take(incarnation);
        update(&mut notice);
        self.unlisted_notices.record(incarnation, notice);
        false
    }

    /// Records how many rejections per second an endpoint bears from all routers together, or that it
    /// bears any number. Returns whether this is new.
    pub fn record_brittle(&mut self, handle: EndpointHandle, rate: Option<f64>) -> bool {
        self.endpoint(handle).is_some_and(|it| it.notice.brittle.record(rate))
    }

    /// Records the end of a request that occupied its endpoint for `service_ms` milliseconds.
    /// Returns the waiting requests that start now.
    pub fn finish(
        &mut self,
        now: Time,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        service_ms: f64,
    ) -> Vec<(WaiterId, Assignment)> {
        let Some(name) = self.service_names.get(&assignment.handle).cloned() else {
            return Vec::new();
        };
        let routers = self.fleet.len();
        if let Some(endpoint) = self.endpoint(assignment.handle) {
            endpoint.load.remove(assignment.tokens);
            let outage = endpoint.record_outcome(now, outcome);
            let closed_until = endpoint.notice.brittle.closed_until(now, routers);
            if let Some(until) = closed_until.filter(|_| outcome == AttemptOutcome::Full) {
                endpoint.notice.closed_until = endpoint.notice.closed_until.max(until);
            }
            self.new_outages.extend(outage.filter(|_| self.new_outages.len() < MAX_NEW_OUTAGES));
        }
        self.record_contact(now, assignment.handle, outcome);
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Failed) {
            let mean_ms = self.service_times_ms.entry(name.clone()).or_insert(INITIAL_SERVICE_MS);
            *mean_ms += (service_ms - *mean_ms) * SERVICE_MS_WEIGHT;
            if let Some(service) = self.services.get_mut(&name) {
                service.record_service_time(now, assignment.handle, service_ms);
            }
        }
        self.start_queued(now, &name)
    }

    /// Records that an endpoint has stopped responding to a request that is still pending.
    pub fn record_stall(&mut self, now: Time, handle: EndpointHandle) {
        if let Some(endpoint) = self.endpoint(handle) {
            endpoint.health.record(now, AttemptOutcome::Unreachable);
        }
    }

    /// Records that a request at an endpoint got nothing for longer than its route expects. It may
    /// still be completed.
    pub fn record_silence(&mut self, now: Time, handle: EndpointHandle) {
        if let Some(endpoint) = self.endpoint(handle) {
            endpoint.health.record(now, AttemptOutcome::Broken);
        }
    }

    /// Starts the waiting requests of a service for which there is room.
    pub fn start_queued(&mut self, now: Time, name: &Name) -> Vec<(WaiterId, Assignment)> {
        self.apply_new_endpoints(now);
        let mut started = Vec::new();
        while let Some(service) = self.services.get(name) {
            let Some((id, assignment)) = self.next_start(now, service) else { break };
            let Some(service) = self.services.get_mut(name) else { break };
            let Some(waiter) = service.queue.remove(id) else { break };
            self.record_start(now, &waiter.request, &assignment);
            started.push((id, assignment));
        }
        started
    }

    /// Starts the waiting requests of all services for which there is room.
    pub fn start_all_queued(&mut self, now: Time) -> Vec<(WaiterId, Assignment)> {
        let names: Vec<_> = self.services.keys().cloned().collect();
        names.iter().flat_map(|it| self.start_queued(now, it)).collect()
    }

    /// Returns the first waiting request for which there is room, and its assignment.
    fn next_start(&self, now: Time, service: &Service) -> Option<(WaiterId, Assignment)> {
        let placement = service.placement(now, &self.domain, self.fleet.len());
        let choose = |it: &Waiter| placement.choose(&it.request, self.random);
        service.queue.iter().find_map(|it| Some((it.id, choose(it)?)))
    }

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, service: &Name, id: WaiterId) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.remove(id);
        }
    }

    /// Removes the waiting requests that have expired. Returns each with a retry delay in
    /// milliseconds.
    pub fn expire(&mut self, now: Time) -> Vec<(WaiterId, u64)> {
        self.expire_evacuated(now);
        let mut expired = std::mem::take(&mut self.displaced);
        let names: Vec<_> = self.services.keys().cloned().collect();
        for name in names {
            let wait_ms = self.estimated_wait_ms(now, &name, None);
            let Some(service) = self.services.get_mut(&name) else { continue };
            for waiter in service.queue.expire(now) {
                let random = mix2(self.random, waiter.id.0);
                let retry_ms = retry_ms(now, service, &waiter.request, wait_ms, random);
                expired.push((waiter.id, retry_ms));
            }
        }
        expired
    }

    /// Returns when [`Dispatcher::expire`] must be called next.
    pub fn next_deadline(&self) -> Time {
        if !self.displaced.is_empty() {
            return Time(0);
        }
        self.services.values().map(|it| it.queue.deadline()).min().unwrap_or(Time::NEVER)
    }

    fn endpoint(&mut self, handle: EndpointHandle) -> Option<&mut Endpoint> {
        let name = self.service_names.get(&handle)?;
        self.services.get_mut(name)?.get_mut(handle)
    }
}
