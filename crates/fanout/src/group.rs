//! Selects the replicas that a router watches.
//!
//! Routers learn the members of the group from the replicas that they watch. A replica that was restarted reports the
//! members of its last snapshot until a leader tells it what was committed since, so only replicas that hear of a leader
//! can tell that an address has left the group. While no watched replica does, every address that may be a member is
//! watched.

use {
    derive_more::Debug,
    model::{MILLISECOND, Time, hash64, mix2},
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// How many replicas are watched while all of them are healthy. With two of them lost, one still reports.
const WATCHED_REPLICAS: usize = 3;

/// How many of the watched replicas must hear of a leader. A single one may lag behind it.
const MIN_HEALTHY_REPLICAS: usize = 2;

/// How long a replica may take to become healthy before an additional one is watched, in microseconds.
const PROBATION_TIME: u64 = 1_500 * MILLISECOND;

/// How long an address that no healthy replica reports any more still counts as a possible member, in microseconds. A
/// healthy replica may report outdated members for a moment after its restart.
const RETENTION_TIME: u64 = 30_000 * MILLISECOND;

/// The maximum number of addresses that are retained.
const MAX_MEMBERS: usize = 64;

/// A watched replica.
#[derive(Debug)]
struct WatchedReplica {
    /// Until this time the replica counts as healthy even if it has not reported a leader.
    probation_until: Time,
    /// Whether the replica hears of a leader, so that it would know of a newer configuration.
    has_leader: bool,
    /// The members that it reported last.
    members: SmallVec<[SocketAddr; 5]>,
}

/// The replicas of a group, as far as a router knows, and those that it watches.
#[derive(Debug)]
pub struct Group {
    /// The hash of the router's own address.
    own: u64,
    seeds: SmallVec<[SocketAddr; 4]>,
    watched: BTreeMap<SocketAddr, WatchedReplica>,
    /// The possible members, and until when they are retained although no healthy replica reports them.
    members: BTreeMap<SocketAddr, Time>,
}

impl Group {
    /// Returns a group of which the router at `own` knows only the configured addresses.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Group {
        let own = hash64(own.to_string().as_bytes());
        Group { own, seeds: seeds.into(), watched: BTreeMap::new(), members: BTreeMap::new() }
    }

    /// Replaces the configured addresses.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.into();
    }

    /// Records the members that a watched replica reported. Returns whether it reported others before.
    pub fn record_members(
        &mut self,
        now: Time,
        replica: SocketAddr,
        members: &[SocketAddr],
    ) -> bool {
        let Some(watched) = self.watched.get_mut(&replica) else { return false };
        let before = std::mem::replace(&mut watched.members, members.into());
        self.retain_members(now, members);
        before.as_slice() != members
    }

    /// Records whether a watched replica hears of a leader.
    pub fn record_leader(&mut self, replica: SocketAddr, has_leader: bool) {
        if let Some(watched) = self.watched.get_mut(&replica) {
            watched.has_leader = has_leader;
        }
    }

    /// Updates which replicas are watched and returns them.
    pub fn select(&mut self, now: Time) -> BTreeSet<SocketAddr> {
        let reported = self.reported_members();
        let selected = match reported.is_empty() {
            true => {
                // It may have been this long that no replica could report a change.
                let known: Vec<_> = self.members.keys().copied().collect();
                self.retain_members(now, &known);
                known.into_iter().chain(self.seeds.iter().copied()).collect()
            }
            false => {
                let reported: Vec<_> = reported.into_iter().collect();
                self.retain_members(now, &reported);
                self.members.retain(|_, until| now < *until);
                self.select_members(now, reported)
            }
        };
        self.watched.retain(|addr, _| selected.contains(addr));
        for addr in &selected {
            self.watched.entry(*addr).or_insert_with(|| WatchedReplica {
                probation_until: now + PROBATION_TIME,
                has_leader: false,
                members: SmallVec::new(),
            });
        }
        selected
    }

    /// Ranks a replica by rendezvous hashing. The order differs between routers, so that they are spread over the replicas.
    pub fn rank(&self, replica: SocketAddr) -> u64 {
        mix2(self.own, hash64(replica.to_string().as_bytes()))
    }

    /// Returns the possible members, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.keys().copied()
    }

    /// Returns whether a replica is watched and hears of a leader.
    pub fn has_leader(&self, replica: SocketAddr) -> bool {
        self.watched.get(&replica).is_some_and(|it| it.has_leader)
    }

    /// Returns the number of watched replicas that hear of a leader.
    pub fn healthy(&self) -> usize {
        self.watched.values().filter(|it| it.has_leader).count()
    }

    /// Returns whether too few replicas hear of a leader to announce a new configuration.
    pub fn is_in_doubt(&self) -> bool {
        let members = self.watched.values().map(|it| it.members.len()).max().unwrap_or(0);
        self.healthy() < MIN_HEALTHY_REPLICAS.min(members.max(1))
    }

    /// Returns the members reported by replicas that hear of a leader.
    fn reported_members(&self) -> BTreeSet<SocketAddr> {
        let healthy = self.watched.values().filter(|it| it.has_leader);
        healthy.flat_map(|it| it.members.iter().copied()).collect()
    }

    /// Selects from the members that healthy replicas reported. A healthy replica is kept until enough others are
    /// healthy.
    fn select_members(&self, now: Time, mut reported: Vec<SocketAddr>) -> BTreeSet<SocketAddr> {
        reported.sort_unstable_by_key(|it| self.rank(*it));
        let (mut selected, mut healthy, mut expected) = (BTreeSet::new(), 0, 0);
        for addr in reported {
            if expected == WATCHED_REPLICAS {
                break;
            }
            let watched = self.watched.get(&addr);
            let has_leader = watched.is_some_and(|it| it.has_leader);
            healthy += usize::from(has_leader);
            let is_expected = has_leader || watched.is_none_or(|it| now < it.probation_until);
            expected += usize::from(is_expected);
            selected.insert(addr);
        }
        let mut others: Vec<_> = self.watched.iter().filter(|it| it.1.has_leader).collect();
        others.sort_unstable_by_key(|it| self.rank(*it.0));
        let others = others.into_iter().map(|it| *it.0).filter(|it| !selected.contains(it));
        let kept: Vec<_> = others.take(WATCHED_REPLICAS.saturating_sub(healthy)).collect();
        selected.extend(kept);
        selected
    }

    fn retain_members(&mut self, now: Time, members: &[SocketAddr]) {
        let until = now + RETENTION_TIME;
        for addr in members {
            self.members.insert(*addr, until);
        }
        while self.members.len() > MAX_MEMBERS {
            let oldest = self.members.iter().min_by_key(|it| *it.1).map(|it| *it.0);
            oldest.and_then(|it| self.members.remove(&it));
        }
    }
}
