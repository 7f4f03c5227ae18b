//! Which replicas a router watches while members are replaced, restart and report outdated members.

use {
    fanout::Group,
    model::{MILLISECOND, Time},
    proptest::{collection::vec, prelude::*},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

const MEMBERS: usize = 5;

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

/// A running replica.
#[derive(Clone, Debug)]
struct Replica {
    /// The members of its last snapshot, which it reports until `caught_up_ms`.
    stored: Vec<usize>,
    leader_ms: u64,
    caught_up_ms: u64,
}

/// A group of replicas and a router, in steps of [`STEP_MS`].
struct Model {
    group: Group,
    members: Vec<usize>,
    running: BTreeMap<usize, Replica>,
    /// The replicas with a stream from the router, and what was last reported on it.
    streams: BTreeMap<usize, (Vec<usize>, bool)>,
    selected: BTreeSet<SocketAddr>,
    added: usize,
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
    /// All members restart. They hear of a leader and of the present members some time later.
    RestartAll {
        down_ms: u64,
        leader_ms: u64,
        lag_ms: u64,
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
        let replica = Replica { stored: members.clone(), leader_ms: 0, caught_up_ms: 0 };
        Model {
            group: Group::new(([10, 1, 0, 1], 7_360).into(), &seeds),
            running: members.iter().map(|it| (*it, replica.clone())).collect(),
            members,
            streams: BTreeMap::new(),
            selected: BTreeSet::new(),
            added: MEMBERS,
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
            let is_due = self.now_ms % HEARTBEAT_MS < STEP_MS;
            let is_caught_up = self.now_ms >= state.caught_up_ms;
            let reported = if is_caught_up { &self.members } else { &state.stored };
            let has_leader = self.now_ms >= state.leader_ms;
            let stream = self.streams.entry(*replica).or_default();
            if stream.0 != *reported {
                stream.0.clone_from(reported);
                let reported: Vec<_> = reported.iter().map(|it| addr(*it)).collect();
                self.group.record_members(now, addr_of, &reported);
            }
            if is_due && stream.1 != has_leader {
                stream.1 = has_leader;
                self.group.record_leader(addr_of, has_leader);
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.step();
        }
    }

    fn stop(&mut self, replica: usize) -> Option<Replica> {
        self.streams.remove(&replica);
        self.group.record_leader(addr(replica), false);
        self.running.remove(&replica)
    }

    fn restart(&mut self, replicas: &[usize], down_ms: u64, leader_ms: u64, lag_ms: u64) {
        let stopped: Vec<_> =
            replicas.iter().filter_map(|it| Some((*it, self.stop(*it)?))).collect();
        self.advance(down_ms);
        let leader_ms = self.now_ms + leader_ms;
        for (replica, state) in stopped {
            let state = Replica { leader_ms, caught_up_ms: leader_ms + lag_ms, ..state };
            self.running.insert(replica, state);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Wait { ms } => self.advance(ms),
            Event::Replace { at } => {
                let gone = std::mem::replace(&mut self.members[at], self.added);
                self.stop(gone);
                let replica = Replica { stored: Vec::new(), leader_ms: 0, caught_up_ms: 0 };
                self.running.insert(self.added, replica);
                self.added += 1;
            }
            Event::RestartAll { down_ms, leader_ms, lag_ms } => {
                self.restart(&self.members.clone(), down_ms, leader_ms, lag_ms);
            }
            Event::Restart { at, down_ms, leader_ms, lag_ms } => {
                self.restart(&[self.members[at]], down_ms, leader_ms, lag_ms);
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
        3 => restart().prop_map(|(down_ms, leader_ms, lag_ms)| {
            Event::RestartAll { down_ms, leader_ms, lag_ms }
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
        prop_assert_eq!(model.group.healthy(), WATCHED);
        model.advance(FORGET_MS);
        prop_assert_eq!(model.watched_members(), model.selected.len());
        prop_assert!(model.group.members().count() == MEMBERS);
    }
}

/// All restart while a replica that reports the present members is the only one that does.
#[rstest]
#[case::at_once(0)]
#[case::after_a_while(3_000)]
fn router_keeps_a_healthy_replica_until_others_are_healthy(#[case] ms: u64) {
    let mut model = Model::start();
    model.advance(SETTLE_MS);
    for at in 0..3 {
        model.apply(Event::Replace { at });
        model.advance(SETTLE_MS);
    }
    model.apply(Event::RestartAll { down_ms: 500, leader_ms: 2_500, lag_ms: 1_000 });
    model.advance(ms);
    model.apply(Event::RestartAll { down_ms: 500, leader_ms: 2_500, lag_ms: 1_000 });
    model.advance(SETTLE_MS);
    assert_eq!(model.group.healthy(), WATCHED);
}
