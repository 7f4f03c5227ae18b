//! The control leader's side: who is heard, who is missing, and which roster follows.

use {
    crate::{FlapDamping, LeaseTiming, holders},
    model::{
        Domain, EndpointId, Epoch, HostName, Roster, RouterEntry, RouterId, RouterState, Time, Work,
    },
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// A missing router whose host left the platform's list is removed after so long, in microseconds.
const HOST_GONE: u64 = 60 * model::SECOND;

/// What a heartbeat says about a router.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Heartbeat {
    /// Its number.
    pub seq: u64,
    /// The roster in force there.
    pub epoch: Epoch,
    /// Whether the router is shutting down.
    pub leaving: bool,
    /// Whether it still runs anything; a leaving router that runs nothing can be removed.
    pub busy: bool,
    /// The work that it still runs on endpoints that it does not own.
    pub residual_work: SmallVec<[(EndpointId, Work); 4]>,
}

/// What a heartbeat is answered with.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct HeartbeatReply {
    /// The number of the heartbeat.
    pub seq: u64,
    /// The length of the lease, in milliseconds from when the heartbeat was sent; zero: not renewed.
    pub lease_ms: u32,
    /// No router acts by an older roster than this one, but for missing ones, and what all others hold is known;
    /// zero: not so.
    pub settled_epoch: Epoch,
    /// With `settled`: the work that others still run on endpoints that this router owns.
    pub residual_work: SmallVec<[(EndpointId, Work); 4]>,
}

/// What is known of one router process.
#[derive(Clone, Debug)]
struct Peer {
    addr: SocketAddr,
    domain: Domain,
    host: Option<HostName>,
    seq: u64,
    /// When the last two heartbeats of an unbroken row were answered, the older first.
    answers: [Option<Time>; 2],
    /// No later than its last answered heartbeat was sent, on this clock.
    proved: Option<Time>,
    heard: Time,
    acked: Epoch,
    /// By when its last lease has ended for certain.
    lease_end: Time,
    leaving: bool,
    busy: bool,
    residual_work: SmallVec<[(EndpointId, Work); 4]>,
    damping: FlapDamping,
    /// Since when the platform's list has lacked its host.
    absent: Option<Time>,
    /// Whether its process is known to be dead.
    dead: bool,
}

/// The routers as the control leader knows them; lost with the leadership.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    timing: LeaseTiming,
    roster: Roster,
    peers: BTreeMap<RouterId, Peer>,
    /// By when the leases of all earlier leaders have ended for certain.
    earlier_end: Time,
}

impl MemberTracker {
    /// Returns what a new leader knows: the committed roster, and nobody heard.
    pub fn new(now: Time, roster: Roster, timing: LeaseTiming) -> MemberTracker {
        let earlier_end = timing.certain_end(now);
        let mut members = MemberTracker {
            timing,
            roster: Roster::default(),
            peers: BTreeMap::new(),
            earlier_end,
        };
        for entry in roster.routers.iter() {
            let peer = members.peer(now, entry.id, entry.addr, entry.domain.clone());
            peer.acked = entry.acked;
            peer.damping.observe(now, entry.state != RouterState::Missing);
        }
        members.roster = roster;
        members
    }

    /// The committed roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Takes a newly committed roster.
    pub fn on_committed(&mut self, roster: Roster) {
        if roster.epoch > self.roster.epoch {
            self.roster = roster;
        }
    }

    /// Takes the first frame of a feed: the process `router` runs on `host`.
    ///
    /// An older process of the same host and address is dead, for a process keeps its address until it ends.
    pub fn register(
        &mut self,
        now: Time,
        router: RouterId,
        host: HostName,
        addr: SocketAddr,
        domain: Domain,
    ) {
        let older = |it: (&RouterId, &Peer)| *it.0 < router && it.1.addr == addr;
        let dead: SmallVec<[RouterId; 2]> =
            self.peers.iter().filter(|it| older(*it)).map(|it| *it.0).collect();
        for id in dead {
            self.mark_dead(id);
        }
        self.peer(now, router, addr, domain).host = Some(host);
    }

    /// Takes the news that a router process is dead: its connections to endpoints are gone with it.
    pub fn mark_dead(&mut self, router: RouterId) {
        if let Some(peer) = self.peers.get_mut(&router) {
            peer.dead = true;
        }
    }

