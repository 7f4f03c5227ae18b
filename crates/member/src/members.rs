//! Membership as the control leader tracks it: which routers are heard, which are missing, and what
//! the next roster is.

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

/// A missing router is removed after its host has been absent from the platform's host list for
/// this long, in microseconds.
const HOST_ABSENCE_TIMEOUT: u64 = 60 * model::SECOND;

/// The content of a heartbeat.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Heartbeat {
    /// The sequence number of the heartbeat.
    pub seq: u64,
    /// The epoch of the roster in force at the router.
    pub epoch: Epoch,
    /// Whether the router is shutting down.
    pub leaving: bool,
    /// Whether the router still runs any request. A leaving router that runs none can be removed.
    pub busy: bool,
    /// The work that it still runs on endpoints that it does not own.
    pub residual_work: SmallVec<[(EndpointId, Work); 4]>,
}

/// The reply to a heartbeat.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct HeartbeatReply {
    /// The sequence number of the heartbeat.
    pub seq: u64,
    /// The duration of the lease, in milliseconds from when the heartbeat was sent; zero if the
    /// lease is not renewed.
    pub lease_ms: u32,
    /// The epoch for which no router acts by an older roster, except for missing routers, and the
    /// residual work of all other routers is known; zero if there is none.
    pub settled_epoch: Epoch,
    /// If `settled_epoch` is set, the work that other routers still run on endpoints that this
    /// router owns.
    pub residual_work: SmallVec<[(EndpointId, Work); 4]>,
}

/// The known state of a router process.
#[derive(Clone, Debug)]
struct Peer {
    addr: SocketAddr,
    domain: Domain,
    host: Option<HostName>,
    seq: u64,
    /// When the last two consecutive heartbeats were answered, the older first.
    reply_times: [Option<Time>; 2],
    /// A lower bound, on the clock of this process, of when the last heartbeat that got its reply
    /// was sent.
    last_confirmed: Option<Time>,
    last_heard: Time,
    acked: Epoch,
    /// When its last lease has expired on every clock.
    lease_end: Time,
    leaving: bool,
    busy: bool,
    residual_work: SmallVec<[(EndpointId, Work); 4]>,
    damping: FlapDamping,
    /// The instant since which its host has been absent from the platform's host list.
    unlisted_since: Option<Time>,
    /// Whether its process is known to be dead.
    dead: bool,
}

/// The routers as the control leader knows them. This state is lost when the leader changes.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    timing: LeaseTiming,
    roster: Roster,
    peers: BTreeMap<RouterId, Peer>,
    /// When the leases granted by all previous leaders have expired on every clock.
    previous_leases_end: Time,
}

impl MemberTracker {
    /// Creates the state of a new leader, which knows the committed roster and has not heard any
    /// router.
    pub fn new(now: Time, roster: Roster, timing: LeaseTiming) -> MemberTracker {
        let previous_leases_end = timing.latest_expiry(now);
        let mut tracker = MemberTracker {
            timing,
            roster: Roster::default(),
            peers: BTreeMap::new(),
            previous_leases_end,
        };
        for entry in roster.routers.iter() {
            let peer = tracker.peer_or_insert(now, entry.id, entry.addr, entry.domain.clone());
            peer.acked = entry.acked;
            peer.damping.observe(now, entry.state != RouterState::Missing);
        }
        tracker.roster = roster;
        tracker
    }

    /// Returns the committed roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Handles a newly committed roster.
    pub fn on_committed(&mut self, roster: Roster) {
        if roster.epoch > self.roster.epoch {
            self.roster = roster;
        }
    }

    /// Handles the first message of a feed: the process `router` runs on `host`.
    ///
    /// An older process with the same address must be dead, because a process keeps its address
    /// until it exits.
    pub fn register(
        &mut self,
        now: Time,
        router: RouterId,
        host: HostName,
        addr: SocketAddr,
        domain: Domain,
    ) {
        let is_predecessor = |it: (&RouterId, &Peer)| *it.0 < router && it.1.addr == addr;
        let dead: SmallVec<[RouterId; 2]> =
            self.peers.iter().filter(|it| is_predecessor(*it)).map(|it| *it.0).collect();
        for id in dead {
            self.mark_dead(id);
        }
        self.peer_or_insert(now, router, addr, domain).host = Some(host);
    }

