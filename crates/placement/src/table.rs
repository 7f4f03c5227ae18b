//! The owner's view of endpoints: the work that this router runs on them, and whether another
//! request may start.

use {
    crate::{
        bound::{Headroom, MeanLoad},
        cache::CacheEvent,
        displaced::DisplacedChats,
        endpoint::EndpointRecord,
        rendezvous::RendezvousHash,
        request::{OwnedLoad, OwnerHandover, StartRequest, StartResult},
        settings::Settings,
    },
    member::{MembershipView, Permission},
    model::{
        AttemptNo, ChatKey, Config, EndpointId, EndpointState, RequestId, ServiceId, Time, Work,
    },
    smallvec::SmallVec,
    std::collections::{BTreeMap, HashMap},
};

/// The load of a service, as control last reported it.
#[derive(Clone, Debug)]
struct ServiceLoad {
    mean: MeanLoad,
    least_loaded: SmallVec<[EndpointId; 4]>,
}

/// All endpoints known to one router.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    settings: Settings,
    endpoints: HashMap<EndpointId, EndpointRecord>,
    service_loads: BTreeMap<ServiceId, ServiceLoad>,
    displaced: DisplacedChats,
}

impl EndpointTable {
    /// Returns a table without endpoints.
    pub fn new(settings: Settings) -> EndpointTable {
        EndpointTable {
            settings,
            endpoints: HashMap::new(),
            service_loads: BTreeMap::new(),
            displaced: DisplacedChats::new(settings.max_displaced),
        }
    }

    /// Applies a new configuration. A removed endpoint is kept until its running work ends.
    pub fn update_config(&mut self, now: Time, config: &Config) {
        let first = self.endpoints.is_empty();
        let joined = if first { Time(0) } else { now };
        for record in self.endpoints.values_mut() {
            record.accepts_work = false;
        }
        for endpoint in config.endpoints.values() {
            let new_record =
                || EndpointRecord::new(endpoint.service, joined, self.settings.cache_tokens);
            let record = self.endpoints.entry(endpoint.id).or_insert_with(new_record);
            record.accepts_work = endpoint.state == EndpointState::Active;
        }
        let known = |id: &EndpointId| config.endpoints.contains_key(id);
        self.endpoints.retain(|id, record| known(id) || record.running_count() > 0);
        for service in config.services.values() {
            let mean = MeanLoad {
                service: service.id,
                sum: Work::ZERO,
                count: 0,
                bound_permille: service.bound,
            };
            let service_load = || ServiceLoad { mean, least_loaded: SmallVec::new() };
            self.service_loads.entry(service.id).or_insert_with(service_load).mean.bound_permille =
                service.bound;
        }
        self.service_loads.retain(|id, _| config.services.contains_key(id));
    }

    /// Updates a service's load from control. `least_loaded` lists its least loaded endpoints.
    pub fn update_mean(
        &mut self,
        service: ServiceId,
        sum: Work,
        count: u32,
        least_loaded: &[EndpointId],
    ) {
        if let Some(service_load) = self.service_loads.get_mut(&service) {
            service_load.mean.sum = sum;
            service_load.mean.count = count;
            service_load.least_loaded = SmallVec::from_slice(least_loaded);
        }
    }

    /// Updates the work that other routers still run on endpoints owned here, according to control.
    /// Endpoints not listed have none.
    ///
    /// Call this for each heartbeat reply whose settled roster is the one in force.
    pub fn update_remote_work(&mut self, remote_work: &[(EndpointId, Work)]) {
        for (id, record) in &mut self.endpoints {
            let found = remote_work.iter().find(|it| it.0 == *id);
            record.set_handed_over(found.map_or(Work::ZERO, |it| it.1));
        }
    }

