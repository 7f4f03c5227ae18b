//! Simulates several routers and a control leader over an unreliable network, using the real state
//! machines.

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

const REPORT_LAG: u64 = 200 * MILLISECOND;

/// The leader's network address. A router's address is the number of its slot.
const LEADER_ADDR: usize = usize::MAX;

#[derive(Clone)]
enum Message {
    Heartbeat { id: RouterId, beat: Heartbeat },
    Reply { id: RouterId, reply: HeartbeatReply, mean: Work },
    Roster { roster: Roster },
    Report { id: RouterId, endpoint: EndpointId, asked: Time, load: Work },
}

/// How messages pass between a router and the leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Link {
    Good,
    /// Messages stay in flight until one is picked.
    Slow,
    Cut,
}

pub(crate) struct Router {
    pub(crate) id: RouterId,
    clock: DriftingClock,
    pub(crate) view: MembershipView,
    pub(crate) table: EndpointTable,
    uplink: Link,
    downlink: Link,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    next_heartbeat: Time,
}

/// A request that runs on an endpoint. Requests are kept in the order in which they started.
pub(crate) struct RunningRequest {
    router: RouterId,
    key: RequestId,
    pub(crate) cost: u64,
    /// The bound and the mean load under which it started.
    pub(crate) bound: u64,
    pub(crate) mean: u64,
}

pub(crate) struct Simulation {
    pub(crate) real_time: Time,
    pub(crate) config: Config,
    rendezvous: RendezvousHash,
    pub(crate) routers: Vec<Router>,
    net: Network<usize, Message>,
    leader: Option<MemberTracker>,
    leader_clock: DriftingClock,
    rosters: BTreeMap<Epoch, Roster>,
    proposed: Option<Roster>,
    pub(crate) mean: Work,
    pub(crate) endpoints: BTreeMap<EndpointId, Vec<RunningRequest>>,
    published: BTreeMap<EndpointId, (Time, Work)>,
    /// Whether any request started under a fixed share, or while a share was reserved.
    share_used: bool,
    /// The first violation of the bound.
    pub(crate) violation: Option<String>,
    last_router_id: u32,
    last_request: u128,
}

impl Simulation {
    /// Builds the simulation and lets it settle. `drifts` are clock drifts in millionths, the
    /// leader's first.
    pub(crate) fn new(drifts: &[i32], endpoints: u32, mean: u64) -> Simulation {
        let config = config(endpoints);
        let clock = |drift: &i32| DriftingClock { offset: Time(SECOND * 100), drift_ppm: *drift };
        let leader_clock = clock(&drifts[0]);
        let mut simulation = Simulation {
            real_time: Time(0),
            rendezvous: RendezvousHash::new(&config, SERVICE, None),
            endpoints: config.endpoints.keys().map(|id| (*id, Vec::new())).collect(),
            config,
            routers: Vec::new(),
            net: Network::default(),
            leader: None,
            leader_clock,
            rosters: BTreeMap::new(),
            proposed: None,
            mean: Work(mean),
            published: BTreeMap::new(),
            share_used: false,
            violation: None,
            last_router_id: 0,
            last_request: 0,
        };
        for drift in &drifts[1..] {
            simulation.last_router_id += 1;
            let router = simulation.new_router(RouterId(simulation.last_router_id), clock(drift));
            simulation.routers.push(router);
        }
        simulation.elect_leader();
        simulation.run_steps(15);
        simulation
    }

    fn new_router(&self, id: RouterId, clock: DriftingClock) -> Router {
        let mut view = MembershipView::new(LeaseTiming::default());
        view.set_id(id);
        let mut table =
            EndpointTable::new(Settings::default().with_report_lag(REPORT_LAG).with_join_window(0));
        table.update_config(clock.at(self.real_time), &self.config);
        let (uplink, downlink) = (Link::Good, Link::Good);
        Router {
            id,
            clock,
            view,
            table,
            uplink,
            downlink,
            frozen: false,
            leaving: false,
            next_heartbeat: Time(0),
        }
    }

    /// Stops the control leader.
    pub(crate) fn stop_leader(&mut self) {
        self.leader = None;
        self.proposed = None;
    }

    /// Elects another control replica, which knows only the committed roster.
    pub(crate) fn elect_leader(&mut self) {
        let roster = self.rosters.values().next_back().cloned().unwrap_or_default();
        let now = self.leader_clock.at(self.real_time);
        self.proposed = None;
        self.leader = Some(MemberTracker::new(now, roster, LeaseTiming::default()));
    }

