//! Several routers and a control leader over an unreliable network, driving the real machines.

use {
    crate::fixture::{SERVICE, config},
    fakes::{DriftingClock, Network},
    member::{Heartbeat, HeartbeatReply, LeaseTiming, MemberTracker, MembershipView, Permission},
    model::{
        AttemptNo, ChatKey, Config, Domain, EndpointId, Epoch, HostName, MILLISECOND, RequestId,
        Roster, RouterId, RouterState, SECOND, Time, Work,
    },
    placement::{EndpointTable, RendezvousHash, Settings, StartRequest, StartResult},
    std::collections::BTreeMap,
};

const LAG: u64 = 200 * MILLISECOND;

/// The leader's address on the network; routers have their slot's number.
const LEADER: usize = usize::MAX;

#[derive(Clone)]
enum Message {
    Beat { id: RouterId, beat: Heartbeat },
    Reply { id: RouterId, reply: HeartbeatReply, mean: Work },
    Roster { roster: Roster },
    Report { id: RouterId, endpoint: EndpointId, asked: Time, load: Work },
}

/// How messages pass between a router and the leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Link {
    Good,
    /// Messages stay on their way until one is picked.
    Slow,
    Cut,
}

pub(crate) struct Router {
    pub(crate) id: RouterId,
    clock: DriftingClock,
    pub(crate) view: MembershipView,
    pub(crate) table: EndpointTable,
    up: Link,
    down: Link,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    next_beat: Time,
}

/// Work that runs on an engine, in the order in which it started.
pub(crate) struct Run {
    router: RouterId,
    key: RequestId,
    pub(crate) cost: u64,
    /// The multiple of the mean and the mean by which it started.
    pub(crate) bound: u64,
    pub(crate) mean: u64,
}

pub(crate) struct Fleet {
    pub(crate) truth: Time,
    pub(crate) config: Config,
    homes: RendezvousHash,
    pub(crate) routers: Vec<Router>,
    net: Network<usize, Message>,
    leader: Option<MemberTracker>,
    leader_clock: DriftingClock,
    rosters: BTreeMap<Epoch, Roster>,
    pending: Option<Roster>,
    pub(crate) mean: Work,
    pub(crate) engines: BTreeMap<EndpointId, Vec<Run>>,
    published: BTreeMap<EndpointId, (Time, Work)>,
    /// Whether work ever started in a fixed share or beside one.
    shared: bool,
    /// What first broke the bound, if anything did.
    pub(crate) broken: Option<String>,
    ids: u32,
    requests: u128,
}

impl Fleet {
    /// Builds a fleet and lets it settle; `drifts` are in millionths, the leader's first.
    pub(crate) fn new(drifts: &[i32], endpoints: u32, mean: u64) -> Fleet {
        let config = config(endpoints);
        let clock = |drift: &i32| DriftingClock { offset: Time(SECOND * 100), drift_ppm: *drift };
        let leader_clock = clock(&drifts[0]);
        let mut fleet = Fleet {
            truth: Time(0),
            homes: RendezvousHash::new(&config, SERVICE, None),
            engines: config.endpoints.keys().map(|id| (*id, Vec::new())).collect(),
            config,
            routers: Vec::new(),
            net: Network::default(),
            leader: None,
            leader_clock,
            rosters: BTreeMap::new(),
            pending: None,
            mean: Work(mean),
            published: BTreeMap::new(),
            shared: false,
            broken: None,
            ids: 0,
            requests: 0,
        };
        for drift in &drifts[1..] {
            fleet.ids += 1;
            let router = fleet.router(RouterId(fleet.ids), clock(drift));
            fleet.routers.push(router);
        }
        fleet.elect();
        fleet.calm(15);
        fleet
    }

