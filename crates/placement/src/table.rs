//! The owner's side: what one router runs on endpoints, and whether one more request may start.

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
    member::{Right, View},
    model::{
        AttemptNo, ChatKey, Config, EndpointId, EndpointState, RequestId, ServiceId, Time, Work,
    },
    smallvec::SmallVec,
    std::collections::{BTreeMap, HashMap},
};

/// What control last said of a service.
#[derive(Clone, Debug)]
struct ServiceLoad {
    mean: MeanLoad,
    least_loaded: SmallVec<[EndpointId; 4]>,
}

/// All endpoints as one router knows them.
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

    /// Takes a new configuration. A dropped endpoint stays until the work that runs there has ended.
    pub fn update_config(&mut self, now: Time, config: &Config) {
        let first = self.endpoints.is_empty();
        let joined = if first { Time(0) } else { now };
        for record in self.endpoints.values_mut() {
            record.accepts_work = false;
        }
        for endpoint in config.endpoints.values() {
            let fresh =
                || EndpointRecord::new(endpoint.service, joined, self.settings.cache_tokens);
            let record = self.endpoints.entry(endpoint.id).or_insert_with(fresh);
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

    /// Takes what control says of a service's load; `hints` are its least loaded endpoints.
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

    /// Takes what control says that other routers still run on endpoints owned here; nothing on all the others.
    ///
    /// To be called with each answered heartbeat whose settled roster is the one in force.
    pub fn update_remote_work(&mut self, held: &[(EndpointId, Work)]) {
        for (id, record) in &mut self.endpoints {
            let found = held.iter().find(|it| it.0 == *id);
            record.set_handed_over(found.map_or(Work::ZERO, |it| it.1));
        }
    }

    /// Takes an endpoint's load report, which the endpoint sent after it was asked at `asked`.
    pub fn apply_load_report(&mut self, now: Time, endpoint: EndpointId, asked: Time, load: Work) {
        let from = asked.before(self.settings.report_lag_us);
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.apply_report(from, now, load);
        }
    }

    /// Takes what an endpoint published about its cache.
    pub fn apply_cache_event(&mut self, endpoint: EndpointId, event: CacheEvent) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.cache.apply_event(event);
        }
    }

    /// What a new owner of the endpoint should know.
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

    /// Takes over what the former owner of the endpoint knew; what this router saw itself counts as newer.
    pub fn apply_handover(&mut self, now: Time, endpoint: EndpointId, memory: &OwnerHandover) {
        let Some(record) = self.endpoints.get_mut(&endpoint) else { return };
        let seen: Vec<_> = record.cache.contents().collect();
        record.cache.apply_event(CacheEvent::Cleared);
        memory.cached.iter().chain(&seen).for_each(|it| record.cache.record_use(it.0, it.1));
        for (chat, other) in &memory.displaced {
            if self.displaced.get(now, *chat).is_none() && !seen.iter().any(|it| it.0 == *chat) {
                self.displaced.insert(now, *chat, *other, now + self.settings.displaced_ttl_us);
            }
        }
    }

    /// Starts a request if its endpoint is owned here and has room inside the bound.
    pub fn try_start(
        &mut self,
        now: Time,
        view: &View,
        rendezvous: &RendezvousHash,
        start: &StartRequest,
    ) -> StartResult {
        let right = view.right(now, start.endpoint);
        if right == Right::None {
            return StartResult::NotOwner;
        }
        if let Some(other) = self.cached_elsewhere(now, rendezvous, start) {
            return StartResult::NoCapacity { alternatives: SmallVec::from_slice(&[other]) };
        }
        let headroom = self.headroom_under(&right, start.endpoint);
        let Some(record) = self.endpoints.get_mut(&start.endpoint) else {
            return StartResult::NotOwner;
        };
        let cached = record.cache.tokens(start.chat).min(start.prompt);
        let cost = start.cost.less(Work(u64::from(cached)));
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

    /// How long a request that found no room should wait there before it goes elsewhere, in microseconds.
    ///
    /// Elsewhere its cached prefix would have to be computed again, on an engine that loses as much time by it. So it
    /// waits about that long; a request without a cached prefix goes on at once.
    pub fn prefix_wait(&self, start: &StartRequest) -> u64 {
        let cached = self.cached_tokens(start.chat, start.endpoint).min(start.prompt);
        match cached < self.settings.min_prefix_tokens {
            true => 0,
            false => {
                (u64::from(cached) * self.settings.wait_us_per_token).min(self.settings.max_wait_us)
            }
        }
    }

    /// Ends an attempt; false if it does not run there.
    pub fn finish(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        request: RequestId,
        attempt: AttemptNo,
    ) -> bool {
        let Some(record) = self.endpoints.get_mut(&endpoint) else { return false };
        record.forget_finished(now.before(8 * self.settings.report_lag_us));
        record.finish(now, (request, attempt))
    }

    /// Notes how much work of an attempt is left, as its answer proceeds.
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

    /// Notes that a chat that was refused at its home, owned here, ran elsewhere.
    pub fn record_spill(&mut self, now: Time, chat: ChatKey, endpoint: EndpointId) {
        self.displaced.insert(now, chat, endpoint, now + self.settings.displaced_ttl_us);
    }

    /// How much may start on an endpoint now.
    pub fn headroom(&mut self, now: Time, view: &View, endpoint: EndpointId) -> Headroom {
        self.headroom_under(&view.right(now, endpoint), endpoint)
    }

    /// The load of an endpoint, as this router counts it.
    pub fn load(&self, endpoint: EndpointId) -> Work {
        self.endpoints.get(&endpoint).map(EndpointRecord::load).unwrap_or_default()
    }

    /// How many attempts this router runs on an endpoint.
    pub fn running_count(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(0, EndpointRecord::running_count)
    }

    /// How many tokens of the chat's prefix the endpoint should have cached.
    pub fn cached_tokens(&self, chat: ChatKey, endpoint: EndpointId) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, |it| it.cache.tokens(chat))
    }

    /// The mean load by which this router starts work.
    pub fn mean(&self, service: ServiceId) -> Option<MeanLoad> {
        self.service_loads.get(&service).map(|it| it.mean)
    }

    /// The sums over the endpoints owned here, for the next heartbeat.
    pub fn owned_loads(&self, view: &View) -> SmallVec<[OwnedLoad; 4]> {
        let mut sums: SmallVec<[OwnedLoad; 4]> = SmallVec::new();
        let (Some(owners), Some(me)) = (view.owners(), view.me()) else { return sums };
        for endpoint in owners.owned(me) {
            let Some(record) = self.endpoints.get(&endpoint) else { continue };
            let (service, min_load) = (record.service, record.load());
            match sums.iter_mut().find(|it| it.service == service) {
                None => sums.push(OwnedLoad {
                    service,
                    total: min_load,
                    count: 1,
                    least_loaded: endpoint,
                    min_load,
                }),
                Some(sum) => {
                    sum.total += min_load;
                    sum.count += 1;
                    if min_load < sum.min_load {
                        (sum.least_loaded, sum.min_load) = (endpoint, min_load);
                    }
                }
            }
        }
        sums
    }

    /// The work that this router still runs on endpoints that it does not own, for the next heartbeat.
    pub fn unowned_work(&self, view: &View) -> SmallVec<[(EndpointId, Work); 4]> {
        let owner = |id| view.owners().and_then(|it| it.owner(id));
        let kept = |id| view.me().is_some() && owner(id) == view.me();
        let held = self.endpoints.iter().filter(|it| it.1.own_work() > Work::ZERO && !kept(*it.0));
        let mut held: SmallVec<[_; 4]> = held.map(|it| (*it.0, it.1.own_work())).collect();
        held.sort_unstable();
        held
    }

    /// Whether this router runs anything.
    pub fn has_running(&self) -> bool {
        self.endpoints.values().any(|it| it.running_count() > 0)
    }

    /// How many chats are remembered to be away from home.
    pub fn displaced_count(&self) -> usize {
        self.displaced.len()
    }

    fn headroom_under(&mut self, right: &Right, endpoint: EndpointId) -> Headroom {
        let Some(record) = self.endpoints.get_mut(&endpoint).filter(|it| it.accepts_work) else {
            return Headroom::NONE;
        };
        let Some(service_load) = self.service_loads.get(&record.service) else {
            return Headroom::NONE;
        };
        let ready = match right {
            Right::None | Right::Wait => false,
            Right::Full { clean: true, .. } => record.confirm_handover(),
            Right::Full { since, .. } => record.confirm_takeover(*since),
            Right::Share { since, share, before, .. } => {
                let bound = service_load.mean.bound();
                record.confirm_share(
                    *since,
                    bound.scale(*share),
                    bound.less(bound.scale_up(*before)),
                )
            }
        };
        if !ready {
            return Headroom::NONE;
        }
        Headroom::compute(right, &service_load.mean, record.own_work(), record.other_work())
    }

    /// Where the prefix of a chat is that came home without being cached there.
    ///
    /// A chat that was spilled, or whose home joined not long ago, has it there. It is sent there only if it is long
    /// enough for the way to be worth it.
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
        let away = self.displaced.get(now, start.chat).filter(|it| *it != start.endpoint);
        if away.is_some() {
            return away;
        }
        let joined_recently = |it: &EndpointRecord| {
            it.joined_at > Time(0) && now.since(it.joined_at) < self.settings.join_window_us
        };
        if cached > 0 || !joined_recently(record) {
            return None;
        }
        rendezvous.ranked(start.chat).find(|it| *it != start.endpoint)
    }

    /// Where a request may go that has no room here: to its prefix, then to the least loaded endpoints.
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