    /// Records that a router process is dead, and with it its connections to endpoints.
    pub fn mark_dead(&mut self, router: RouterId) {
        if let Some(peer) = self.peers.get_mut(&router) {
            peer.dead = true;
        }
    }

    /// Handles the platform's host list. The list may lag, so it counts only for routers that are
    /// not heard.
    pub fn update_hosts(&mut self, now: Time, hosts: &BTreeSet<HostName>) {
        for peer in self.peers.values_mut() {
            let listed = peer.host.as_ref().is_none_or(|it| hosts.contains(it));
            peer.unlisted_since = if listed { None } else { peer.unlisted_since.or(Some(now)) };
        }
    }

    /// Handles a heartbeat. Returns `None` if it is outdated or its sender is not registered.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        router: RouterId,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatReply> {
        let peer = self.peers.get_mut(&router)?;
        if heartbeat.seq <= peer.seq || peer.dead {
            return None;
        }
        match heartbeat.seq == peer.seq + 1 {
            true => peer.last_confirmed = peer.reply_times[0].or(peer.last_confirmed),
            false => peer.reply_times = [None; 2],
        }
        peer.reply_times = [peer.reply_times[1], Some(now)];
        peer.seq = heartbeat.seq;
        peer.last_heard = now;
        peer.acked = heartbeat.epoch;
        peer.leaving |= heartbeat.leaving;
        peer.busy = heartbeat.busy;
        peer.residual_work = heartbeat.residual_work;
        let confirmed = self.is_confirmed(now, router);
        let peer = self.peers.get_mut(&router)?;
        peer.damping.observe(now, confirmed);
        Some(self.heartbeat_reply(now, router))
    }

    /// Returns the roster to commit if the committed one is outdated. It is returned on every call
    /// until a roster is committed.
    pub fn tick(&mut self, now: Time) -> Option<Roster> {
        for id in self.peers.keys().copied().collect::<SmallVec<[RouterId; 8]>>() {
            let confirmed = self.is_confirmed(now, id);
            if let Some(peer) = self.peers.get_mut(&id).filter(|_| !confirmed) {
                peer.damping.observe(now, false);
            }
        }
        let next = self.roster.epoch.next();
        let entry = |it: (&RouterId, &Peer)| self.next_entry(now, next, *it.0, it.1);
        let routers: Vec<RouterEntry> = self.peers.iter().filter_map(entry).collect();
        self.forget_stale(now);
        let same = |a: &RouterEntry, b: &RouterEntry| {
            a.id == b.id && a.state == b.state && a.addr == b.addr
        };
        let old = &self.roster.routers;
        let unchanged =
            old.len() == routers.len() && old.iter().zip(&routers).all(|(a, b)| same(a, b));
        (!unchanged).then(|| Roster { epoch: next, routers: routers.into() })
    }

    fn peer_or_insert(
        &mut self,
        now: Time,
        router: RouterId,
        addr: SocketAddr,
        domain: Domain,
    ) -> &mut Peer {
        let lease_end = self.previous_leases_end;
        self.peers.entry(router).or_insert_with(|| Peer {
            addr,
            domain,
            host: None,
            seq: 0,
            reply_times: [None; 2],
            last_confirmed: None,
            last_heard: now,
            acked: Epoch(0),
            lease_end,
            leaving: false,
            busy: true,
            residual_work: SmallVec::new(),
            damping: FlapDamping::default(),
            unlisted_since: None,
            dead: false,
        })
    }

    /// Whether the last answered heartbeat of a router was certainly sent within the silence limit.
    fn is_confirmed(&self, now: Time, router: RouterId) -> bool {
        let recent = |it: Time| now.since(it) < self.timing.silence_limit();
        self.peers.get(&router).is_some_and(|it| !it.dead && it.last_confirmed.is_some_and(recent))
    }

    /// Creates the reply to a heartbeat.
    ///
    /// A lease is granted only to a router with the committed roster, and only while every router
    /// that is not missing certainly has a valid lease. A router that may use its fixed shares is
    /// therefore missing in the roster of every lease holder.
    fn heartbeat_reply(&mut self, now: Time, router: RouterId) -> HeartbeatReply {
        let serves = |it: &RouterEntry| it.state != RouterState::Missing;
        let heard = |it: &RouterEntry| !serves(it) || self.has_valid_lease(now, it.id);
        let all_heard = self.roster.routers.iter().all(heard);
        let listed = self.roster.get(router).is_some_and(serves);
        let settled_epoch = self.settled_epoch(now);
        let residual_work =
            if settled_epoch > Epoch(0) { self.residual_work_for(router) } else { SmallVec::new() };
        let timing = self.timing;
        let epoch = self.roster.epoch;
        let mut reply = HeartbeatReply { seq: 0, lease_ms: 0, settled_epoch, residual_work };
        let Some(peer) = self.peers.get_mut(&router) else { return reply };
        reply.seq = peer.seq;
        if all_heard && listed && peer.acked == epoch {
            reply.lease_ms = timing.lease_ms();
            peer.lease_end = timing.latest_expiry(now);
        }
        reply
    }

    /// Whether the lease of a router, measured by its own clock, cannot have expired yet.
    fn has_valid_lease(&self, now: Time, router: RouterId) -> bool {
        let confirmed = self.peers.get(&router).and_then(|it| it.last_confirmed);
        confirmed.is_some_and(|it| now < self.timing.holder_expiry(it))
    }

    /// Returns the epoch of the committed roster if all routers except missing ones have it, all
    /// leases under older rosters have expired, and this leader has heard every live router, so
    /// that the residual work of each is known; otherwise zero.
    fn settled_epoch(&self, now: Time) -> Epoch {
        let epoch = self.roster.epoch;
        let is_settled = |id: RouterId, peer: &Peer| {
            let entry = self.roster.get(id);
            let serves = entry.is_some_and(|it| it.state != RouterState::Missing);
            let ended = !serves && now >= peer.lease_end;
            match peer.seq > 0 {
                true => peer.acked == epoch || ended,
                false => peer.dead && ended,
            }
        };
        match self.peers.iter().all(|(id, peer)| is_settled(*id, peer)) {
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

    /// Returns the entry of a router in the next roster, or `None` if it is not in it.
    fn next_entry(&self, now: Time, next: Epoch, id: RouterId, peer: &Peer) -> Option<RouterEntry> {
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
        let confirmed = self.is_confirmed(now, id);
        let silent = now.since(peer.last_heard) >= self.timing.silence_limit() || peer.dead;
        match old.map(|it| it.state) {
            None if confirmed && !peer.leaving => Some(RouterState::Live),
            None => None,
            Some(RouterState::Missing) if self.can_be_removed(now, peer) => None,
            Some(RouterState::Missing) if !confirmed || !peer.damping.is_stable(now) => {
                Some(RouterState::Missing)
            }
            Some(RouterState::Missing) if peer.leaving => Some(RouterState::Leaving),
            Some(RouterState::Missing) => Some(RouterState::Live),
            Some(_) if !confirmed && (silent || peer.last_confirmed.is_some()) => {
                Some(RouterState::Missing)
            }
            Some(RouterState::Leaving) if self.is_drained(peer) => None,
            Some(_) if peer.leaving => Some(RouterState::Leaving),
            Some(_) => Some(RouterState::Live),
        }
    }

    /// Whether a missing router is certain to run nothing, because its process is dead or its host
    /// has been absent from the platform's host list for long enough.
    fn can_be_removed(&self, now: Time, peer: &Peer) -> bool {
        let expired = |it: Time| now.since(it) >= HOST_ABSENCE_TIMEOUT;
        now >= peer.lease_end && (peer.dead || peer.unlisted_since.is_some_and(expired))
    }

    /// Whether a leaving router has the roster that marks it as leaving and runs nothing.
    fn is_drained(&self, peer: &Peer) -> bool {
        peer.acked == self.roster.epoch && !peer.busy && peer.residual_work.is_empty()
    }

    /// Removes routers that are not in the roster, are silent and hold no lease.
    fn forget_stale(&mut self, now: Time) {
        let (roster, silence_limit) = (&self.roster, self.timing.silence_limit());
        self.peers.retain(|id, peer| {
            roster.get(*id).is_some()
                || now < peer.lease_end
                || (!peer.dead && now.since(peer.last_heard) < 2 * silence_limit)
        });
    }
}
