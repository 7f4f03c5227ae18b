//! Which replicas a router watches while members are replaced, restart and report outdated members.

use {
    fanout::Group,
    model::{Domain, MILLISECOND, Time},
    proptest::{collection::vec, prelude::*},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

const MEMBERS: usize = 5;

const ROUTERS: u8 = 7;

/// How long routers take to reconnect to a restarted replica.
const RECONNECT_MS: u64 = 600;

/// How many replicas a router watches while all of them are healthy.
const WATCHED: usize = 3;

const STEP_MS: u64 = 50;

/// The interval between the heartbeats of a replica, which are the first to tell of a leader.
const HEARTBEAT_MS: u64 = 1_000;

/// How long after the last disturbance a router must watch enough replicas again.
const SETTLE_MS: u64 = 10_000;

/// How long an address that has left may still be watched.
const FORGET_MS: u64 = 40_000;

fn addr(replica: usize) -> SocketAddr {
    ([10, 0, (replica >> 8) as u8, replica as u8], 7_360).into()
}

fn routers() -> Vec<(SocketAddr, Domain)> {
    (0..ROUTERS).map(|it| (([10, 2, 0, it], 7_360).into(), Domain("d0".into()))).collect()
}

/// A running replica.
#[derive(Clone, Debug)]
struct Replica {
    /// The members of its last snapshot, which it reports until `caught_up_ms`.
    stored: Vec<usize>,
    opened_ms: u64,
    leader_ms: u64,
    caught_up_ms: u64,
}

/// What a replica reported last on a stream: the members, whether all routers, and whether it hears of a leader.
type Stream = Option<(Vec<usize>, bool, bool)>;

/// A group of replicas and a router, in steps of [`STEP_MS`].
struct Model {
    group: Group,
    members: Vec<usize>,
    running: BTreeMap<usize, Replica>,
    /// The replicas with a stream from the router, and what was last reported on it.
    streams: BTreeMap<usize, Stream>,
    selected: BTreeSet<SocketAddr>,
    added: usize,
    knows_routers: bool,
    now_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Wait {
        ms: u64,
    },
    /// A member is gone for good, and another one takes its place.
    Replace {
        at: usize,
    },
    /// All members restart. They hear of a leader and of the present members some time later, one after the other.
    RestartAll {
        down_ms: u64,
        leader_ms: u64,
        lag_ms: u64,
        spread_ms: u64,
    },
    Restart {
        at: usize,
        down_ms: u64,
        leader_ms: u64,
        lag_ms: u64,
    },
    /// The replicas write snapshots with the present members.
    Snapshot,
}

impl Model {
    fn start() -> Model {
        let members: Vec<_> = (0..MEMBERS).collect();
        let seeds: Vec<_> = members[..3].iter().map(|it| addr(*it)).collect();
        let replica =
            Replica { stored: members.clone(), opened_ms: 0, leader_ms: 0, caught_up_ms: 0 };
        Model {
            group: Group::new(([10, 1, 0, 1], 7_360).into(), &seeds),
            running: members.iter().map(|it| (*it, replica.clone())).collect(),
            members,
            streams: BTreeMap::new(),
            selected: BTreeSet::new(),
            added: MEMBERS,
            knows_routers: false,
            now_ms: 0,
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = Time(self.now_ms * MILLISECOND);
        self.selected = self.group.select(now);
        self.streams.retain(|it, _| self.selected.contains(&addr(*it)));
        for (replica, state) in &self.running {
            let addr_of = addr(*replica);
            if !self.selected.contains(&addr_of) {
                continue;
            }
            let is_caught_up = self.now_ms >= state.caught_up_ms;
            let members = if is_caught_up { &self.members } else { &state.stored };
            let has_routers = self.now_ms >= state.opened_ms + RECONNECT_MS;
            let has_leader = self.now_ms >= state.leader_ms;
            let stream = self.streams.entry(*replica).or_default();
            let told = stream.as_ref().map(|it| (&it.0, it.1));
            if told != Some((members, has_routers)) {
                let addrs: Vec<_> = members.iter().map(|it| addr(*it)).collect();
                let routers = if has_routers { routers() } else { Vec::new() };
                self.group.record_report(now, addr_of, &addrs, routers);
            }
            let phase_ms = self.now_ms + *replica as u64 * STEP_MS * 3;
            let told_leader = stream.as_ref().is_some_and(|it| it.2);
            let is_due = stream.is_none() || phase_ms % HEARTBEAT_MS < STEP_MS;
            let tells_leader = if is_due { has_leader } else { told_leader };
            self.group.record_leader(addr_of, tells_leader);
            *stream = Some((members.clone(), has_routers, tells_leader));
        }
        self.knows_routers |= self.group.routers().count() == usize::from(ROUTERS);
        let lost_routers = self.knows_routers && self.group.routers().count() == 0;
        assert!(!lost_routers, "the router forgot all others at {} ms", self.now_ms);
    }

    fn advance(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.step();
        }
    }

    fn stop(&mut self, replica: usize) -> Option<Replica> {
        self.streams.remove(&replica);
        self.group.record_lost(addr(replica));
        self.running.remove(&replica)
    }

    fn restart(&mut self, replicas: &[usize], [down_ms, leader_ms, lag_ms, spread_ms]: [u64; 4]) {
        let stopped: Vec<_> =
            replicas.iter().filter_map(|it| Some((*it, self.stop(*it)?))).collect();
        self.advance(down_ms);
        let mut leader_ms = self.now_ms + leader_ms;
        for (replica, state) in stopped {
            let caught_up_ms = leader_ms + lag_ms;
            let state = Replica { opened_ms: self.now_ms, leader_ms, caught_up_ms, ..state };
            self.running.insert(replica, state);
            leader_ms += spread_ms;
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Wait { ms } => self.advance(ms),
            Event::Replace { at } => {
                let gone = std::mem::replace(&mut self.members[at], self.added);
                self.stop(gone);
                let opened_ms = self.now_ms;
                let replica =
                    Replica { stored: Vec::new(), opened_ms, leader_ms: 0, caught_up_ms: 0 };
                self.running.insert(self.added, replica);
                self.added += 1;
            }
            Event::RestartAll { down_ms, leader_ms, lag_ms, spread_ms } => {
                let members = self.members.clone();
                self.restart(&members, [down_ms, leader_ms, lag_ms, spread_ms]);
            }
            Event::Restart { at, down_ms, leader_ms, lag_ms } => {
                self.restart(&[self.members[at]], [down_ms, leader_ms, lag_ms, 0]);
            }
            Event::Snapshot => {
                let members = self.members.clone();
                self.running.values_mut().for_each(|it| it.stored.clone_from(&members));
            }
        }
    }

    fn watched_members(&self) -> usize {
        self.members.iter().filter(|it| self.selected.contains(&addr(**it))).count()
    }
}

fn event() -> impl Strategy<Value = Event> {
    let restart = || (0..3_000_u64, 0..4_000_u64, 0..2_000_u64);
    prop_oneof![
        4 => (0..8_000_u64).prop_map(|ms| Event::Wait { ms }),
        4 => (0..MEMBERS).prop_map(|at| Event::Replace { at }),
        3 => (restart(), 0..600_u64).prop_map(|((down_ms, leader_ms, lag_ms), spread_ms)| {
            Event::RestartAll { down_ms, leader_ms, lag_ms, spread_ms }
        }),
        2 => (0..MEMBERS, restart()).prop_map(|(at, (down_ms, leader_ms, lag_ms))| {
            Event::Restart { at, down_ms, leader_ms, lag_ms }
        }),
        1 => Just(Event::Snapshot),
    ]
}

proptest! {
    /// A router that knew the group finds it again after any series of replacements and restarts, in which it learns of
    /// each new member before the next is replaced.
    #[test]
    fn router_finds_the_group_again_after_replacements_and_restarts(
        events in vec(event(), 1..30),
    ) {
        let mut model = Model::start();
        model.advance(SETTLE_MS);
        for event in events {
            model.apply(event);
            // The router learns of a new member from those that remain.
            if matches!(event, Event::Replace { .. }) {
                model.advance(SETTLE_MS);
            }
        }
        model.advance(SETTLE_MS);
        prop_assert!(model.watched_members() >= WATCHED, "{:?}", model.selected);
        prop_assert!(model.group.healthy() >= WATCHED);
        model.advance(FORGET_MS);
        prop_assert_eq!(model.watched_members(), model.selected.len());
        prop_assert_eq!(model.group.members().len(), MEMBERS);
        prop_assert_eq!(model.selected.len(), WATCHED);
        prop_assert_eq!(model.group.routers().count(), usize::from(ROUTERS));
    }
}

/// The first replica that hears of a leader after a restart of all reports former members for a while.
#[rstest]
#[case::once(1)]
#[case::in_series(4)]
fn router_finds_the_group_again_when_the_first_healthy_replica_reports_former_members(
    #[case] restarts: usize,
) {
    let mut model = Model::start();
    model.advance(SETTLE_MS);
    for at in 0..MEMBERS {
        model.apply(Event::Replace { at });
        model.advance(SETTLE_MS);
    }
    let seeds = vec![0, 1, 2];
    model.running.values_mut().for_each(|it| it.stored.clone_from(&seeds));
    for _ in 0..restarts {
        let (down_ms, leader_ms) = (500, 2_000);
        model.apply(Event::RestartAll { down_ms, leader_ms, lag_ms: 1_500, spread_ms: 900 });
        model.advance(3_000);
    }
    model.advance(SETTLE_MS);
    assert!(model.group.healthy() >= WATCHED);
    assert_eq!(model.watched_members(), model.selected.len());
}

/// A router whose replicas name no members, as in a group whose members are in its settings.
#[test]
fn router_watches_its_seeds_while_replicas_report_no_members() {
    let seeds = [addr(0), addr(1), addr(2)];
    let mut group = Group::new(([10, 1, 0, 1], 7_360).into(), &seeds);
    for second in 0..60 {
        let selected = group.select(Time(second * 1_000 * MILLISECOND));
        assert_eq!(selected, BTreeSet::from(seeds));
        seeds.iter().for_each(|it| group.record_leader(*it, true));
    }
}
