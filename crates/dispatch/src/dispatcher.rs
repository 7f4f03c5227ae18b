//! Tracks the endpoints of all services and the requests that run or wait.

use {
    crate::{
        admission::{Cause, Policy, Refusal, Waiter, WaiterId},
        change::EndpointChange,
        cold::ColdRate,
        demand::{DemandReport, DemandScope, Fate},
        endpoint::{Endpoint, Notice},
        health::{AttemptOutcome, Health},
        limit::{Fleet, LimitChange, LimitReport},
        load::{Load, LoadChunk, LoadReport, Reporter},
        placement::Placement,
        request::{Assignment, DispatchRequest, EndpointHandle},
        service::{Capacity, NoRoom, Service},
        unlisted_notices::UnlistedNotices,
    },
    derive_more::Debug,
    directory::{BuildId, ListedEndpoint},
    model::{Domain, MILLISECOND, Name, Time, hash64, mix, mix2},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
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
    Refused(Refusal),
}

/// The maximum number of waiting requests that are checked for room at a time. If that many cannot
/// start, the rest is ignored.
const MAX_COMPARED: usize = 16;

/// The maximum number of waiting requests that a new one is compared with.
const MAX_SCANNED: usize = 64;

/// The shortest retry delay that a caller is told, in milliseconds.
const MIN_RETRY_MS: u64 = 150;

/// The longest retry delay that a caller without a deadline is told, in milliseconds. Callers give up
/// rather than wait longer.
const MAX_RETRY_MS: u64 = 2_000;

/// Callers give up if a retry delay is over this part of the time that they have left.
const RETRY_LEFT_PARTS: u64 = 3;

/// The number of priorities whose retries come one after the other.
const RETRY_PRIORITIES: f64 = 3.0;

/// The part of the slots that are in use before routers tell others of demand. Below it, all demand is
/// served.
const MIN_REPORT_FILL: f64 = 0.85;

/// The part of the slots that requests beyond the share of their team and late ones leave free. Others
/// find room there at any router, although loads are known late.
const RESERVED_PART: f64 = 0.05;

/// How much the part grows each time the number of routers doubles. The more routers, the later each
/// knows of a free slot.
const RESERVED_PART_PER_DOUBLING: f64 = 0.02;

/// Returns the key that identifies a service in reports of demand.
fn service_key(name: &Name) -> u32 {
    hash64(name.as_bytes()) as u32
}

/// Returns whether requests beyond the share of their team may use a free slot.
fn has_unreserved(now: Time, service: &mut Service, routers: usize) -> bool {
    let Capacity { slots, running, .. } = service.capacity(now, None);
    let reserved = RESERVED_PART + (routers as f64).log2() * RESERVED_PART_PER_DOUBLING;
    f64::from(running) < f64::from(slots) * (1.0 - reserved)
}

/// Returns the first of some waiting requests for which there is room, and its assignment.
fn first_start<'a, I>(
    placement: &Placement<'_>,
    random: u64,
    waiters: I,
    has_unreserved: bool,
    no_room: &mut NoRoom,
) -> Option<(WaiterId, Assignment)>
where
    I: IntoIterator<Item = &'a Waiter>,
{
    let mut compared = 0;
    for waiter in waiters {
        let request = &waiter.request;
        // A model's endpoints have the same room for all that may wait.
        let by = if placement.kv_capacity.is_some() { Time(0) } else { request.wait_until };
        let need = (request.prompt.as_ref().map_or(0, |it| it.tokens), by);
        let is_hopeless = no_room.is_some_and(|it| need.0 >= it.0 && need.1 <= it.1);
        if is_hopeless || waiter.yields() && !has_unreserved {
            continue;
        }
        compared += 1;
        if compared > MAX_COMPARED {
            break;
        }
        if let Some(assignment) = placement.choose(request, random) {
            return Some((waiter.id, assignment));
        }
        let is_free =
            request.excluded.is_empty() && request.build.is_none() && request.regions.is_none();
        if is_free && no_room.is_none_or(|it| need.0 <= it.0 && need.1 >= it.1) {
            *no_room = Some(need);
        }
    }
    None
}

