//! The owner's side: what one router runs on endpoints, and whether one more request may start.

use {
    crate::{
        bound::{Headroom, MeanLoad},
        cache::CacheEvent,
        engine::Engine,
        exceptions::DisplacedChats,
        homes::RendezvousHash,
        settings::Settings,
        start::{OwnedLoad, OwnerHandover, StartRequest, StartResult},
    },
    member::{MembershipView, Permission},
    model::{
        AttemptNo, ChatKey, Config, EndpointId, EndpointState, RequestId, ServiceId, Time, Work,
    },
    smallvec::SmallVec,
    std::collections::{BTreeMap, HashMap},
};

/// What control last said of a service.
#[derive(Clone, Debug)]
struct Level {
    mean: MeanLoad,
    hints: SmallVec<[EndpointId; 4]>,
}

/// All endpoints as one router knows them.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    settings: Settings,
    engines: HashMap<EndpointId, Engine>,
    levels: BTreeMap<ServiceId, Level>,
    exceptions: DisplacedChats,
}

impl EndpointTable {
    /// Returns a table without endpoints.
    pub fn new(settings: Settings) -> EndpointTable {
        EndpointTable {
            settings,
            engines: HashMap::new(),
            levels: BTreeMap::new(),
            exceptions: DisplacedChats::new(settings.exceptions),
        }
    }

    /// Takes a new configuration. A dropped endpoint stays until the work that runs there has ended.
    pub fn update_config(&mut self, now: Time, config: &Config) {
        let first = self.engines.is_empty();
        let joined = if first { Time(0) } else { now };
        for engine in self.engines.values_mut() {
            engine.open = false;
        }
        for endpoint in config.endpoints.values() {
            let fresh = || Engine::new(endpoint.service, joined, self.settings.cache);
            let engine = self.engines.entry(endpoint.id).or_insert_with(fresh);
            engine.open = endpoint.state == EndpointState::Active;
        }
        let known = |id: &EndpointId| config.endpoints.contains_key(id);
        self.engines.retain(|id, engine| known(id) || engine.count() > 0);
        for service in config.services.values() {
            let mean = MeanLoad {
                service: service.id,
                sum: Work::ZERO,
                count: 0,
                bound_permille: service.bound,
            };
            let level = || Level { mean, hints: SmallVec::new() };
            self.levels.entry(service.id).or_insert_with(level).mean.bound_permille = service.bound;
        }
        self.levels.retain(|id, _| config.services.contains_key(id));
    }

    /// Takes what control says of a service's load; `hints` are its least loaded endpoints.
    pub fn update_mean(&mut self, service: ServiceId, sum: Work, count: u32, hints: &[EndpointId]) {
        if let Some(level) = self.levels.get_mut(&service) {
            level.mean.sum = sum;
            level.mean.count = count;
            level.hints = SmallVec::from_slice(hints);
        }
    }

    /// Takes what control says that other routers still run on endpoints owned here; nothing on all the others.
    ///
    /// To be called with each answered heartbeat whose settled roster is the one in force.
    pub fn update_remote_work(&mut self, held: &[(EndpointId, Work)]) {
        for (id, engine) in &mut self.engines {
            let found = held.iter().find(|it| it.0 == *id);
            engine.hand_over(found.map_or(Work::ZERO, |it| it.1));
        }
    }

