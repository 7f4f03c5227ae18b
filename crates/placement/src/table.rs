//! The owner's side: what one router runs on endpoints, and whether one more request may start.

use {
    crate::{
        bound::{Mean, Room},
        cache::CacheEvent,
        engine::Engine,
        exceptions::Exceptions,
        homes::Homes,
        settings::Settings,
        start::{Memory, Start, Started, Sum},
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
    mean: Mean,
    hints: SmallVec<[EndpointId; 4]>,
}

/// All endpoints as one router knows them.
#[derive(Clone, Debug)]
pub struct Table {
    settings: Settings,
    engines: HashMap<EndpointId, Engine>,
    levels: BTreeMap<ServiceId, Level>,
    exceptions: Exceptions,
}

impl Table {
    /// Returns a table without endpoints.
    pub fn new(settings: Settings) -> Table {
        Table {
            settings,
            engines: HashMap::new(),
            levels: BTreeMap::new(),
            exceptions: Exceptions::new(settings.exceptions),
        }
    }

    /// Takes a new configuration. A dropped endpoint stays until the work that runs there has ended.
    pub fn take_config(&mut self, now: Time, config: &Config) {
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
            let mean =
                Mean { service: service.id, sum: Work::ZERO, count: 0, multiple: service.bound };
            let level = || Level { mean, hints: SmallVec::new() };
            self.levels.entry(service.id).or_insert_with(level).mean.multiple = service.bound;
        }
        self.levels.retain(|id, _| config.services.contains_key(id));
    }

    /// Takes what control says of a service's load; `hints` are its least loaded endpoints.
    pub fn take_mean(&mut self, service: ServiceId, sum: Work, count: u32, hints: &[EndpointId]) {
        if let Some(level) = self.levels.get_mut(&service) {
            level.mean.sum = sum;
            level.mean.count = count;
            level.hints = SmallVec::from_slice(hints);
        }
    }

    /// Takes what control says that other routers still run on endpoints owned here; nothing on all the others.
    ///
    /// To be called with each answered heartbeat whose settled roster is the one in force.
    pub fn take_held(&mut self, held: &[(EndpointId, Work)]) {
        for (id, engine) in &mut self.engines {
            let found = held.iter().find(|it| it.0 == *id);
            engine.hand_over(found.map_or(Work::ZERO, |it| it.1));
        }
    }

    /// Takes an endpoint's load report, which the endpoint sent after it was asked at `asked`.
    pub fn take_report(&mut self, now: Time, endpoint: EndpointId, asked: Time, load: Work) {
        let from = asked.saturating_sub(self.settings.lag);
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.report(from, now, load);
        }
    }

    /// Takes what an endpoint published about its cache.
    pub fn take_cache(&mut self, endpoint: EndpointId, event: CacheEvent) {
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            engine.cache.correct(event);
        }
    }

    /// What a new owner of the endpoint should know.
    pub fn memory(&self, now: Time, homes: &Homes, endpoint: EndpointId) -> Memory {
        let engine = self.engines.get(&endpoint);
        let cached = engine.map(|it| it.cache.contents().collect()).unwrap_or_default();
        let lives = |it: &(ChatKey, EndpointId)| homes.home(it.0) == Some(endpoint);
        Memory { cached, away: self.exceptions.iter(now).filter(lives).collect() }
    }

    /// Takes over what the former owner of the endpoint knew; what this router saw itself counts as newer.
    pub fn take_memory(&mut self, now: Time, endpoint: EndpointId, memory: &Memory) {
        let Some(engine) = self.engines.get_mut(&endpoint) else { return };
        let seen: Vec<_> = engine.cache.contents().collect();
        engine.cache.correct(CacheEvent::Cleared);
        memory.cached.iter().chain(&seen).for_each(|it| engine.cache.used(it.0, it.1));
        for (chat, other) in &memory.away {
            if self.exceptions.get(now, *chat).is_none() && !seen.iter().any(|it| it.0 == *chat) {
                self.exceptions.set(now, *chat, *other, now + self.settings.away);
            }
        }
    }

    /// Starts a request if its endpoint is owned here and has room inside the bound.
    pub fn try_start(
        &mut self,
        now: Time,
        view: &MembershipView,
        homes: &Homes,
        start: &Start,
    ) -> Started {
        let right = view.permission(now, start.endpoint);
        if right == Permission::None {
            return Started::NotOwner;
        }
        if let Some(other) = self.prefix_elsewhere(now, homes, start) {
            return Started::Full { elsewhere: SmallVec::from_slice(&[other]) };
        }
        let room = self.room_under(&right, start.endpoint);
        let Some(engine) = self.engines.get_mut(&start.endpoint) else {
            return Started::NotOwner;
        };
        let cached = engine.cache.tokens(start.chat).min(start.prompt);
        let cost = start.cost.saturating_sub(Work(u64::from(cached)));
        if !room.fits(cost) {
            let elsewhere = self.elsewhere(now, homes, start);
            return Started::Full { elsewhere };
        }
        engine.start(now, (start.request, start.attempt), cost);
        engine.cache.used(start.chat, start.prompt);
        if start.home {
            self.exceptions.clear(start.chat);
        }
        Started::Started { cached, cost }
    }

    /// How long a request that found no room should wait there before it goes elsewhere, in microseconds.
    ///
    /// Elsewhere its cached prefix would have to be computed again, on an engine that loses as much time by it. So it
    /// waits about that long; a request without a cached prefix goes on at once.
    pub fn hold(&self, start: &Start) -> u64 {
        let cached = self.prefix(start.chat, start.endpoint).min(start.prompt);
        match cached < self.settings.seek {
            true => 0,
            false => (u64::from(cached) * self.settings.hold).min(self.settings.longest),
        }
    }

    /// Ends an attempt; false if it does not run there.
    pub fn ended(
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
    pub fn progress(
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
    pub fn spilled(&mut self, now: Time, chat: ChatKey, endpoint: EndpointId) {
        self.exceptions.set(now, chat, endpoint, now + self.settings.away);
    }

    /// How much may start on an endpoint now.
    pub fn room(&mut self, now: Time, view: &MembershipView, endpoint: EndpointId) -> Room {
        self.room_under(&view.permission(now, endpoint), endpoint)
    }

    /// The load of an endpoint, as this router counts it.
    pub fn load(&self, endpoint: EndpointId) -> Work {
        self.engines.get(&endpoint).map(Engine::load).unwrap_or_default()
    }

    /// How many attempts this router runs on an endpoint.
    pub fn running(&self, endpoint: EndpointId) -> usize {
        self.engines.get(&endpoint).map_or(0, Engine::count)
    }

    /// How many tokens of the chat's prefix the endpoint should have cached.
    pub fn prefix(&self, chat: ChatKey, endpoint: EndpointId) -> u32 {
        self.engines.get(&endpoint).map_or(0, |it| it.cache.tokens(chat))
    }

    /// The mean load by which this router starts work.
    pub fn mean(&self, service: ServiceId) -> Option<Mean> {
        self.levels.get(&service).map(|it| it.mean)
    }

    /// The sums over the endpoints owned here, for the next heartbeat.
    pub fn sums(&self, view: &MembershipView) -> SmallVec<[Sum; 4]> {
        let mut sums: SmallVec<[Sum; 4]> = SmallVec::new();
        let (Some(owners), Some(me)) = (view.owners(), view.id()) else { return sums };
        for endpoint in owners.owned(me) {
            let Some(engine) = self.engines.get(&endpoint) else { continue };
            let (service, low) = (engine.service, engine.load());
            match sums.iter_mut().find(|it| it.service == service) {
                None => sums.push(Sum { service, sum: low, count: 1, least: endpoint, low }),
                Some(sum) => {
                    sum.sum += low;
                    sum.count += 1;
                    if low < sum.low {
                        (sum.least, sum.low) = (endpoint, low);
                    }
                }
            }
        }
        sums
    }

    /// The work that this router still runs on endpoints that it does not own, for the next heartbeat.
    pub fn held(&self, view: &MembershipView) -> SmallVec<[(EndpointId, Work); 4]> {
        let owner = |id| view.owners().and_then(|it| it.owner(id));
        let kept = |id| view.id().is_some() && owner(id) == view.id();
        let held = self.engines.iter().filter(|it| it.1.own() > Work::ZERO && !kept(*it.0));
        let mut held: SmallVec<[_; 4]> = held.map(|it| (*it.0, it.1.own())).collect();
        held.sort_unstable();
        held
    }

    /// Whether this router runs anything.
    pub fn busy(&self) -> bool {
        self.engines.values().any(|it| it.count() > 0)
    }

    /// How many chats are remembered to be away from home.
    pub fn away(&self) -> usize {
        self.exceptions.len()
    }

    fn room_under(&mut self, right: &Permission, endpoint: EndpointId) -> Room {
        let Some(engine) = self.engines.get_mut(&endpoint).filter(|it| it.open) else {
            return Room::NONE;
        };
        let Some(level) = self.levels.get(&engine.service) else { return Room::NONE };
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
            return Room::NONE;
        }
        Room::of(right, &level.mean, engine.own(), engine.foreign())
    }

    /// Where the prefix of a chat is that came home without being cached there.
    ///
    /// A chat that was spilled, or whose home joined not long ago, has it there. It is sent there only if it is long
    /// enough for the way to be worth it.
    fn prefix_elsewhere(&self, now: Time, homes: &Homes, start: &Start) -> Option<EndpointId> {
        let engine = self.engines.get(&start.endpoint)?;
        let cached = engine.cache.tokens(start.chat).min(start.prompt);
        if !start.home || start.prompt - cached < self.settings.seek {
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
        homes.order(start.chat).find(|it| *it != start.endpoint)
    }

    /// Where a request may go that has no room here: to its prefix, then to the least loaded endpoints.
    fn elsewhere(&mut self, now: Time, homes: &Homes, start: &Start) -> SmallVec<[EndpointId; 4]> {
        let mut elsewhere: SmallVec<[EndpointId; 4]> = SmallVec::new();
        elsewhere.extend(self.exceptions.get(now, start.chat));
        elsewhere.extend(homes.order(start.chat).find(|it| *it != start.endpoint));
        let service = self.engines.get(&start.endpoint).map(|it| it.service);
        let level = service.and_then(|it| self.levels.get(&it));
        elsewhere.extend(level.into_iter().flat_map(|it| it.hints.iter().copied()));
        let mut seen: SmallVec<[EndpointId; 8]> = SmallVec::from_slice(&[start.endpoint]);
        elsewhere.retain(|it| {
            let new = !seen.contains(it);
            seen.push(*it);
            new
        });
        elsewhere.truncate(4);
        elsewhere
    }
}