/// Returns a refusal of a request. Callers are told to retry when the waiting requests are expected to
/// have started, the more urgent ones first, each at a random time.
fn refusal(
    now: Time,
    service: &mut Service,
    waiter: &Waiter,
    cause: Cause,
    routers: usize,
    draw: u64,
) -> Refusal {
    let was_late = waiter.is_late && cause != Cause::WaitTooLong;
    service.demands.record_fate(now, waiter.request.priority, was_late, Fate::Refused);
    let build = waiter.request.build;
    let backlog = (service.queue.len(), service.queue.total_run_ms());
    let wait_ms = service.wait_ms(now, build, backlog, routers);
    let opens_at = service.next_opening(now, build);
    let retry_ms = if opens_at > now && opens_at != Time::NEVER {
        opens_at.since(now).div_ceil(MILLISECOND)
    } else {
        let left_ms = waiter.request.deadline.map(|it| it.since(now) / MILLISECOND);
        let max_ms = left_ms.map_or(MAX_RETRY_MS, |it| it / RETRY_LEFT_PARTS);
        let first_ms = wait_ms.max(MIN_RETRY_MS).min(max_ms / 2);
        let priority = f64::from(waiter.request.priority).min(RETRY_PRIORITIES - 1.0);
        let part = (priority + draw as f64 / u64::MAX as f64) / RETRY_PRIORITIES;
        first_ms + ((max_ms - first_ms) as f64 * part) as u64
    };
    Refusal {
        cause,
        retry_ms,
        wait_ms,
        waiting: backlog.0,
        running: service.capacity(now, build).running,
        is_beyond_share: waiter.is_beyond_share,
        report_age_ms: service.demands.report_age_ms(now),
    }
}

/// Assigns the requests of one router to endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    domain: Domain,
    /// The notices of endpoints that are not listed at the moment.
    unlisted_notices: UnlistedNotices,
    fleet: Fleet,
    /// The random number of the next choice.
    random: u64,
    services: HashMap<Name, Service>,
    /// The service of each endpoint.
    service_names: HashMap<EndpointHandle, Name>,
    last_handle: u32,
    last_waiter: u64,
    /// Waiting requests that others displaced.
    displaced: Vec<(WaiterId, Refusal)>,
    policy: Policy,
    /// The endpoint hashes and last shared parts of prompts that are new there since other routers
    /// were last informed.
    new_parts: Vec<(u64, u64)>,
}

impl Dispatcher {
    /// Returns a dispatcher for a router in `domain`, without endpoints. Routers with different
    /// seeds make different random choices.
    pub fn new(domain: Domain, seed: u64) -> Dispatcher {
        Dispatcher {
            domain,
            unlisted_notices: UnlistedNotices::default(),
            fleet: Fleet::default(),
            random: mix(seed),
            services: HashMap::new(),
            service_names: HashMap::new(),
            last_handle: 0,
            last_waiter: 0,
            displaced: Vec::new(),
            policy: Policy::default(),
            new_parts: Vec::new(),
        }
    }

    /// Sets how many tokens fit into the memory of each endpoint of a service, or `None` if the
    /// service does not run a model.
    pub fn set_kv_capacity(&mut self, service: &Name, tokens: Option<u64>) {
        self.services.entry(service.clone()).or_default().kv_capacity = tokens;
    }

    /// Sets the order in which waiting requests start. To be called before any waits.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets how many requests the cold endpoints of a service take, or `None` if its endpoints are
    /// never cold.
    pub fn set_cold_rate(&mut self, now: Time, service: &Name, rate: Option<ColdRate>) {
        let _ = (now, service, rate);
    }

    /// Replaces the listed cold endpoints, each with the time that it stays cold, in milliseconds.
    pub fn set_cold(&mut self, now: Time, endpoints: &[(Name, u32)]) {
        let _ = (now, endpoints);
    }

    /// Replaces the evacuated domains. Their endpoints get no further requests.
    pub fn set_evacuated(&mut self, now: Time, domains: &[Domain]) {
        let _ = (now, domains);
    }