    /// Takes an endpoint's load report, which the endpoint sent after it was asked at `asked`.
    pub fn apply_load_report(&mut self, now: Time, endpoint: EndpointId, asked: Time, load: Work) {
        let from = asked.saturating_sub(self.settings.lag);
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.report(from, now, load);
        }
    }

    /// Takes what an endpoint published about its cache.
    pub fn apply_cache_event(&mut self, endpoint: EndpointId, event: CacheEvent) {
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.cache.apply_event(event);
        }
    }

    /// What a new owner of the endpoint should know.
    pub fn handover(
        &self,
        now: Time,
        homes: &RendezvousHash,
        endpoint: EndpointId,
    ) -> OwnerHandover {
        let engine = self.engines.get(&endpoint);
        let cached = engine.map(|it| it.cache.contents().collect()).unwrap_or_default();
        let lives = |it: &(ChatKey, EndpointId)| homes.home(it.0) == Some(endpoint);
        OwnerHandover { cached, displaced: self.exceptions.iter(now).filter(lives).collect() }
    }

    /// Takes over what the former owner of the endpoint knew; what this router saw itself counts as newer.
    pub fn apply_handover(&mut self, now: Time, endpoint: EndpointId, memory: &OwnerHandover) {
        let Some(engine) = self.engines.get_mut(&endpoint) else { return };
        let seen: Vec<_> = engine.cache.contents().collect();
        engine.cache.apply_event(CacheEvent::Cleared);
        memory.cached.iter().chain(&seen).for_each(|it| engine.cache.record_use(it.0, it.1));
        for (chat, other) in &memory.displaced {
            if self.exceptions.get(now, *chat).is_none() && !seen.iter().any(|it| it.0 == *chat) {
                self.exceptions.insert(now, *chat, *other, now + self.settings.away);
            }
        }
    }

    /// Starts a request if its endpoint is owned here and has room inside the bound.
    pub fn try_start(
        &mut self,
        now: Time,
        view: &MembershipView,
        homes: &RendezvousHash,
        start: &StartRequest,
    ) -> StartResult {
        let right = view.permission(now, start.endpoint);
        if right == Permission::None {
            return StartResult::NotOwner;
        }
        if let Some(other) = self.prefix_elsewhere(now, homes, start) {
            return StartResult::NoCapacity { alternatives: SmallVec::from_slice(&[other]) };
        }
        let room = self.room_under(&right, start.endpoint);
        let Some(engine) = self.engines.get_mut(&start.endpoint) else {
            return StartResult::NotOwner;
        };
        let cached = engine.cache.tokens(start.chat).min(start.prompt);
        let cost = start.cost.saturating_sub(Work(u64::from(cached)));
        if !room.fits(cost) {
            let alternatives = self.alternatives(now, homes, start);
            return StartResult::NoCapacity { alternatives };
        }
        engine.start(now, (start.request, start.attempt), cost);
        engine.cache.record_use(start.chat, start.prompt);
        if start.at_home {
            self.exceptions.remove(start.chat);
        }
        StartResult::Started { cached, cost }
    }

    /// How long a request that found no room should wait there before it goes elsewhere, in microseconds.
    ///
    /// Elsewhere its cached prefix would have to be computed again, on an engine that loses as much time by it. So it
    /// waits about that long; a request without a cached prefix goes on at once.
    pub fn prefix_wait(&self, start: &StartRequest) -> u64 {
        let cached = self.cached_tokens(start.chat, start.endpoint).min(start.prompt);
        match cached < self.settings.seek {
            true => 0,
            false => (u64::from(cached) * self.settings.hold).min(self.settings.longest),
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
        let Some(engine) = self.engines.get_mut(&endpoint) else { return false };
        engine.forget(now.saturating_sub(8 * self.settings.lag));
        engine.end(now, (request, attempt))
    }

    /// Notes how much work of an attempt is left, as its answer proceeds.
    pub fn update_progress(
        &mut self,
        endpoint: EndpointId,
        request: RequestId,
        attempt: AttemptNo,
        left: Work,
    ) {
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.progress((request, attempt), left);
        }
    }

    /// Notes that a chat that was refused at its home, owned here, ran elsewhere.
    pub fn record_spill(&mut self, now: Time, chat: ChatKey, endpoint: EndpointId) {
        self.exceptions.insert(now, chat, endpoint, now + self.settings.away);
    }

    /// How much may start on an endpoint now.
    pub fn headroom(&mut self, now: Time, view: &MembershipView, endpoint: EndpointId) -> Headroom {
        self.room_under(&view.permission(now, endpoint), endpoint)
    }

    /// The load of an endpoint, as this router counts it.
    pub fn load(&self, endpoint: EndpointId) -> Work {
        self.engines.get(&endpoint).map(Engine::load).unwrap_or_default()
    }

    /// How many attempts this router runs on an endpoint.
    pub fn running_count(&self, endpoint: EndpointId) -> usize {
        self.engines.get(&endpoint).map_or(0, Engine::count)
    }

    /// How many tokens of the chat's prefix the endpoint should have cached.
    pub fn cached_tokens(&self, chat: ChatKey, endpoint: EndpointId) -> u32 {
        self.engines.get(&endpoint).map_or(0, |it| it.cache.tokens(chat))
    }

    /// The mean load by which this router starts work.
    pub fn mean(&self, service: ServiceId) -> Option<MeanLoad> {
        self.levels.get(&service).map(|it| it.mean)
    }

    /// The sums over the endpoints owned here, for the next heartbeat.
    pub fn owned_loads(&self, view: &MembershipView) -> SmallVec<[OwnedLoad; 4]> {
        let mut sums: SmallVec<[OwnedLoad; 4]> = SmallVec::new();
        let (Some(owners), Some(me)) = (view.owners(), view.id()) else { return sums };
        for endpoint in owners.owned(me) {
            let Some(engine) = self.engines.get(&endpoint) else { continue };
            let (service, min_load) = (engine.service, engine.load());
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
    pub fn unowned_work(&self, view: &MembershipView) -> SmallVec<[(EndpointId, Work); 4]> {
        let owner = |id| view.owners().and_then(|it| it.owner(id));
        let kept = |id| view.id().is_some() && owner(id) == view.id();
        let held = self.engines.iter().filter(|it| it.1.own() > Work::ZERO && !kept(*it.0));
        let mut held: SmallVec<[_; 4]> = held.map(|it| (*it.0, it.1.own())).collect();
        held.sort_unstable();
        held
    }

    /// Whether this router runs anything.
    pub fn has_running(&self) -> bool {
        self.engines.values().any(|it| it.count() > 0)
    }

    /// How many chats are remembered to be away from home.
    pub fn displaced_count(&self) -> usize {
        self.exceptions.len()
    }

    fn room_under(&mut self, right: &Permission, endpoint: EndpointId) -> Headroom {
        let Some(engine) = self.engines.get_mut(&endpoint).filter(|it| it.open) else {
            return Headroom::NONE;
        };
        let Some(level) = self.levels.get(&engine.service) else { return Headroom::NONE };
        let ready = match right {
            Permission::None | Permission::Wait => false,
            Permission::Full { handover_known: true, .. } => engine.is_handed_over(),
            Permission::Full { since, .. } => engine.takes_over(*since),
            Permission::FixedShare { since, share, cumulative, .. } => {
                let bound = level.mean.bound();
                engine.admits(
                    *since,
                    bound.scale(*share),
                    bound.saturating_sub(bound.scale_ceil(*cumulative)),
                )
            }
        };
        if !ready {
            return Headroom::NONE;
        }
        Headroom::compute(right, &level.mean, engine.own(), engine.foreign())
    }

    /// Where the prefix of a chat is that came home without being cached there.
    ///
    /// A chat that was spilled, or whose home joined not long ago, has it there. It is sent there only if it is long
    /// enough for the way to be worth it.
    fn prefix_elsewhere(
        &self,
        now: Time,
        homes: &RendezvousHash,
        start: &StartRequest,
    ) -> Option<EndpointId> {
        let engine = self.engines.get(&start.endpoint)?;
        let cached = engine.cache.tokens(start.chat).min(start.prompt);
        if !start.at_home || start.prompt - cached < self.settings.seek {
            return None;
        }
        let away = self.exceptions.get(now, start.chat).filter(|it| *it != start.endpoint);
        if away.is_some() {
            return away;
        }
        let moving =
            |it: &Engine| it.joined > Time(0) && now.since(it.joined) < self.settings.moving;
        if cached > 0 || !moving(engine) {
            return None;
        }
        homes.ranked(start.chat).find(|it| *it != start.endpoint)
    }

    /// Where a request may go that has no room here: to its prefix, then to the least loaded endpoints.
    fn alternatives(
        &mut self,
        now: Time,
        homes: &RendezvousHash,
        start: &StartRequest,
    ) -> SmallVec<[EndpointId; 4]> {
        let mut alternatives: SmallVec<[EndpointId; 4]> = SmallVec::new();
        alternatives.extend(self.exceptions.get(now, start.chat));
        alternatives.extend(homes.ranked(start.chat).find(|it| *it != start.endpoint));
        let service = self.engines.get(&start.endpoint).map(|it| it.service);
        let level = service.and_then(|it| self.levels.get(&it));
        alternatives.extend(level.into_iter().flat_map(|it| it.hints.iter().copied()));
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
