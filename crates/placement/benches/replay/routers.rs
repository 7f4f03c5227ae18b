//! The routers' own policy: the real rendezvous hash, views and endpoint tables of all routers,
//! without a network in between.

use {
    crate::{
        fixture::{self, SERVICE},
        trace::{Request, Workload},
    },
    member::{LeaseTiming, MembershipView},
    model::{
        AttemptNo, ChatKey, Config, EndpointId, EndpointState, Epoch, RequestId, Roster, RouterId,
        RouterState, Time, Work, mix,
    },
    placement::{CacheEvent, EndpointTable, RendezvousHash, Settings, StartRequest, StartResult},
    std::{collections::VecDeque, sync::Arc},
};

/// Which parts of the policy are enabled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    /// The bound, in thousandths of the mean.
    pub(crate) bound: u32,
    /// Whether cached prompt tokens reduce a request's cost.
    pub(crate) discount_cached: bool,
    /// Whether displaced chats are tracked and redirected to the endpoint that has their prefix.
    pub(crate) track_displaced: bool,
    /// How long a request waits per cached token before it spills, and at most, in microseconds.
    pub(crate) prefix_wait: (u64, u64),
    /// Whether a new owner takes over its predecessor's cache model.
    pub(crate) hand_over: bool,
    /// The interval between updates of the mean load, in microseconds.
    pub(crate) refresh_interval_us: u64,
}

struct Router {
    view: MembershipView,
    table: EndpointTable,
    state: RouterState,
}

/// A request that waits at an engine.
struct Waiting {
    id: u64,
    request: Request,
}

pub(crate) struct Routers {
    options: Options,
    config: Config,
    rendezvous: RendezvousHash,
    routers: Vec<Router>,
    owners: Vec<Option<usize>>,
    queues: Vec<VecDeque<Waiting>>,
    epoch: Epoch,
    domains: u32,
    cache: u64,
}

/// A request that the policy started.
pub(crate) struct Started {
    pub(crate) id: u64,
    pub(crate) request: Request,
    pub(crate) engine: usize,
    pub(crate) router: usize,
}

/// The result of placing a request.
pub(crate) enum Outcome {
    Started(Started),
    /// The request waits at the engine that has its prefix, until the given time.
    WaitsForPrefix {
        engine: usize,
        until: u64,
    },
    /// The request waits until there is room.
    WaitsForRoom,
}

impl Routers {
    pub(crate) fn new(workload: &Workload, options: Options) -> Routers {
        let mut config = fixture::config(0);
        if let Some(service) = config.services.get_mut(&SERVICE) {
            Arc::make_mut(service).bound = options.bound;
        }
        let mut built = Routers {
            options,
            rendezvous: RendezvousHash::default(),
            config,
            routers: Vec::new(),
            owners: Vec::new(),
            queues: Vec::new(),
            epoch: Epoch(0),
            domains: workload.domains,
            cache: workload.cache,
        };
        (0..workload.engines).for_each(|_| built.insert_engine());
        (0..workload.routers).for_each(|_| built.add_router(0));
        built.commit_roster(0);
        built
    }

    pub(crate) fn add_engine(&mut self, now: u64) {
        self.insert_engine();
        for router in &mut self.routers {
            router.table.update_config(Time(now), &self.config);
            router.view.update_config(Time(now), &self.config);
        }
        self.commit_roster(now);
    }

    fn insert_engine(&mut self) {
        let id = EndpointId(self.queues.len() as u32);
        let endpoint = fixture::endpoint(id.0, EndpointState::Active);
        self.config.endpoints.insert(id, endpoint);
        self.queues.push(VecDeque::new());
        self.rendezvous = RendezvousHash::new(&self.config, SERVICE, None);
    }

    pub(crate) fn add_router(&mut self, now: u64) {
        let mut view = MembershipView::new(LeaseTiming::default());
        view.set_id(RouterId(self.routers.len() as u32));
        let (max_displaced, join_window_us) =
            if self.options.track_displaced { (100_000, 600_000_000) } else { (0, 0) };
        let settings = Settings::default().with_cache_tokens(self.cache);
        let mut table = EndpointTable::new(
            settings
                .with_displaced(max_displaced, 600_000_000)
                .with_join_window(join_window_us)
                .with_prefix_wait(self.options.prefix_wait.0, self.options.prefix_wait.1),
        );
        table.update_config(Time(now), &self.config);
        self.routers.push(Router { view, table, state: RouterState::Live });
    }