    fn router(&self, id: RouterId, clock: DriftingClock) -> Router {
        let mut view = MembershipView::new(LeaseTiming::default());
        view.set_id(id);
        let mut table =
            EndpointTable::new(Settings::default().with_report_lag(LAG).with_join_window(0));
        table.update_config(clock.at(self.truth), &self.config);
        let (up, down) = (Link::Good, Link::Good);
        Router {
            id,
            clock,
            view,
            table,
            up,
            down,
            frozen: false,
            leaving: false,
            next_beat: Time(0),
        }
    }

    /// The control leader is gone.
    pub(crate) fn depose(&mut self) {
        self.leader = None;
        self.pending = None;
    }

    /// Another control replica leads, knowing the committed roster alone.
    pub(crate) fn elect(&mut self) {
        let roster = self.rosters.values().next_back().cloned().unwrap_or_default();
        let now = self.leader_clock.at(self.truth);
        self.pending = None;
        self.leader = Some(MemberTracker::new(now, roster, LeaseTiming::default()));
    }

    /// Kills the process in a slot and starts another one there; its work ends with its connections.
    pub(crate) fn restart(&mut self, slot: usize) {
        let id = self.routers[slot].id;
        self.engines.values_mut().for_each(|runs| runs.retain(|it| it.router != id));
        self.net.drop_all_to(slot);
        self.ids += 1;
        let clock = self.routers[slot].clock;
        self.routers[slot] = self.router(RouterId(self.ids), clock);
    }

    pub(crate) fn link(&mut self, slot: usize, up: Link, down: Link) {
        (self.routers[slot].up, self.routers[slot].down) = (up, down);
    }

    pub(crate) fn heal(&mut self) {
        for router in &mut self.routers {
            (router.up, router.down) = (Link::Good, Link::Good);
            router.frozen = false;
        }
    }