    /// Takes the platform's list of hosts, which may lag: a hint that only counts for routers that are not heard.
    pub fn update_hosts(&mut self, now: Time, hosts: &BTreeSet<HostName>) {
        for peer in self.peers.values_mut() {
            let listed = peer.host.as_ref().is_none_or(|it| hosts.contains(it));
            peer.absent = if listed { None } else { peer.absent.or(Some(now)) };
        }
    }

    /// Answers a heartbeat; none if it is an old one or its sender never said hello.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        router: RouterId,
        beat: Heartbeat,
    ) -> Option<HeartbeatReply> {
        let peer = self.peers.get_mut(&router)?;
        if beat.seq <= peer.seq || peer.dead {
            return None;
        }
        match beat.seq == peer.seq + 1 {
            true => peer.proved = peer.answers[0].or(peer.proved),
            false => peer.answers = [None; 2],
        }
        peer.answers = [peer.answers[1], Some(now)];
        peer.seq = beat.seq;
        peer.heard = now;
        peer.acked = beat.epoch;
        peer.leaving |= beat.leaving;
        peer.busy = beat.busy;
        peer.residual_work = beat.residual_work;
        let proved = self.proved(now, router);
        let peer = self.peers.get_mut(&router)?;
        peer.damping.observe(now, proved);
        Some(self.reply(now, router))
    }

    /// Returns the roster to commit, if the committed one no longer fits; asks again until one is committed.
    pub fn tick(&mut self, now: Time) -> Option<Roster> {
        for id in self.peers.keys().copied().collect::<SmallVec<[RouterId; 8]>>() {
            let proved = self.proved(now, id);
            if let Some(peer) = self.peers.get_mut(&id).filter(|_| !proved) {
                peer.damping.observe(now, false);
            }
        }
        let next = self.roster.epoch.next();
        let entry = |it: (&RouterId, &Peer)| self.entry(now, next, *it.0, it.1);
        let routers: Vec<RouterEntry> = self.peers.iter().filter_map(entry).collect();
        self.forget(now);
        let same = |a: &RouterEntry, b: &RouterEntry| {
            a.id == b.id && a.state == b.state && a.addr == b.addr
        };
        let old = &self.roster.routers;
        let unchanged =
            old.len() == routers.len() && old.iter().zip(&routers).all(|(a, b)| same(a, b));
        (!unchanged).then(|| Roster { epoch: next, routers: routers.into() })
    }

    fn peer(&mut self, now: Time, router: RouterId, addr: SocketAddr, domain: Domain) -> &mut Peer {
        let lease_end = self.earlier_end;
        self.peers.entry(router).or_insert_with(|| Peer {
            addr,
            domain,
            host: None,
            seq: 0,
            answers: [None; 2],
            proved: None,
            heard: now,
            acked: Epoch(0),
            lease_end,
            leaving: false,
            busy: true,
            residual_work: SmallVec::new(),
            damping: FlapDamping::default(),
            absent: None,
            dead: false,
        })
    }

    /// Whether the last answered heartbeat of a router was surely sent within the time that it may be silent.
    fn proved(&self, now: Time, router: RouterId) -> bool {
        let recent = |it: Time| now.since(it) < self.timing.silence();
        self.peers.get(&router).is_some_and(|it| !it.dead && it.proved.is_some_and(recent))
    }

    /// A lease is granted only to a router with the committed roster, and only while every router that is not
    /// missing is surely heard: whoever may use its fixed shares is missing in the roster of every lease holder.
    fn reply(&mut self, now: Time, router: RouterId) -> HeartbeatReply {
        let serves = |it: &RouterEntry| it.state != RouterState::Missing;
        let heard = |it: &RouterEntry| !serves(it) || self.in_reach(now, it.id);
        let all = self.roster.routers.iter().all(heard);
        let listed = self.roster.get(router).is_some_and(serves);
        let settled_epoch = self.settled_epoch(now);
        let residual_work =
            if settled_epoch > Epoch(0) { self.residual_work_for(router) } else { SmallVec::new() };
        let timing = self.timing;
        let epoch = self.roster.epoch;
        let mut reply = HeartbeatReply { seq: 0, lease_ms: 0, settled_epoch, residual_work };
        let Some(peer) = self.peers.get_mut(&router) else { return reply };
        reply.seq = peer.seq;
        if all && listed && peer.acked == epoch {
            reply.lease_ms = timing.lease_ms();
            peer.lease_end = timing.certain_end(now);
        }
        reply
    }

    /// Whether a router's lease, as it counts itself, cannot have run out by now.
    fn in_reach(&self, now: Time, router: RouterId) -> bool {
        let proved = self.peers.get(&router).and_then(|it| it.proved);
        proved.is_some_and(|it| now < self.timing.holder_end(it))
    }

    /// The committed roster if all routers but the missing ones have it, all leases by older ones have ended, and
    /// every living router was heard by this leader, so that what it holds is known.
    fn settled_epoch(&self, now: Time) -> Epoch {
        let epoch = self.roster.epoch;
        let has = |id: RouterId, peer: &Peer| {
            let entry = self.roster.get(id);
            let serves = entry.is_some_and(|it| it.state != RouterState::Missing);
            let ended = !serves && now >= peer.lease_end;
            match peer.seq > 0 {
                true => peer.acked == epoch || ended,
                false => peer.dead && ended,
            }
        };
        match self.peers.iter().all(|(id, peer)| has(*id, peer)) {
            true => epoch,
            false => Epoch(0),
        }
    }

    fn residual_work_for(&self, router: RouterId) -> SmallVec<[(EndpointId, Work); 4]> {
        let mut sums: BTreeMap<EndpointId, Work> = BTreeMap::new();
        for (_, peer) in self.peers.iter().filter(|it| *it.0 != router && !it.1.dead) {
            for (endpoint, work) in &peer.residual_work {
                *sums.entry(*endpoint).or_default() += *work;
            }
        }
        let owned = |it: &(EndpointId, Work)| holders(&self.roster, it.0).first() == Some(&router);
        sums.into_iter().filter(owned).collect()
    }

    /// The entry of a router in the next roster; none if it is out.
    fn entry(&self, now: Time, next: Epoch, id: RouterId, peer: &Peer) -> Option<RouterEntry> {
        let old = self.roster.get(id);
        let state = self.next_state(now, id, peer, old)?;
        let lost = match old.filter(|it| it.state == RouterState::Missing) {
            Some(old) => old.lost,
            None => next,
        };
        let acked = peer.acked.max(old.map(|it| it.acked).unwrap_or_default());
        Some(RouterEntry { id, addr: peer.addr, domain: peer.domain.clone(), state, acked, lost })
    }

    fn next_state(
        &self,
        now: Time,
        id: RouterId,
        peer: &Peer,
        old: Option<&RouterEntry>,
    ) -> Option<RouterState> {
        let proved = self.proved(now, id);
        let silent = now.since(peer.heard) >= self.timing.silence() || peer.dead;
        match old.map(|it| it.state) {
            None if proved && !peer.leaving => Some(RouterState::Live),
            None => None,
            Some(RouterState::Missing) if self.holds_nothing(now, peer) => None,
            Some(RouterState::Missing) if !proved || !peer.damping.is_stable(now) => {
                Some(RouterState::Missing)
            }
            Some(RouterState::Missing) if peer.leaving => Some(RouterState::Leaving),
            Some(RouterState::Missing) => Some(RouterState::Live),
            Some(_) if !proved && (silent || peer.proved.is_some()) => Some(RouterState::Missing),
            Some(RouterState::Leaving) if self.drained(peer) => None,
            Some(_) if peer.leaving => Some(RouterState::Leaving),
            Some(_) => Some(RouterState::Live),
        }
    }

    /// A missing router whose process is dead, or whose host has been off the platform's list for long.
    fn holds_nothing(&self, now: Time, peer: &Peer) -> bool {
        let gone = |it: Time| now.since(it) >= HOST_GONE;
        now >= peer.lease_end && (peer.dead || peer.absent.is_some_and(gone))
    }

    /// A leaving router that has the roster by which it leaves and runs nothing.
    fn drained(&self, peer: &Peer) -> bool {
        peer.acked == self.roster.epoch && !peer.busy && peer.residual_work.is_empty()
    }

    /// Forgets routers that are out of the roster, silent, and hold no lease.
    fn forget(&mut self, now: Time) {
        let (roster, silence) = (&self.roster, self.timing.silence());
        self.peers.retain(|id, peer| {
            roster.get(*id).is_some()
                || now < peer.lease_end
                || (!peer.dead && now.since(peer.heard) < 2 * silence)
        });
    }
}