    /// Shuts down a router gracefully and adds a replacement.
    pub(crate) fn replace_router(&mut self, now: u64, slot: usize) {
        self.routers[slot].state = RouterState::Leaving;
        self.add_router(now);
        self.commit_roster(now);
    }

    /// Commits a roster, which every router receives at once.
    fn commit_roster(&mut self, now: u64) {
        self.epoch = self.epoch.next();
        let entry = |(slot, router): (usize, &Router)| {
            fixture::entry(slot as u32, self.domains, router.state)
        };
        let routers = self.routers.iter().enumerate().map(entry).collect();
        let roster = Roster { epoch: self.epoch, routers };
        for router in &mut self.routers {
            router.view.update_roster(Time(now), &roster, &self.config);
        }
        self.refresh_loads(now);
        let owner = |id: &EndpointId| {
            let owners = self.routers.first()?.view.owners()?;
            owners.owner(*id).map(|it| it.0 as usize)
        };
        let owners: Vec<_> = self.config.endpoints.keys().map(owner).collect();
        let before = std::mem::replace(&mut self.owners, owners);
        for (engine, (before, after)) in before.iter().zip(self.owners.clone()).enumerate() {
            let (Some(before), Some(after)) = (*before, after) else { continue };
            if before != after && self.options.hand_over {
                let endpoint = EndpointId(engine as u32);
                let handover =
                    self.routers[before].table.handover(Time(now), &self.rendezvous, endpoint);
                self.routers[after].table.apply_handover(Time(now), endpoint, &handover);
            }
        }
    }

    /// Renews all leases, reports the work that former owners still run, and distributes the mean
    /// loads.
    pub(crate) fn refresh_loads(&mut self, now: u64) {
        let mut held = Vec::new();
        let (mut sum, mut count, mut least_loaded) = (Work::ZERO, 0, Vec::new());
        for router in &self.routers {
            held.extend(router.table.unowned_work(&router.view));
            for part in router.table.owned_loads(&router.view) {
                sum += part.total;
                count += part.count;
                least_loaded.push((part.min_load, part.least_loaded));
            }
        }
        least_loaded.sort_unstable();
        let least_loaded: Vec<_> = least_loaded.iter().take(4).map(|it| it.1).collect();
        for router in &mut self.routers {
            if let Some((seq, _)) = router.view.next_heartbeat(Time(now)) {
                router.view.on_heartbeat_reply(Time(now), seq, 8_000, self.epoch);
            }
            router.table.update_remote_work(&held);
            router.table.update_mean(SERVICE, sum, count, &least_loaded);
        }
    }

    /// Reports an engine's load to its owner.
    pub(crate) fn report(&mut self, now: u64, engine: usize, load: u64) {
        let Some(owner) = self.owners[engine] else { return };
        let (table, endpoint) = (&mut self.routers[owner].table, EndpointId(engine as u32));
        table.apply_load_report(Time(now), endpoint, Time(now), Work(load));
    }

    /// Starts a request or queues it. With `may_wait`, it may wait for room where its prefix is
    /// before it spills.
    pub(crate) fn place(
        &mut self,
        now: u64,
        id: u64,
        request: Request,
        up: &[bool],
        may_wait: bool,
    ) -> Outcome {
        let order: Vec<usize> =
            self.rendezvous.ranked(ChatKey(request.chat)).take(4).map(|it| it.0 as usize).collect();
        let home = order[0];
        let mut tried: Vec<usize> = Vec::new();
        let mut next = VecDeque::from([home]);
        while let Some(engine) = next.pop_front() {
            if tried.contains(&engine) {
                continue;
            }
            let first = tried.is_empty();
            tried.push(engine);
            let alternatives = match self.try_at(now, id, request, engine, first, up) {
                Ok(router) => {
                    self.record_spill(now, request, home, engine);
                    return Outcome::Started(Started { id, request, engine, router });
                }
                Err(alternatives) => alternatives,
            };
            let prefix_wait = self.prefix_wait(engine, request, up);
            if may_wait && prefix_wait > 0 {
                self.queues[engine].push_back(Waiting { id, request });
                return Outcome::WaitsForPrefix { engine, until: now + prefix_wait };
            }
            if first {
                next.extend(alternatives);
                next.extend(&order[1..]);
            }
        }
        let fallback = order.into_iter().find(|it| up[*it]).unwrap_or(home);
        self.queues[fallback].push_back(Waiting { id, request });
        Outcome::WaitsForRoom
    }

