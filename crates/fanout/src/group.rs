//! Selects the replicas that a router watches, and tells which replicas and routers exist.
//!
//! Routers learn of both from the replicas that they watch. A replica that was restarted reports no members or former ones
//! until it hears of a leader, and no routers until they are connected to it. So an address leaves only if it is missing
//! from all reports for a while, and none leaves while too few replicas hear of a leader to know. During that time every
//! address that may be a member is watched.

use {
    derive_more::Debug,
    model::{Domain, MILLISECOND, Time, hash64, mix2},
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

/// How long an address that is no longer reported still counts as a possible member, in microseconds.
const MEMBER_RETENTION: u64 = 30_000 * MILLISECOND;

/// How long a router that is no longer reported is retained, in microseconds. Routers reconnect to restarted replicas
/// within that time, and replicas of a large fleet report them.
const ROUTER_RETENTION: u64 = 3_000 * MILLISECOND;

/// The maximum number of possible members.
const MAX_MEMBERS: usize = 64;

/// A watched replica.
#[derive(Debug)]
struct WatchedReplica {
    /// Until this time the replica counts as healthy even if it has not reported a leader.
    probation_until: Time,
    /// Whether the replica hears of a leader, so that it would know of a newer configuration.
    has_leader: bool,
    /// Whether its stream is open.
    is_connected: bool,
    /// The members that it reported last.
    members: SmallVec<[SocketAddr; 5]>,
    /// The routers that it reported last.
    routers: Vec<(SocketAddr, Domain)>,
}

/// The replicas of a group, as far as a router knows, and those that it watches.
#[derive(Debug)]
pub struct Group {
    /// The hash of the router's own address.
    own: u64,
    seeds: SmallVec<[SocketAddr; 4]>,
    watched: BTreeMap<SocketAddr, WatchedReplica>,
    /// The possible members, and until when they are retained although no replica reports them.
    members: BTreeMap<SocketAddr, Time>,
    /// The routers, and until when they are retained although no replica reports them.
    routers: BTreeMap<(SocketAddr, Domain), Time>,
}

impl Group {
    /// Returns a group of which the router at `own` knows only the configured addresses.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Group {
        let own = hash64(own.to_string().as_bytes());
        let (watched, members, routers) = <_>::default();
        Group { own, seeds: seeds.into(), watched, members, routers }
    }

    /// Replaces the configured addresses.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.into();
    }

    /// Records the members and routers that a watched replica reported. Returns whether it reported other members before.
    pub fn record_report(
        &mut self,
        now: Time,
        replica: SocketAddr,
        members: &[SocketAddr],
        routers: Vec<(SocketAddr, Domain)>,
    ) -> bool {
        let Some(watched) = self.watched.get_mut(&replica) else { return false };
        let before = std::mem::replace(&mut watched.members, members.into());
        self.routers.extend(routers.iter().map(|it| (it.clone(), now + ROUTER_RETENTION)));
        watched.routers = routers;
        watched.is_connected = true;
        self.retain_members(now, members);
        before.as_slice() != members
    }

    /// Records whether a watched replica hears of a leader.
    pub fn record_leader(&mut self, replica: SocketAddr, has_leader: bool) {
        if let Some(watched) = self.watched.get_mut(&replica) {
            watched.has_leader = has_leader;
        }
    }

    /// Records that the stream to a watched replica ended.
    pub fn record_lost(&mut self, replica: SocketAddr) {
        if let Some(watched) = self.watched.get_mut(&replica) {
            (watched.has_leader, watched.is_connected) = (false, false);
        }
    }

    /// Updates which replicas are watched and returns them.
    pub fn select(&mut self, now: Time) -> BTreeSet<SocketAddr> {
        self.expire(now);
        let reported = self.reported_members();
        let selected = if self.is_in_doubt() || reported.is_empty() {
            self.members.keys().chain(&self.seeds).copied().collect()
        } else {
            self.select_from(now, reported)
        };
        self.watched.retain(|addr, _| selected.contains(addr));
        for addr in &selected {
            self.watched.entry(*addr).or_insert_with(|| WatchedReplica {
                probation_until: now + PROBATION_TIME,
                has_leader: false,
                is_connected: false,
                members: SmallVec::new(),
                routers: Vec::new(),
            });
        }
        selected
    }

    /// Ranks a replica by rendezvous hashing. The order differs between routers, so that they are spread over the replicas.
    pub fn rank(&self, replica: SocketAddr) -> u64 {
        mix2(self.own, hash64(replica.to_string().as_bytes()))
    }

    /// Returns the members by the replicas that hear of a leader, or all possible ones if too few do.
    pub fn members(&self) -> BTreeSet<SocketAddr> {
        let reported = self.reported_members();
        match self.is_in_doubt() || reported.is_empty() {
            true => self.members.keys().copied().collect(),
            false => reported,
        }
    }

    /// Returns the routers, in no particular order.
    pub fn routers(&self) -> impl Iterator<Item = &(SocketAddr, Domain)> {
        self.routers.keys()
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
        self.healthy() < MIN_HEALTHY_REPLICAS.min(self.members.len().max(1))
    }

    /// Returns the members reported by replicas that hear of a leader.
    fn reported_members(&self) -> BTreeSet<SocketAddr> {
        let healthy = self.watched.values().filter(|it| it.has_leader);
        healthy.flat_map(|it| it.members.iter().copied()).collect()
    }

    /// Selects from the members that healthy replicas reported. A healthy member is kept until enough others are healthy.
    fn select_from(&self, now: Time, reported: BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
        let mut by_rank: Vec<_> = reported.into_iter().collect();
        by_rank.sort_unstable_by_key(|it| self.rank(*it));
        let (mut selected, mut healthy, mut expected) = (BTreeSet::new(), 0, 0);
        for addr in by_rank {
            let watched = self.watched.get(&addr);
            let has_leader = watched.is_some_and(|it| it.has_leader);
            let is_expected = has_leader || watched.is_none_or(|it| now < it.probation_until);
            let is_kept = has_leader && healthy < WATCHED_REPLICAS;
            if expected < WATCHED_REPLICAS || is_kept {
                healthy += usize::from(has_leader);
                expected += usize::from(is_expected);
                selected.insert(addr);
            }
        }
        selected
    }

    /// Drops what no connected replica has reported for long. Nothing expires while too few replicas could tell.
    fn expire(&mut self, now: Time) {
        if self.is_in_doubt() {
            let members: Vec<_> = self.members.keys().copied().collect();
            self.retain_members(now, &members);
            self.routers.values_mut().for_each(|it| *it = now + ROUTER_RETENTION);
            return;
        }
        let reported: Vec<_> = self.reported_members().into_iter().collect();
        self.retain_members(now, &reported);
        for watched in self.watched.values().filter(|it| it.is_connected) {
            for router in &watched.routers {
                if let Some(until) = self.routers.get_mut(router) {
                    *until = now + ROUTER_RETENTION;
                }
            }
        }
        self.members.retain(|_, until| now < *until);
        self.routers.retain(|_, until| now < *until);
    }

    fn retain_members(&mut self, now: Time, members: &[SocketAddr]) {
        let until = now + MEMBER_RETENTION;
        for addr in members {
            self.members.insert(*addr, until);
        }
        while self.members.len() > MAX_MEMBERS {
            let oldest = self.members.iter().min_by_key(|it| *it.1).map(|it| *it.0);
            let Some(oldest) = oldest else { return };
            self.members.remove(&oldest);
        }
    }
}
