//! The project's own policy: the real homes, views and tables of all routers, without a network between them.

use {
    crate::{
        fixture::{self, SERVICE},
        trace::{Request, Workload},
    },
    member::{Timing, View},
    model::{
        AttemptNo, ChatKey, Config, EndpointId, EndpointState, Epoch, RequestId, Roster, RouterId,
        RouterState, Time, Work, mix,
    },
    placement::{CacheEvent, EndpointTable, RendezvousHash, Settings, StartRequest, StartResult},
    std::{collections::VecDeque, sync::Arc},
};

/// What of the policy is switched on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    /// The bound, in thousandths of the mean.
    pub(crate) bound: u32,
    /// Whether a cached prefix counts less.
    pub(crate) discount_cached: bool,
    /// Whether chats are remembered to be away from home, and sent back to where their prefix is.
    pub(crate) track_displaced: bool,
    /// Microseconds that a request waits for each cached token before it spills, and at most.
    pub(crate) prefix_wait: (u64, u64),
    /// Whether a new owner takes over the former one's model of the cache.
    pub(crate) hand_over: bool,
    /// Microseconds between two means.
    pub(crate) refresh: u64,
}

struct Router {
    view: View,
    table: EndpointTable,
    state: RouterState,
}

/// A request that waits at its home.
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

/// A request that the policy starts.
pub(crate) struct Started {
    pub(crate) id: u64,
    pub(crate) request: Request,
    pub(crate) engine: usize,
    pub(crate) router: usize,
}

/// What became of a request.
pub(crate) enum Outcome {
    Started(Started),
    /// It waits where its prefix is, until then.
    WaitsForPrefix {
        engine: usize,
        until: u64,
    },
    /// It waits for as long as it takes.
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
            router.view.take_config(Time(now), &self.config);
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
        let mut view = View::new(Timing::default());
        view.welcome(RouterId(self.routers.len() as u32));
        let (most, moving) =
            if self.options.track_displaced { (100_000, 600_000_000) } else { (0, 0) };
        let settings = Settings::default().with_cache_tokens(self.cache);
        let mut table = EndpointTable::new(
            settings
                .with_displaced(most, 600_000_000)
                .with_join_window(moving)
                .with_prefix_wait(self.options.prefix_wait.0, self.options.prefix_wait.1),
        );
        table.update_config(Time(now), &self.config);
        self.routers.push(Router { view, table, state: RouterState::Live });
    }

    /// A router shuts down gracefully; another one takes its place.
    pub(crate) fn replace_router(&mut self, now: u64, slot: usize) {
        self.routers[slot].state = RouterState::Leaving;
        self.add_router(now);
        self.commit_roster(now);
    }

    /// Commits a roster; every router has it at once.
    fn commit_roster(&mut self, now: u64) {
        self.epoch = self.epoch.next();
        let entry = |(slot, router): (usize, &Router)| {
            fixture::entry(slot as u32, self.domains, router.state)
        };
        let routers = self.routers.iter().enumerate().map(entry).collect();
        let roster = Roster { epoch: self.epoch, routers };
        for router in &mut self.routers {
            router.view.take_roster(Time(now), &roster, &self.config);
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

    /// Renews all leases, hands over what former owners still run, and spreads the means.
    pub(crate) fn refresh_loads(&mut self, now: u64) {
        let mut held = Vec::new();
        let (mut sum, mut count, mut hints) = (Work::ZERO, 0, Vec::new());
        for router in &self.routers {
            held.extend(router.table.unowned_work(&router.view));
            for part in router.table.owned_loads(&router.view) {
                sum += part.total;
                count += part.count;
                hints.push((part.min_load, part.least_loaded));
            }
        }
        hints.sort_unstable();
        let hints: Vec<_> = hints.iter().take(4).map(|it| it.1).collect();
        for router in &mut self.routers {
            if let Some((seq, _)) = router.view.beat(Time(now)) {
                router.view.granted(Time(now), seq, 8_000, self.epoch);
            }
            router.table.update_remote_work(&held);
            router.table.update_mean(SERVICE, sum, count, &hints);
        }
    }

    /// Owners take the load that an engine reports.
    pub(crate) fn report(&mut self, now: u64, engine: usize, load: u64) {
        let Some(owner) = self.owners[engine] else { return };
        let (table, endpoint) = (&mut self.routers[owner].table, EndpointId(engine as u32));
        table.apply_load_report(Time(now), endpoint, Time(now), Work(load));
    }

    /// Starts a request somewhere, or lets it wait; `patient` if it may wait for room where its prefix is before it
    /// spills.
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

    /// The home's owner learns where a spilled chat runs.
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

    /// Takes a request out of the queue in which it waited for long enough.
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

    /// Starts what waits at an engine and fits now.
    pub(crate) fn start_queued(&mut self, now: u64, engine: usize, up: &[bool]) -> Vec<Started> {
        let mut placed = Vec::new();
        while let Some(Waiting { id, request }) = self.queues[engine].pop_front() {
            let started = match up[engine] {
                true => self.try_at(now, id, request, engine, false, up).ok(),
                false => None,
            };
            match started {
                Some(router) => placed.push(Started { id, request, engine, router }),
                None => {
                    self.queues[engine].push_front(Waiting { id, request });
                    break;
                }
            }
        }
        placed
    }

    /// Takes out what waits at an engine that is down.
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

    /// Owners learn that an engine restarted with an empty cache.
    pub(crate) fn clear_cache(&mut self, engine: usize) {
        for router in &mut self.routers {
            router.table.apply_cache_event(EndpointId(engine as u32), CacheEvent::Cleared);
        }
    }

    /// The engine that unbounded rendezvous hashing names.
    pub(crate) fn rendezvous(&self, chat: u64, up: &[bool]) -> usize {
        let mut order = self.rendezvous.ranked(ChatKey(chat)).map(|it| it.0 as usize);
        order.find(|it| up[*it]).unwrap_or(mix(chat) as usize % up.len())
    }
}