    /// Kills the process in a slot and starts a new one. Its requests end with its connections.
    pub(crate) fn restart(&mut self, slot: usize) {
        let id = self.routers[slot].id;
        self.endpoints.values_mut().for_each(|runs| runs.retain(|it| it.router != id));
        self.net.drop_all_to(slot);
        self.last_router_id += 1;
        let clock = self.routers[slot].clock;
        self.routers[slot] = self.new_router(RouterId(self.last_router_id), clock);
    }

    pub(crate) fn set_links(&mut self, slot: usize, uplink: Link, downlink: Link) {
        (self.routers[slot].uplink, self.routers[slot].downlink) = (uplink, downlink);
    }

    pub(crate) fn heal(&mut self) {
        for router in &mut self.routers {
            (router.uplink, router.downlink) = (Link::Good, Link::Good);
            router.frozen = false;
        }
    }

    /// Runs this many steps of half a second.
    pub(crate) fn run_steps(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step(500));
    }

    /// Advances time, lets every process act, and delivers the messages that the links let through.
    pub(crate) fn step(&mut self, millis: u64) {
        self.real_time = self.real_time + millis * MILLISECOND;
        (0..self.routers.len()).for_each(|slot| self.send_heartbeat(slot));
        self.run_leader();
        for _ in 0..6 {
            self.deliver_available();
        }
    }

    /// Delivers, loses or duplicates one message in flight.
    pub(crate) fn disturb_message(&mut self, pick: usize, how: u8) {
        match how % 3 {
            0 => self.deliver(pick),
            1 => self.net.drop_message(pick),
            _ => self.net.duplicate(pick),
        }
    }

    fn send_heartbeat(&mut self, slot: usize) {
        let now = self.routers[slot].clock.at(self.real_time);
        let router = &mut self.routers[slot];
        let behind =
            router.view.epoch() > Epoch(0) && router.view.settled_epoch() < router.view.epoch();
        if router.frozen || (now < router.next_heartbeat && !behind) {
            return;
        }
        let Some((seq, epoch)) = router.view.next_heartbeat(now) else { return };
        router.next_heartbeat = now + SECOND;
        let (held, busy) = (router.table.unowned_work(&router.view), router.table.has_running());
        let beat = Heartbeat { seq, epoch, leaving: router.leaving, busy, residual_work: held };
        let id = router.id;
        self.net.send(slot, LEADER_ADDR, Message::Heartbeat { id, beat });
    }

    fn run_leader(&mut self) {
        let now = self.leader_clock.at(self.real_time);
        let Some(leader) = &mut self.leader else { return };
        // A proposal is committed one step after it was made.
        if let Some(roster) = self.proposed.take() {
            leader.on_committed(roster.clone());
            self.rosters.insert(roster.epoch, roster.clone());
            for slot in 0..self.routers.len() {
                self.net.send(LEADER_ADDR, slot, Message::Roster { roster: roster.clone() });
            }
        }
        let Some(leader) = &mut self.leader else { return };
        self.proposed = leader.tick(now);
    }

    fn deliver_available(&mut self) {
        let mut kept = Vec::new();
        while let Some(it) = self.net.deliver_oldest() {
            match self.link_between(it.from, it.to) {
                Link::Good => self.receive(it.to, it.message),
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
        match self.link_between(it.from, it.to) {
            Link::Slow if frozen(it.to) => self.net.send(it.from, it.to, it.message),
            Link::Cut => {}
            _ => self.receive(it.to, it.message),
        }
    }

    fn link_between(&self, from: usize, to: usize) -> Link {
        match (self.routers.get(from), self.routers.get(to)) {
            (Some(router), _) if to == LEADER_ADDR => router.uplink,
            (_, Some(router)) if router.frozen => Link::Slow,
            (None, Some(router)) => router.downlink,
            _ => Link::Good,
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        match message {
            Message::Heartbeat { id, beat } => self.handle_heartbeat(id, beat),
            Message::Roster { roster } => {
                let now = self.routers[to].clock.at(self.real_time);
                self.routers[to].view.update_roster(now, &roster, &self.config);
            }
            Message::Reply { id, reply, mean } => self.handle_reply(to, id, reply, mean),
            Message::Report { id, endpoint, asked, load } => {
                let now = self.routers[to].clock.at(self.real_time);
                if self.routers[to].id == id {
                    self.routers[to].table.apply_load_report(now, endpoint, asked, load);
                }
            }
        }
    }

    fn handle_heartbeat(&mut self, id: RouterId, beat: Heartbeat) {
        let now = self.leader_clock.at(self.real_time);
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
            self.net.send(LEADER_ADDR, slot, Message::Roster { roster });
        }
        let mean = self.mean;
        self.net.send(LEADER_ADDR, slot, Message::Reply { id, reply, mean });
    }

    fn handle_reply(&mut self, slot: usize, id: RouterId, reply: HeartbeatReply, mean: Work) {
        let router = &mut self.routers[slot];
        let now = router.clock.at(self.real_time);
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

    /// Publishes the endpoints' loads. Probes return these values until they are older than half
    /// the report lag.
    pub(crate) fn publish_loads(&mut self) {
        let load = |runs: &Vec<RunningRequest>| Work(runs.iter().map(|it| it.cost).sum());
        let now = self.real_time;
        self.published = self.endpoints.iter().map(|(id, runs)| (*id, (now, load(runs)))).collect();
    }

    /// Probes the loads of the endpoints that a router watches.
    pub(crate) fn probe_loads(&mut self, slot: usize) {
        if self.routers[slot].frozen {
            return;
        }
        let asked = self.routers[slot].clock.at(self.real_time);
        for endpoint in &self.routers[slot].view.monitored_endpoints(asked) {
            let runs = &self.endpoints[endpoint];
            let current = Work(runs.iter().map(|it| it.cost).sum());
            let old = self
                .published
                .get(endpoint)
                .filter(|it| self.real_time.since(it.0) < REPORT_LAG / 2);
            let load = old.map_or(current, |it| it.1);
            let id = self.routers[slot].id;
            let report = Message::Report { id, endpoint: *endpoint, asked, load };
            self.net.send(slot, slot, report);
        }
    }

    /// Tries to start a request. Returns `None` if the router is frozen or knows no mean load.
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
        let now = router.clock.at(self.real_time);
        self.last_request += 1;
        let key = RequestId(self.last_request);
        let start = StartRequest {
            request: key,
            attempt: AttemptNo(1),
            chat: ChatKey(self.last_request as u64),
            endpoint,
            cost: Work(cost),
            prompt: 0,
            at_home: true,
        };
        let permission = router.view.permission(now, endpoint);
        let mean = router.table.mean(SERVICE)?;
        let started = router.table.try_start(now, &router.view, &self.rendezvous, &start);
        if let StartResult::Started { .. } = started {
            self.share_used |= match permission {
                Permission::Full { reserved, .. } => reserved > 0,
                _ => true,
            };
            let (bound, router) = (mean.bound().0, router.id);
            let run = RunningRequest { router, key, cost, bound, mean: mean.sum.0 };
            self.endpoints.entry(endpoint).or_default().push(run);
            self.violation = self.violation.take().or_else(|| self.check_bound(endpoint));
        }
        Some(started)
    }

    /// Ends every `nth` request on an endpoint, counted from `offset`.
    pub(crate) fn finish(&mut self, endpoint: EndpointId, offset: usize, nth: usize) {
        let runs = std::mem::take(self.endpoints.entry(endpoint).or_default());
        let mut kept = Vec::new();
        for (at, run) in runs.into_iter().enumerate() {
            let slot = self.routers.iter().position(|it| it.id == run.router);
            let slot = slot.filter(|it| !self.routers[*it].frozen);
            match slot.filter(|_| (at + offset).is_multiple_of(nth.max(1))) {
                None => kept.push(run),
                Some(slot) => {
                    let now = self.routers[slot].clock.at(self.real_time);
                    let table = &mut self.routers[slot].table;
                    assert!(table.finish(now, endpoint, run.key, AttemptNo(1)));
                }
            }
        }
        self.endpoints.insert(endpoint, kept);
    }

    /// Returns how an endpoint's load violates the bound, if it does. Only a start can cause a
    /// violation.
    ///
    /// The load without its largest request must always be within the largest bound under which any
    /// of its requests started. As long as no fixed share was ever used or reserved, the load must
    /// also be within that bound, or exceed the mean by at most one request.
    fn check_bound(&self, endpoint: EndpointId) -> Option<String> {
        let runs = &self.endpoints[&endpoint];
        let load: u64 = runs.iter().map(|it| it.cost).sum();
        let largest = runs.iter().map(|it| it.cost).max().unwrap_or(0);
        let bound = runs.iter().map(|it| it.bound).max().unwrap_or(0);
        let mean = runs.iter().map(|it| it.mean).max().unwrap_or(0);
        if load - largest > bound {
            return Some(format!("{endpoint}: {load} less {largest} exceeds {bound}"));
        }
        if !self.share_used && load > bound.max(mean + largest) {
            return Some(format!("{endpoint}: {load} exceeds {bound} and {mean} + {largest}"));
        }
        None
    }

    /// Returns how many routers have the full permission on an endpoint.
    pub(crate) fn full_permission_holders(&self, endpoint: EndpointId) -> usize {
        let full = |it: &&Router| {
            let now = it.clock.at(self.real_time);
            matches!(it.view.permission(now, endpoint), Permission::Full { .. })
        };
        self.routers.iter().filter(full).count()
    }
}