    /// Runs for so many steps of half a second.
    pub(crate) fn calm(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step(500));
    }

    /// Lets time pass, then lets every process act and delivers what the links let through.
    pub(crate) fn step(&mut self, millis: u64) {
        self.truth = self.truth + millis * MILLISECOND;
        (0..self.routers.len()).for_each(|slot| self.beat(slot));
        self.lead();
        for _ in 0..6 {
            self.deliver_good();
        }
    }

    /// Delivers, loses or doubles one message that is on its way.
    pub(crate) fn disturb(&mut self, pick: usize, how: u8) {
        match how % 3 {
            0 => self.deliver(pick),
            1 => self.net.drop_message(pick),
            _ => self.net.duplicate(pick),
        }
    }

    fn beat(&mut self, slot: usize) {
        let now = self.routers[slot].clock.at(self.truth);
        let router = &mut self.routers[slot];
        let behind =
            router.view.epoch() > Epoch(0) && router.view.settled_epoch() < router.view.epoch();
        if router.frozen || (now < router.next_beat && !behind) {
            return;
        }
        let Some((seq, epoch)) = router.view.next_heartbeat(now) else { return };
        router.next_beat = now + SECOND;
        let (held, busy) = (router.table.unowned_work(&router.view), router.table.has_running());
        let beat = Heartbeat { seq, epoch, leaving: router.leaving, busy, residual_work: held };
        let id = router.id;
        self.net.send(slot, LEADER, Message::Beat { id, beat });
    }

    fn lead(&mut self) {
        let now = self.leader_clock.at(self.truth);
        let Some(leader) = &mut self.leader else { return };
        // A proposal is committed a step after it was made.
        if let Some(roster) = self.pending.take() {
            leader.on_committed(roster.clone());
            self.rosters.insert(roster.epoch, roster.clone());
            for slot in 0..self.routers.len() {
                self.net.send(LEADER, slot, Message::Roster { roster: roster.clone() });
            }
        }
        let Some(leader) = &mut self.leader else { return };
        self.pending = leader.tick(now);
    }

    fn deliver_good(&mut self) {
        let mut kept = Vec::new();
        while let Some(it) = self.net.deliver_oldest() {
            match self.way(it.from, it.to) {
                Link::Good => self.take(it.to, it.message),
                Link::Slow => kept.push(it),
                Link::Cut => {}
            }
        }
        for it in kept {
            self.net.send(it.from, it.to, it.message);
        }
    }

    fn deliver(&mut self, pick: usize) {
        let Some(it) = self.net.deliver(pick) else { return };
        let frozen = |slot: usize| self.routers.get(slot).is_some_and(|it| it.frozen);
        match self.way(it.from, it.to) {
            Link::Slow if frozen(it.to) => self.net.send(it.from, it.to, it.message),
            Link::Cut => {}
            _ => self.take(it.to, it.message),
        }
    }

    fn way(&self, from: usize, to: usize) -> Link {
        match (self.routers.get(from), self.routers.get(to)) {
            (Some(router), _) if to == LEADER => router.up,
            (_, Some(router)) if router.frozen => Link::Slow,
            (None, Some(router)) => router.down,
            _ => Link::Good,
        }
    }

    fn take(&mut self, to: usize, message: Message) {
        match message {
            Message::Beat { id, beat } => self.answer(id, beat),
            Message::Roster { roster } => {
                let now = self.routers[to].clock.at(self.truth);
                self.routers[to].view.update_roster(now, &roster, &self.config);
            }
            Message::Reply { id, reply, mean } => self.granted(to, id, reply, mean),
            Message::Report { id, endpoint, asked, load } => {
                let now = self.routers[to].clock.at(self.truth);
                if self.routers[to].id == id {
                    self.routers[to].table.apply_load_report(now, endpoint, asked, load);
                }
            }
        }
    }

    fn answer(&mut self, id: RouterId, beat: Heartbeat) {
        let now = self.leader_clock.at(self.truth);
        let Some(slot) = self.routers.iter().position(|it| it.id == id) else { return };
        let Some(leader) = &mut self.leader else { return };
        let host = HostName(format!("h{slot}").into());
        let domain = Domain(format!("d{}", slot % 3).into());
        leader.register(now, id, host, ([127, 0, 0, 1], slot as u16).into(), domain);
        let epoch = beat.epoch;
        let Some(reply) = leader.on_heartbeat(now, id, beat) else { return };
        let missing = |it: &&model::RouterEntry| it.state == RouterState::Missing;
        let old = leader
            .roster()
            .routers
            .iter()
            .filter(missing)
            .flat_map(|it| it.acked.0.max(1)..it.lost.0);
        let old = old.filter(|_| epoch == Epoch(0)).map(Epoch);
        let newer = self.rosters.range(epoch.next()..).map(|it| *it.0);
        for at in old.chain(newer).collect::<Vec<_>>() {
            let roster = self.rosters[&at].clone();
            self.net.send(LEADER, slot, Message::Roster { roster });
        }
        let mean = self.mean;
        self.net.send(LEADER, slot, Message::Reply { id, reply, mean });
    }

    fn granted(&mut self, slot: usize, id: RouterId, reply: HeartbeatReply, mean: Work) {
        let router = &mut self.routers[slot];
        let now = router.clock.at(self.truth);
        if router.id != id
            || !router.view.on_heartbeat_reply(now, reply.seq, reply.lease_ms, reply.settled_epoch)
        {
            return;
        }
        router.table.update_mean(SERVICE, mean, 1, &[]);
        if reply.settled_epoch == router.view.epoch() {
            router.table.update_remote_work(&reply.residual_work);
        }
    }

    /// An engine publishes its load; probes get this one until it is older than the lag.
    pub(crate) fn publish(&mut self) {
        let load = |runs: &Vec<Run>| Work(runs.iter().map(|it| it.cost).sum());
        let now = self.truth;
        self.published = self.engines.iter().map(|(id, runs)| (*id, (now, load(runs)))).collect();
    }

    /// A router asks the engines that it watches for their load.
    pub(crate) fn probe(&mut self, slot: usize) {
        if self.routers[slot].frozen {
            return;
        }
        let asked = self.routers[slot].clock.at(self.truth);
        for endpoint in &self.routers[slot].view.monitored_endpoints(asked) {
            let runs = &self.engines[endpoint];
            let truth = Work(runs.iter().map(|it| it.cost).sum());
            let old = self.published.get(endpoint).filter(|it| self.truth.since(it.0) < LAG / 2);
            let load = old.map_or(truth, |it| it.1);
            let id = self.routers[slot].id;
            let report = Message::Report { id, endpoint: *endpoint, asked, load };
            self.net.send(slot, slot, report);
        }
    }

    /// A router tries to start a request; whether it started.
    pub(crate) fn start(
        &mut self,
        slot: usize,
        endpoint: EndpointId,
        cost: u64,
    ) -> Option<StartResult> {
        let router = &mut self.routers[slot];
        if router.frozen {
            return None;
        }
        let now = router.clock.at(self.truth);
        self.requests += 1;
        let key = RequestId(self.requests);
        let start = StartRequest {
            request: key,
            attempt: AttemptNo(1),
            chat: ChatKey(self.requests as u64),
            endpoint,
            cost: Work(cost),
            prompt: 0,
            at_home: true,
        };
        let right = router.view.permission(now, endpoint);
        let mean = router.table.mean(SERVICE)?;
        let started = router.table.try_start(now, &router.view, &self.homes, &start);
        if let StartResult::Started { .. } = started {
            self.shared |= match right {
                Permission::Full { reserved, .. } => reserved > 0,
                _ => true,
            };
            let (bound, router) = (mean.bound().0, router.id);
            let run = Run { router, key, cost, bound, mean: mean.sum.0 };
            self.engines.entry(endpoint).or_default().push(run);
            self.broken = self.broken.take().or_else(|| self.check(endpoint));
        }
        Some(started)
    }

    /// Ends every `nth` request on an engine, counted from `pick`.
    pub(crate) fn end(&mut self, endpoint: EndpointId, pick: usize, nth: usize) {
        let runs = std::mem::take(self.engines.entry(endpoint).or_default());
        let mut kept = Vec::new();
        for (at, run) in runs.into_iter().enumerate() {
            let slot = self.routers.iter().position(|it| it.id == run.router);
            let slot = slot.filter(|it| !self.routers[*it].frozen);
            match slot.filter(|_| (at + pick).is_multiple_of(nth.max(1))) {
                None => kept.push(run),
                Some(slot) => {
                    let now = self.routers[slot].clock.at(self.truth);
                    let table = &mut self.routers[slot].table;
                    assert!(table.finish(now, endpoint, run.key, AttemptNo(1)));
                }
            }
        }
        self.engines.insert(endpoint, kept);
    }

    /// What breaks the bound on an engine, if anything does; only a start can.
    ///
    /// Always: the load without its largest request is inside the multiple of the largest mean by which any of it
    /// started. While no fixed share was ever used nor left free: the load is inside that multiple, or at most that
    /// mean and one request.
    fn check(&self, endpoint: EndpointId) -> Option<String> {
        let runs = &self.engines[&endpoint];
        let load: u64 = runs.iter().map(|it| it.cost).sum();
        let largest = runs.iter().map(|it| it.cost).max().unwrap_or(0);
        let bound = runs.iter().map(|it| it.bound).max().unwrap_or(0);
        let mean = runs.iter().map(|it| it.mean).max().unwrap_or(0);
        if load - largest > bound {
            return Some(format!("{endpoint}: {load} less {largest} exceeds {bound}"));
        }
        if !self.shared && load > bound.max(mean + largest) {
            return Some(format!("{endpoint}: {load} exceeds {bound} and {mean} + {largest}"));
        }
        None
    }

    /// The routers that have the full right on an engine.
    pub(crate) fn full(&self, endpoint: EndpointId) -> usize {
        let full = |it: &&Router| {
            let now = it.clock.at(self.truth);
            matches!(it.view.permission(now, endpoint), Permission::Full { .. })
        };
        self.routers.iter().filter(full).count()
    }
}