    /// Replaces the regions of the failure domains.
    pub fn set_regions(&mut self, regions: HashMap<Domain, Name>) {
        let _ = regions;
    }

    /// Returns whether a service has an endpoint that accepts new requests, now or later.
    /// With `build`, it must have that software version.
    pub fn has_endpoints(&self, service: &Name, build: Option<BuildId>) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|it| it.has_endpoints(build))
    }

    /// Returns the list of endpoints.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        endpoints.map(|it| it.listed.clone()).collect()
    }

    /// Returns the service and the incarnation of each endpoint.
    pub fn incarnations(&self) -> Vec<(Name, u64)> {
        let services = self.services.iter();
        let endpoints =
            services.flat_map(|(name, it)| it.endpoints.iter().map(move |it| (name, it)));
        endpoints.map(|(name, it)| (name.clone(), it.incarnation())).collect()
    }

    /// Returns the service of an endpoint and how to send a request there.
    pub fn find(&self, now: Time, incarnation: u64) -> Option<(Name, Assignment)> {
        self.services.iter().find_map(|(name, service)| {
            let found = service.endpoints.iter().find(|it| it.incarnation() == incarnation)?;
            Some((name.clone(), found.assignment(now, 0)))
        })
    }

    /// Returns whether an endpoint has not asked this router to send nothing.
    pub fn accepts(&self, now: Time, service: &Name, handle: EndpointHandle) -> bool {
        let endpoints = self.services.get(service).into_iter().flat_map(|it| &it.endpoints);
        endpoints.filter(|it| it.handle == handle).any(|it| it.accepts(now))
    }

    /// Forgets the failures of the endpoints of a service, or of all endpoints, as they were those of
    /// the path to them.
    pub fn forgive_failures(&mut self, service: Option<&Name>) {
        self.invalidate_capacities();
        let services =
            self.services.iter_mut().filter(|it| service.is_none_or(|name| it.0 == name));
        for endpoint in services.flat_map(|it| &mut it.1.endpoints) {
            endpoint.health = Health::default();
        }
    }

    /// Replaces the list of endpoints. Returns what changed.
    pub fn update_endpoints(&mut self, listed_endpoints: &[ListedEndpoint]) -> Vec<EndpointChange> {
        self.invalidate_capacities();
        let mut changes = Vec::new();
        let listed: HashSet<_> = listed_endpoints.iter().map(|it| &it.id).collect();
        for service in self.services.values_mut() {
            service.endpoints.retain(|it| {
                let kept = listed.contains(&it.listed.id);
                if !kept {
                    changes.push(EndpointChange::Removed(it.listed.id.clone()));
                    self.service_names.remove(&it.handle);
                    self.unlisted_notices.record(it.incarnation(), it.notice);
                }
                kept
            });
        }
        listed_endpoints.iter().for_each(|it| changes.extend(self.update_endpoint(it)));
        changes
    }

    fn update_endpoint(&mut self, listed: &ListedEndpoint) -> Option<EndpointChange> {
        let found = self.find_by_id(&listed.id);
        let Some((service, handle)) = found else {
            self.add_endpoint(listed.clone());
            return Some(EndpointChange::Added(listed.clone()));
        };
        let endpoint = self.services.get_mut(&service)?.get_mut(handle)?;
        let restarted = endpoint
            .listed
            .started_at_ms
            .zip(listed.started_at_ms)
            .is_some_and(|(old, new)| old != new);
        let updated = endpoint
            .listed
            .build
            .as_ref()
            .zip(listed.build.as_ref())
            .is_some_and(|it| it.0 != it.1);
        let replaced = restarted || updated;
        if endpoint.listed.addr != listed.addr || service != listed.service || replaced {
            self.remove(&service, handle);
            self.add_endpoint(listed.clone());
            return Some(EndpointChange::Restarted(listed.id.clone()));
        }
        let starts_draining = listed.draining && !endpoint.listed.draining;
        endpoint.listed = listed.clone();
        starts_draining.then(|| EndpointChange::Draining(listed.id.clone()))
    }

    fn add_endpoint(&mut self, listed: ListedEndpoint) {
        self.last_handle += 1;
        let handle = EndpointHandle(self.last_handle);
        let name = listed.service.clone();
        self.service_names.insert(handle, name.clone());
        let mut endpoint = Endpoint::new(handle, listed);
        endpoint.notice = self.unlisted_notices.take(endpoint.incarnation());
        self.services.entry(name).or_default().endpoints.push(endpoint);
    }

    fn remove(&mut self, service: &Name, handle: EndpointHandle) {
        self.service_names.remove(&handle);
        if let Some(service) = self.services.get_mut(service) {
            let removed = service.endpoints.extract_if(.., |it| it.handle == handle);
            removed.for_each(|it| self.unlisted_notices.record(it.incarnation(), it.notice));
        }
    }

    fn find_by_id(&self, id: &Name) -> Option<(Name, EndpointHandle)> {
        self.services.iter().find_map(|(name, service)| {
            let found = service.endpoints.iter().find(|it| it.listed.id == *id)?;
            Some((name.clone(), found.handle))
        })
    }

    /// Submits a request, which starts, waits, or is refused. It may displace waiting requests, which
    /// [`Dispatcher::expire`] returns.
    pub fn submit(&mut self, now: Time, request: DispatchRequest) -> SubmitResult {
        let name = request.service.clone();
        let build = request.build;
        let mut waiter = self.waiter(now, request);
        if let Some(assignment) = self.start(now, &waiter) {
            return SubmitResult::Started(assignment);
        }
        let routers = self.fleet.len();
        let draw = mix2(self.random, waiter.id.0);
        let Some(service) = self.services.get_mut(&name) else {
            return SubmitResult::Refused(Refusal::unknown_service(MIN_RETRY_MS));
        };
        let wait = |service: &mut Service, waiter: &Waiter| {
            let ahead = service.queue.ahead(waiter);
            service.wait_ms(now, build, ahead, routers)
        };
        let starts_by = |wait_ms: u64, by: Time| now + wait_ms.saturating_mul(MILLISECOND) <= by;
        let mut wait_ms = wait(service, &waiter);
        // If all endpoints asked for no requests, the caller is told when they take some.
        if service.next_opening(now, build) > now {
            waiter.request.deadline = None;
        }
        if !starts_by(wait_ms, waiter.request.wait_until) && waiter.request.deadline.is_some() {
            waiter.is_late = true;
            wait_ms = wait(service, &waiter);
        }
        let latest_start = waiter.latest_start();
        let cause = if !service.has_endpoints(build) {
            Some(Cause::NoEndpoint)
        } else if !starts_by(wait_ms, latest_start) || latest_start <= now {
            Some(Cause::WaitTooLong)
        } else if service.queue.is_full() && !service.queue.displaces(&waiter) {
            Some(Cause::QueueFull)
        } else {
            None
        };
        if let Some(cause) = cause {
            return SubmitResult::Refused(refusal(now, service, &waiter, cause, routers, draw));
        }
        let id = waiter.id;
        if waiter.is_late {
            service.demands.record_fate(now, waiter.request.priority, false, Fate::Late);
        }
        service.queue.push(waiter);
        // The last ones may be too late now.
        while let Some(last) = service.queue.last() {
            let ahead = (service.queue.len() - 1, service.queue.total_run_ms() - last.run_ms);
            let (last_id, latest_start) = (last.id, last.latest_start());
            let is_too_late = !starts_by(service.wait_ms(now, None, ahead, routers), latest_start);
            if last_id == id || !(is_too_late || service.queue.is_full()) {
                break;
            }
            let Some(last) = service.queue.remove(last_id) else { break };
            let draw = mix2(draw, last_id.0);
            let refusal = refusal(now, service, &last, Cause::Displaced, routers, draw);
            self.displaced.push((last_id, refusal));
        }
        SubmitResult::Queued(id)
    }

    /// Returns a request with what its order depends on.
    fn waiter(&mut self, now: Time, request: DispatchRequest) -> Waiter {
        self.last_waiter += 1;
        let id = WaiterId(self.last_waiter);
        let routers = self.fleet.len();
        let mut waiter = Waiter {
            id,
            request,
            is_beyond_share: false,
            run_ms: 0.0,
            is_late: false,
            position: 0,
        };
        let request = &waiter.request;
        let Some(service) = self.services.get_mut(&request.service) else { return waiter };
        service.queue.policy = self.policy;
        waiter.run_ms = service.expected_run_ms(request);
        waiter.position = service.demands.position(request.priority);
        // A request that was sent before was counted and decided then.
        if request.excluded.is_empty() {
            let (team, priority) = (request.team, request.priority);
            let slots = f64::from(service.capacity(now, None).slots);
            service.demands.record(now, team, priority, waiter.run_ms);
            let draw = mix2(!self.random, id.0);
            waiter.is_beyond_share =
                service.demands.is_beyond_share(now, (team, priority), (slots, routers), draw);
        }
        waiter
    }

    /// Starts a request if there is room and no waiting request that goes before it could use it.
    fn start(&mut self, now: Time, waiter: &Waiter) -> Option<Assignment> {
        let service = self.services.get_mut(&waiter.request.service)?;
        let has_unreserved = has_unreserved(now, service, self.fleet.len());
        let placement = service.placement(now, &self.domain, self.fleet.len());
        let mut no_room = service.no_room(now);
        let ahead = service.queue.iter_ahead(waiter).take(MAX_SCANNED);
        if first_start(&placement, self.random, ahead, has_unreserved, &mut no_room).is_some() {
            return None;
        }
        let itself = std::iter::once(waiter);
        let found = first_start(&placement, self.random, itself, has_unreserved, &mut no_room);
        service.set_no_room(now, no_room);
        let (_, assignment) = found?;
        self.record_start(now, waiter, &assignment);
        Some(assignment)
    }

    fn record_start(&mut self, now: Time, waiter: &Waiter, assignment: &Assignment) {
        let request = &waiter.request;
        self.random = mix(self.random);
        let Some(service) = self.services.get_mut(&request.service) else { return };
        service.work.record_start(request);
        service.demands.record_fate(now, request.priority, waiter.is_late, Fate::Started);
        service.change_capacity(1);
        let Some(endpoint) = service.get_mut(assignment.handle) else { return };
        endpoint.load.add(assignment.tokens);
        endpoint.notice.limit.take(now);
        if let Some(prompt) = &request.prompt {
            let new = prompt.shared().iter().filter(|it| endpoint.record_part(now, it.id));
            // The last part implies those before it.
            if let Some(part) = new.last() {
                self.new_parts.push((endpoint.hash, part.id));
            }
        }
    }

    /// Records the load that an endpoint reported: its running and waiting requests.
    pub fn record_reported_load(&mut self, now: Time, handle: EndpointHandle, requests: u32) {
        let name = self.service_names.get(&handle);
        if let Some(service) = name.and_then(|it| self.services.get_mut(it)) {
            service.forget_no_room();
        }
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
        self.invalidate_capacities();
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
        self.invalidate_capacities();
        self.endpoint(handle).is_some_and(|it| it.notice.brittle.record(rate))
    }

    /// Replaces the list of routers that send requests to the same endpoints.
    pub fn set_routers<I>(&mut self, now: Time, own: SocketAddr, routers: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        self.invalidate_capacities();
        self.fleet = Fleet::new(own, routers);
        for endpoint in self.services.values_mut().flat_map(|it| &mut it.endpoints) {
            endpoint.notice.limit.set_share(now, &self.fleet, endpoint.hash);
        }
    }

    /// Records how many requests an endpoint takes per second from all routers together, or that it
    /// takes any number. Returns the change, if there is one.
    pub fn record_limit(
        &mut self,
        now: Time,
        handle: EndpointHandle,
        rate: Option<f64>,
    ) -> Option<LimitChange> {
        self.invalidate_capacities();
        let name = self.service_names.get(&handle)?;
        let endpoint = self.services.get_mut(name)?.get_mut(handle)?;
        endpoint.notice.limit.record(now, rate).then(|| endpoint.set_share(now, &self.fleet))
    }

    /// Returns what other routers should know about limits.
    pub fn limit_reports(&self, now: Time) -> Vec<LimitReport> {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        endpoints.filter_map(|it| it.notice.limit.report(now, it.incarnation())).collect()
    }

    /// Applies what other routers know about limits. Returns the changes.
    pub fn apply_limit_reports(&mut self, now: Time, reports: &[LimitReport]) -> Vec<LimitChange> {
        self.invalidate_capacities();
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        let mut endpoints: HashMap<_, _> = endpoints.map(|it| (it.incarnation(), it)).collect();
        let mut changes = Vec::new();
        for report in reports {
            let Some(endpoint) = endpoints.get_mut(&report.incarnation) else { continue };
            if endpoint.notice.limit.merge(now, report) {
                changes.push(endpoint.set_share(now, &self.fleet));
            }
        }
        changes
    }

    /// Applies a report of what other routers run. They run nothing on covered endpoints that are
    /// not listed.
    pub fn apply_peer_report(&mut self, now: Time, reporter: Reporter, chunk: &LoadChunk) {
        let reports: HashMap<_, _> = chunk.loads.iter().copied().collect();
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        for endpoint in endpoints.filter(|it| (chunk.from..=chunk.to).contains(&it.hash)) {
            let report = reports.get(&endpoint.hash).copied().unwrap_or_default();
            endpoint.load.apply_peer_report(now, reporter, report);
        }
    }

    /// Returns up to `max` last shared parts of prompts that endpoints began to process for this
    /// router since the last call, each with the hash of the endpoint's id.
    pub fn take_new_parts(&mut self, max: usize) -> Vec<(u64, u64)> {
        let from = self.new_parts.len().saturating_sub(max);
        self.new_parts.split_off(from)
    }

    /// Records prompt parts that endpoints processed for another router.
    pub fn record_peer_parts(&mut self, now: Time, parts: &[(u64, u64)]) {
        let endpoints = self.services.values_mut().flat_map(|it| &mut it.endpoints);
        let mut endpoints: HashMap<_, _> = endpoints.map(|it| (it.hash, it)).collect();
        for (hash, part) in parts {
            if let Some(endpoint) = endpoints.get_mut(hash) {
                endpoint.record_part(now, *part);
            }
        }
    }

    /// Returns what this router runs, keyed by the hash of the endpoint's id. Idle endpoints are
    /// omitted.
    pub fn local_loads(&self) -> Vec<(u64, LoadReport)> {
        self.busy_endpoints(|it| it.own)
    }

    /// Returns what the routers of this router's domain run, keyed by the hash of the endpoint's
    /// id. Idle endpoints are omitted.
    pub fn domain_loads(&self, now: Time) -> Vec<(u64, LoadReport)> {
        self.busy_endpoints(|it| it.domain_load(now))
    }

    /// Returns what the routers of other domains run, as far as they report sums, keyed by the
    /// hash of the endpoint's id. Idle endpoints are omitted.
    pub fn other_domains_loads(&self, now: Time) -> Vec<(u64, LoadReport)> {
        self.busy_endpoints(|it| it.other_domains_load(now))
    }

    fn busy_endpoints<F>(&self, load: F) -> Vec<(u64, LoadReport)>
    where
        F: Fn(&Load) -> LoadReport,
    {
        let endpoints = self.services.values().flat_map(|it| &it.endpoints);
        let loads = endpoints.map(|it| (it.hash, load(&it.load)));
        loads.filter(|it| it.1 != LoadReport::default()).collect()
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
        if let Some(service) = self.services.get_mut(&name) {
            service.change_capacity(-1);
        }
        if let Some(endpoint) = self.endpoint(assignment.handle) {
            endpoint.load.remove(assignment.tokens);
            endpoint.health.record(now, outcome);
            let closed_until = endpoint.notice.brittle.closed_until(now, routers);
            if let Some(until) = closed_until.filter(|_| outcome == AttemptOutcome::Full) {
                endpoint.notice.closed_until = endpoint.notice.closed_until.max(until);
            }
        }
        let is_run = matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Failed);
        if let Some(service) = self.services.get_mut(&name).filter(|_| is_run) {
            service.record_service_time(now, assignment.handle, service_ms);
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
        let mut started = Vec::new();
        while let Some(service) = self.services.get_mut(name) {
            let has_unreserved = has_unreserved(now, service, self.fleet.len());
            let placement = service.placement(now, &self.domain, self.fleet.len());
            let waiters = service.queue.iter();
            let mut no_room = service.no_room(now);
            let next = first_start(&placement, self.random, waiters, has_unreserved, &mut no_room);
            service.set_no_room(now, no_room);
            let Some((id, assignment)) = next else { break };
            let Some(service) = self.services.get_mut(name) else { break };
            let Some(waiter) = service.queue.remove(id) else { break };
            self.record_start(now, &waiter, &assignment);
            started.push((id, assignment));
        }
        started
    }

    /// Starts the waiting requests of all services for which there is room.
    pub fn start_all_queued(&mut self, now: Time) -> Vec<(WaiterId, Assignment)> {
        let names: Vec<_> = self.services.keys().cloned().collect();
        names.iter().flat_map(|it| self.start_queued(now, it)).collect()
    }

    /// Removes a waiting request whose caller left.
    pub fn cancel(&mut self, service: &Name, id: WaiterId) {
        self.displaced.retain(|it| it.0 != id);
        if let Some(service) = self.services.get_mut(service) {
            service.queue.remove(id);
        }
    }

    /// Removes the waiting requests that have waited as long as they can or were displaced.
    pub fn expire(&mut self, now: Time) -> Vec<(WaiterId, Refusal)> {
        let mut refused = std::mem::take(&mut self.displaced);
        let routers = self.fleet.len();
        for service in self.services.values_mut() {
            let (expired, late) = service.queue.expire(now);
            for priority in late {
                service.demands.record_fate(now, priority, false, Fate::Late);
            }
            for waiter in expired {
                let draw = mix2(self.random, waiter.id.0);
                let refusal = refusal(now, service, &waiter, Cause::Expired, routers, draw);
                refused.push((waiter.id, refusal));
            }
        }
        refused
    }

    /// Returns the demand for services without slots to spare, each with the key of the service, for
    /// other routers.
    pub fn demand_reports(&mut self, now: Time, scope: DemandScope) -> Vec<(u32, DemandReport)> {
        let services = self.services.iter_mut();
        let contended = services.filter_map(|(name, it)| {
            let capacity = it.capacity(now, None);
            let is_full =
                f64::from(capacity.running) >= f64::from(capacity.slots) * MIN_REPORT_FILL;
            (is_full || it.queue.len() > 0).then_some((name, it))
        });
        let reports =
            contended.map(|(name, it)| (service_key(name), it.demands.report(now, scope)));
        reports.filter(|it| it.1 != DemandReport::default()).collect()
    }

    /// Applies what other routers know about the demand for the service with this key.
    pub fn apply_demand_report(
        &mut self,
        now: Time,
        reporter: Reporter,
        service: u32,
        report: DemandReport,
    ) {
        let found = self.services.iter_mut().find(|it| service_key(it.0) == service);
        if let Some((_, service)) = found {
            service.demands.apply_report(now, reporter, report);
        }
    }

    /// Returns when [`Dispatcher::expire`] must be called next.
    pub fn next_deadline(&self) -> Time {
        self.services.values().map(|it| it.queue.deadline()).min().unwrap_or(Time::NEVER)
    }

    fn invalidate_capacities(&mut self) {
        self.services.values_mut().for_each(Service::invalidate);
    }

    fn endpoint(&mut self, handle: EndpointHandle) -> Option<&mut Endpoint> {
        let name = self.service_names.get(&handle)?;
        self.services.get_mut(name)?.get_mut(handle)
    }
}