    /// Tells the home's owner where a spilled chat runs.
    fn record_spill(&mut self, now: u64, request: Request, home: usize, engine: usize) {
        if let Some(owner) =
            self.owners[home].filter(|_| self.options.track_displaced && engine != home)
        {
            let endpoint = EndpointId(engine as u32);
            self.routers[owner].table.record_spill(Time(now), ChatKey(request.chat), endpoint);
        }
    }

    fn prefix_wait(&self, engine: usize, request: Request, up: &[bool]) -> u64 {
        let Some(owner) = self.owners[engine].filter(|_| up[engine]) else { return 0 };
        let (chat, endpoint) = (ChatKey(request.chat), EndpointId(engine as u32));
        self.routers[owner].table.prefix_wait(&StartRequest {
            request: RequestId(0),
            attempt: AttemptNo(1),
            chat,
            endpoint,
            cost: Work::ZERO,
            prompt: request.prompt,
            at_home: false,
        })
    }

    /// Removes a request from the queue in which it has waited long enough.
    pub(crate) fn remove_waiting(&mut self, engine: usize, id: u64) -> Option<Request> {
        let at = self.queues[engine].iter().position(|it| it.id == id)?;
        self.queues[engine].remove(at).map(|it| it.request)
    }

    fn try_at(
        &mut self,
        now: u64,
        id: u64,
        request: Request,
        engine: usize,
        at_home: bool,
        up: &[bool],
    ) -> Result<usize, Vec<usize>> {
        let owner = self.owners[engine].filter(|_| up[engine]).ok_or_else(Vec::new)?;
        let Router { view, table, .. } = &mut self.routers[owner];
        let (chat, endpoint) = (ChatKey(request.chat), EndpointId(engine as u32));
        let undiscounted =
            if self.options.discount_cached { 0 } else { table.cached_tokens(chat, endpoint) };
        let start = StartRequest {
            request: RequestId(u128::from(id)),
            attempt: AttemptNo(1),
            chat,
            endpoint,
            cost: Work(u64::from(
                request.prompt + request.output + undiscounted.min(request.prompt),
            )),
            prompt: request.prompt,
            at_home,
        };
        match table.try_start(Time(now), view, &self.rendezvous, &start) {
            StartResult::Started { .. } => Ok(owner),
            StartResult::NoCapacity { alternatives } => {
                Err(alternatives.iter().map(|it| it.0 as usize).collect())
            }
            StartResult::NotOwner => Err(Vec::new()),
        }
    }

    /// Starts the queued requests of an engine for which there is room now.
    pub(crate) fn start_queued(&mut self, now: u64, engine: usize, up: &[bool]) -> Vec<Started> {
        let mut started_requests = Vec::new();
        while let Some(Waiting { id, request }) = self.queues[engine].pop_front() {
            let started = match up[engine] {
                true => self.try_at(now, id, request, engine, false, up).ok(),
                false => None,
            };
            match started {
                Some(router) => started_requests.push(Started { id, request, engine, router }),
                None => {
                    self.queues[engine].push_front(Waiting { id, request });
                    break;
                }
            }
        }
        started_requests
    }

    /// Removes all requests that are queued at an engine that is down.
    pub(crate) fn drop_queue(&mut self, engine: usize) -> Vec<(u64, Request)> {
        self.queues[engine].drain(..).map(|it| (it.id, it.request)).collect()
    }

    pub(crate) fn progress(&mut self, router: usize, engine: usize, id: u64, left: u32) {
        let (request, left) = (RequestId(u128::from(id)), Work(u64::from(left)));
        let table = &mut self.routers[router].table;
        table.update_progress(EndpointId(engine as u32), request, AttemptNo(1), left);
    }

    pub(crate) fn finish(&mut self, now: u64, router: usize, engine: usize, id: u64) {
        let (request, table) = (RequestId(u128::from(id)), &mut self.routers[router].table);
        table.finish(Time(now), EndpointId(engine as u32), request, AttemptNo(1));
    }

    /// Tells the owners that an engine restarted with an empty cache.
    pub(crate) fn clear_cache(&mut self, engine: usize) {
        for router in &mut self.routers {
            router.table.apply_cache_event(EndpointId(engine as u32), CacheEvent::Cleared);
        }
    }

    /// Returns the engine that rendezvous hashing without a bound selects.
    pub(crate) fn rendezvous(&self, chat: u64, up: &[bool]) -> usize {
        let mut order = self.rendezvous.ranked(ChatKey(chat)).map(|it| it.0 as usize);
        order.find(|it| up[*it]).unwrap_or(mix(chat) as usize % up.len())
    }
}