    /// Applies a load report that the endpoint sent after it was asked at `asked`.
    pub fn apply_load_report(&mut self, now: Time, endpoint: EndpointId, asked: Time, load: Work) {
        let from = asked.saturating_sub(self.settings.report_lag_us);
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.apply_report(from, now, load);
        }
    }

    /// Applies a cache event that an endpoint published.
    pub fn apply_cache_event(&mut self, endpoint: EndpointId, event: CacheEvent) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.cache.apply_event(event);
        }
    }

    /// Returns the state that a new owner of the endpoint needs.
    pub fn handover(
        &self,
        now: Time,
        rendezvous: &RendezvousHash,
        endpoint: EndpointId,
    ) -> OwnerHandover {
        let record = self.endpoints.get(&endpoint);
        let cached = record.map(|it| it.cache.contents().collect()).unwrap_or_default();
        let is_home = |it: &(ChatKey, EndpointId)| rendezvous.home(it.0) == Some(endpoint);
        OwnerHandover { cached, displaced: self.displaced.iter(now).filter(is_home).collect() }
    }

    /// Applies the state of the endpoint's former owner. What this router has seen itself is newer
    /// and takes precedence.
    pub fn apply_handover(&mut self, now: Time, endpoint: EndpointId, handover: &OwnerHandover) {
        let Some(record) = self.endpoints.get_mut(&endpoint) else { return };
        let cached_here: Vec<_> = record.cache.contents().collect();
        record.cache.apply_event(CacheEvent::Cleared);
        handover
            .cached
            .iter()
            .chain(&cached_here)
            .for_each(|it| record.cache.record_use(it.0, it.1));
        for (chat, other) in &handover.displaced {
            if self.displaced.get(now, *chat).is_none()
                && !cached_here.iter().any(|it| it.0 == *chat)
            {
                self.displaced.insert(now, *chat, *other, now + self.settings.displaced_ttl_us);
            }
        }
    }

    /// Starts a request if this router owns its endpoint and the load bound leaves room.
    pub fn try_start(
        &mut self,
        now: Time,
        view: &MembershipView,
        rendezvous: &RendezvousHash,
        start: &StartRequest,
    ) -> StartResult {
        let permission = view.permission(now, start.endpoint);
        if permission == Permission::None {
            return StartResult::NotOwner;
        }
        if let Some(other) = self.cached_elsewhere(now, rendezvous, start) {
            return StartResult::NoCapacity { alternatives: SmallVec::from_slice(&[other]) };
        }
        let headroom = self.headroom_under(&permission, start.endpoint);
        let Some(record) = self.endpoints.get_mut(&start.endpoint) else {
            return StartResult::NotOwner;
        };
        let cached = record.cache.tokens(start.chat).min(start.prompt);
        let cost = start.cost.saturating_sub(Work(u64::from(cached)));
        if !headroom.fits(cost) {
            let alternatives = self.alternatives(now, rendezvous, start);
            return StartResult::NoCapacity { alternatives };
        }
        record.start(now, (start.request, start.attempt), cost);
        record.cache.record_use(start.chat, start.prompt);
        if start.at_home {
            self.displaced.remove(start.chat);
        }
        StartResult::Started { cached, cost }
    }

    /// Returns how long a request that found no room should wait before it spills, in microseconds.
    ///
    /// Another endpoint would have to recompute its cached prefix and lose that much engine time.
    /// So the request waits about that long. A request without a cached prefix spills at once.
    pub fn prefix_wait(&self, start: &StartRequest) -> u64 {
        let cached = self.cached_tokens(start.chat, start.endpoint).min(start.prompt);
        match cached < self.settings.min_prefix_tokens {
            true => 0,
            false => {
                (u64::from(cached) * self.settings.wait_us_per_token).min(self.settings.max_wait_us)
            }
        }
    }

    /// Ends an attempt. Returns false if it does not run there.
    pub fn finish(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        request: RequestId,
        attempt: AttemptNo,
    ) -> bool {
        let Some(record) = self.endpoints.get_mut(&endpoint) else { return false };
        record.forget_finished(now.saturating_sub(8 * self.settings.report_lag_us));
        record.finish(now, (request, attempt))
    }

    /// Records how much work of an attempt is left as its answer proceeds.
    pub fn update_progress(
        &mut self,
        endpoint: EndpointId,
        request: RequestId,
        attempt: AttemptNo,
        left: Work,
    ) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.update_progress((request, attempt), left);
        }
    }

    /// Records that a chat ran on `endpoint` because its home, which this router owns, had no room.
    pub fn record_spill(&mut self, now: Time, chat: ChatKey, endpoint: EndpointId) {
        self.displaced.insert(now, chat, endpoint, now + self.settings.displaced_ttl_us);
    }

    /// Returns how much work may start on an endpoint now.
    pub fn headroom(&mut self, now: Time, view: &MembershipView, endpoint: EndpointId) -> Headroom {
        self.headroom_under(&view.permission(now, endpoint), endpoint)
    }

    /// Returns the load of an endpoint, as this router counts it.
    pub fn load(&self, endpoint: EndpointId) -> Work {
        self.endpoints.get(&endpoint).map(EndpointRecord::load).unwrap_or_default()
    }

    /// Returns how many attempts this router runs on an endpoint.
    pub fn running_count(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(0, EndpointRecord::running_count)
    }

    /// Returns how many tokens of the chat's prefix the endpoint is expected to have cached.
    pub fn cached_tokens(&self, chat: ChatKey, endpoint: EndpointId) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, |it| it.cache.tokens(chat))
    }

    /// Returns the mean load that limits new work of a service.
    pub fn mean(&self, service: ServiceId) -> Option<MeanLoad> {
        self.service_loads.get(&service).map(|it| it.mean)
    }

    /// Returns the total load of the endpoints owned here, per service, for the next heartbeat.
    pub fn owned_loads(&self, view: &MembershipView) -> SmallVec<[OwnedLoad; 4]> {
        let mut loads: SmallVec<[OwnedLoad; 4]> = SmallVec::new();
        let (Some(owners), Some(me)) = (view.owners(), view.id()) else { return loads };
        for endpoint in owners.owned(me) {
            let Some(record) = self.endpoints.get(&endpoint) else { continue };
            let (service, min_load) = (record.service, record.load());
            match loads.iter_mut().find(|it| it.service == service) {
                None => loads.push(OwnedLoad {
                    service,
                    total: min_load,
                    count: 1,
                    least_loaded: endpoint,
                    min_load,
                }),
                Some(load) => {
                    load.total += min_load;
                    load.count += 1;
                    if min_load < load.min_load {
                        (load.least_loaded, load.min_load) = (endpoint, min_load);
                    }
                }
            }
        }
        loads
    }

    /// Returns the work that this router still runs on endpoints that it does not own, for the next
    /// heartbeat.
    pub fn unowned_work(&self, view: &MembershipView) -> SmallVec<[(EndpointId, Work); 4]> {
        let owner = |id| view.owners().and_then(|it| it.owner(id));
        let is_owned = |id| view.id().is_some() && owner(id) == view.id();
        let unowned =
            self.endpoints.iter().filter(|it| it.1.own_work() > Work::ZERO && !is_owned(*it.0));
        let mut unowned: SmallVec<[_; 4]> = unowned.map(|it| (*it.0, it.1.own_work())).collect();
        unowned.sort_unstable();
        unowned
    }

    /// Returns whether this router runs any attempt.
    pub fn has_running(&self) -> bool {
        self.endpoints.values().any(|it| it.running_count() > 0)
    }

    /// Returns the number of tracked displaced chats.
    pub fn displaced_count(&self) -> usize {
        self.displaced.len()
    }

    fn headroom_under(&mut self, permission: &Permission, endpoint: EndpointId) -> Headroom {
        let Some(record) = self.endpoints.get_mut(&endpoint).filter(|it| it.accepts_work) else {
            return Headroom::NONE;
        };
        let Some(service_load) = self.service_loads.get(&record.service) else {
            return Headroom::NONE;
        };
        let ready = match permission {
            Permission::None | Permission::Wait => false,
            Permission::Full { handover_known: true, .. } => record.confirm_handover(),
            Permission::Full { since, .. } => record.confirm_takeover(*since),
            Permission::FixedShare { since, share, cumulative, .. } => {
                let bound = service_load.mean.bound();
                record.confirm_share(
                    *since,
                    bound.scale(*share),
                    bound.saturating_sub(bound.scale_ceil(*cumulative)),
                )
            }
        };
        if !ready {
            return Headroom::NONE;
        }
        Headroom::compute(permission, &service_load.mean, record.own_work(), record.other_work())
    }

    /// Returns the endpoint that holds the prefix of a chat that arrived at its home, if the home
    /// has not cached it.
    ///
    /// This happens if the chat spilled, or if its home joined recently. The request is redirected
    /// only if the prefix is long enough to be worth it.
    fn cached_elsewhere(
        &self,
        now: Time,
        rendezvous: &RendezvousHash,
        start: &StartRequest,
    ) -> Option<EndpointId> {
        let record = self.endpoints.get(&start.endpoint)?;
        let cached = record.cache.tokens(start.chat).min(start.prompt);
        if !start.at_home || start.prompt - cached < self.settings.min_prefix_tokens {
            return None;
        }
        let other = self.displaced.get(now, start.chat).filter(|it| *it != start.endpoint);
        if other.is_some() {
            return other;
        }
        let joined_recently = |it: &EndpointRecord| {
            it.joined_at > Time(0) && now.since(it.joined_at) < self.settings.join_window_us
        };
        if cached > 0 || !joined_recently(record) {
            return None;
        }
        rendezvous.ranked(start.chat).find(|it| *it != start.endpoint)
    }

    /// Returns where a request may go that has no room here: the endpoint that has its prefix, the
    /// next one in rank order, then the least loaded endpoints.
    fn alternatives(
        &mut self,
        now: Time,
        rendezvous: &RendezvousHash,
        start: &StartRequest,
    ) -> SmallVec<[EndpointId; 4]> {
        let mut alternatives: SmallVec<[EndpointId; 4]> = SmallVec::new();
        alternatives.extend(self.displaced.get(now, start.chat));
        alternatives.extend(rendezvous.ranked(start.chat).find(|it| *it != start.endpoint));
        let service = self.endpoints.get(&start.endpoint).map(|it| it.service);
        let service_load = service.and_then(|it| self.service_loads.get(&it));
        alternatives
            .extend(service_load.into_iter().flat_map(|it| it.least_loaded.iter().copied()));
        let mut seen: SmallVec<[EndpointId; 8]> = SmallVec::from_slice(&[start.endpoint]);
        alternatives.retain(|it| {
            let new = !seen.contains(it);
            seen.push(*it);
            new
        });
        alternatives.truncate(4);
        alternatives
    }
}
