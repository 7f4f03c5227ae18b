//! What a router knows of the fleet, and what it may start on each endpoint as a result.

use {
    crate::{Lease, LeasePhase, LeaseTiming, Owners},
    model::{Config, EndpointId, Epoch, Roster, RouterEntry, RouterId, RouterState, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// The whole load bound of an endpoint, in thousandths.
const FULL_BOUND: u32 = 1000;

/// What this router may start on an endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Permission {
    /// Nothing: the router does not own the endpoint and cannot use a standby share at present.
    None,
    /// Nothing yet: the router owns the endpoint, but another router may still be starting work
    /// there.
    Wait,
    /// The whole load bound, minus the shares reserved for missing routers.
    Full {
        /// The instant since which no other router has had this permission.
        since: Time,
        /// Whether the residual work of all other routers is known. If not, a load report taken
        /// after `since` is needed first.
        handover_known: bool,
        /// The part of the bound that is reserved for missing routers, in thousandths.
        reserved: u32,
        /// Whether a single request may exceed the bound on the idle endpoint.
        allow_oversized: bool,
    },
    /// A fixed share of the bound, usable once the endpoint has reported room for it.
    ///
    /// Requests that started before this router went missing may still fill the endpoint. A load
    /// report taken after `since` therefore has to show room for this share and for the shares of
    /// all holders that precede it; from then on no other router uses that room.
    FixedShare {
        /// The instant since which all other routers have reserved the share.
        since: Time,
        /// The share, in thousandths of the bound.
        share: u32,
        /// The sum of this share and all shares that precede it, in thousandths of the bound.
        cumulative: u32,
        /// Whether a single request may exceed the share.
        allow_oversized: bool,
    },
}

/// A roster and the owners computed from it.
#[derive(Clone, Debug)]
struct KnownRoster {
    roster: Roster,
    owners: Owners,
    /// Whether this router has acted by this roster. An older roster that arrived late is only kept
    /// for reference.
    adopted: bool,
}

/// A period during which this router has owned an endpoint without interruption.
#[derive(Clone, Debug)]
struct Tenure {
    /// The epoch of its first roster.
    epoch: Epoch,
    /// When that roster arrived.
    arrived: Time,
    /// When it became known that no router acts by an older roster.
    settled_at: Option<Time>,
    handover_known: bool,
    reserved: u32,
    allow_oversized: bool,
}

/// The lease of this router, the relevant rosters, and the resulting permissions.
#[derive(Clone, Debug)]
pub struct MembershipView {
    id: Option<RouterId>,
    timing: LeaseTiming,
    lease: Lease,
    /// Sorted by epoch; the last entry with `adopted` set is in force.
    known: Vec<KnownRoster>,
    current: Epoch,
    /// The sequence number of the unanswered heartbeat and the epoch that it acknowledged.
    last_heartbeat: (u64, Epoch),
    /// The epoch that the last answered heartbeat acknowledged.
    acked: Epoch,
    /// No router acts by a roster older than this epoch, except for missing routers.
    settled_epoch: Epoch,
    tenures: BTreeMap<EndpointId, Tenure>,
}

impl MembershipView {
    /// Creates the view of a router that has not heard from the leader.
    pub fn new(timing: LeaseTiming) -> MembershipView {
        MembershipView {
            id: None,
            timing,
            lease: Lease::new(timing),
            known: Vec::new(),
            current: Epoch(0),
            last_heartbeat: (0, Epoch(0)),
            acked: Epoch(0),
            settled_epoch: Epoch(0),
            tenures: BTreeMap::new(),
        }
    }

    /// Sets the id of this router.
    pub fn set_id(&mut self, id: RouterId) {
        self.id = Some(id);
    }

    /// Returns the id of this router, if it has been assigned.
    pub fn id(&self) -> Option<RouterId> {
        self.id
    }

    /// Returns the epoch of the roster in force.
    pub fn epoch(&self) -> Epoch {
        self.current
    }

    /// Returns the owners according to the roster in force.
    pub fn owners(&self) -> Option<&Owners> {
        self.known_roster(self.current).map(|it| &it.owners)
    }

    /// Returns the roster in force.
    pub fn roster(&self) -> Option<&Roster> {
        self.known_roster(self.current).map(|it| &it.roster)
    }

    /// Returns the newest epoch that all routers have reached, except for missing routers.
    pub fn settled_epoch(&self) -> Epoch {
        self.settled_epoch
    }

    /// Returns the lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the sequence number of the heartbeat to send now and the epoch that it acknowledges,
    /// or `None` while a reply is outstanding.
    pub fn next_heartbeat(&mut self, now: Time) -> Option<(u64, Epoch)> {
        let seq = self.lease.next_heartbeat(now)?;
        self.last_heartbeat = (seq, self.current);
        Some(self.last_heartbeat)
    }

    /// Abandons the unanswered heartbeat after the connection to the leader was lost.
    pub fn on_disconnect(&mut self) {
        self.lease.on_disconnect();
    }

    /// Handles the reply to a heartbeat. Returns false if it is not the expected one.
    pub fn on_heartbeat_reply(
        &mut self,
        now: Time,
        seq: u64,
        lease_ms: u32,
        settled_epoch: Epoch,
    ) -> bool {
        let was_expired = !self.lease.is_valid(now);
        if self.last_heartbeat.0 != seq || !self.lease.on_reply(seq, lease_ms) {
            return false;
        }
        self.acked = self.last_heartbeat.1;
        if was_expired && self.lease.is_valid(now) {
            self.restart_tenures(now);
        }
        if settled_epoch > self.settled_epoch {
            self.settled_epoch = settled_epoch;
            self.settle_tenures(now);
        }
        self.prune_rosters();
        true
    }

    /// Handles a roster. A newer one comes into force; an older one is kept to determine what
    /// missing routers may do under it.
    pub fn update_roster(&mut self, now: Time, roster: &Roster, config: &Config) {
        let adopted = roster.epoch > self.current;
        let at = self.known.partition_point(|it| it.roster.epoch < roster.epoch);
        if self.known.get(at).is_none_or(|it| it.roster.epoch != roster.epoch) {
            let owners = Owners::compute(roster, config);
            self.known.insert(at, KnownRoster { roster: roster.clone(), owners, adopted });
        }
        if adopted {
            let consecutive = self.current.next() == roster.epoch;
            self.current = roster.epoch;
            self.update_tenures(now, consecutive);
        }
        self.update_reservations();
        self.prune_rosters();
    }

    /// Handles a new configuration.
    pub fn update_config(&mut self, now: Time, config: &Config) {
        for known in &mut self.known {
            known.owners = Owners::compute(&known.roster, config);
        }
        self.update_tenures(now, true);
        self.update_reservations();
    }

    /// Returns what this router may start on the endpoint now.
    pub fn permission(&self, now: Time, endpoint: EndpointId) -> Permission {
        match self.lease.phase(now) {
            LeasePhase::Valid => self.owner_permission(now, endpoint),
            LeasePhase::Expired if self.tenures.contains_key(&endpoint) => Permission::Wait,
            LeasePhase::Expired => Permission::None,
            LeasePhase::FixedShare(since) => self.share_permission(since, endpoint),
        }
    }

    /// Returns the endpoints whose load this router needs to know: those that it owns and, without
    /// a lease, also those for which it is a standby.
    pub fn monitored_endpoints(&self, now: Time) -> Vec<EndpointId> {
        let (Some(owners), Some(me)) = (self.owners(), self.id) else { return Vec::new() };
        match self.lease.is_valid(now) {
            true => owners.owned(me).collect(),
            false => owners.owned_or_standby(me).collect(),
        }
    }

    fn known_roster(&self, epoch: Epoch) -> Option<&KnownRoster> {
        let at = self.known.binary_search_by_key(&epoch, |it| it.roster.epoch).ok()?;
        Some(&self.known[at])
    }

    fn owner_permission(&self, now: Time, endpoint: EndpointId) -> Permission {
        let Some(tenure) = self.tenures.get(&endpoint) else { return Permission::None };
        let handover_end = self.timing.latest_expiry(tenure.arrived);
        let since = tenure.settled_at.unwrap_or(handover_end).min(handover_end);
        if now < since {
            return Permission::Wait;
        }
        let (reserved, allow_oversized) = (tenure.reserved, tenure.allow_oversized);
        Permission::Full { since, handover_known: tenure.handover_known, reserved, allow_oversized }
    }

    /// Returns the smallest share under any roster that another router may act by at the same time
    /// as this one.
    ///
    /// A roster divides what remains after the shares reserved for the routers that are missing in
    /// it.
    fn share_permission(&self, since: Time, endpoint: EndpointId) -> Permission {
        let Some(me) = self.id else { return Permission::None };
        let oldest = self.settled_epoch.min(self.acked);
        let mut combined = None;
        for known in self.known.iter().filter(|it| it.adopted && it.roster.epoch >= oldest) {
            let Some(rank) = known.owners.rank(endpoint, me) else { return Permission::None };
            let (reserved, may_exceed) = self.reserved_in(&known.roster, endpoint);
            let unreserved = FULL_BOUND.saturating_sub(reserved);
            let holders = known.owners.holders(endpoint).len();
            let share = unreserved / share_divisor(rank, holders);
            let cumulative =
                reserved + (unreserved * cumulative_share(rank, holders)).div_ceil(FULL_BOUND);
            let (min_share, max_cumulative, allow_oversized) =
                combined.unwrap_or((FULL_BOUND, 0, true));
            combined = Some((
                share.min(min_share),
                cumulative.max(max_cumulative),
                allow_oversized && rank == 0 && !may_exceed,
            ));
        }
        match combined {
            None => Permission::None,
            Some((share, cumulative, allow_oversized)) => {
                Permission::FixedShare { since, share, cumulative, allow_oversized }
            }
        }
    }

    /// Starts and ends tenures after a change of the roster or the configuration.
    fn update_tenures(&mut self, now: Time, consecutive: bool) {
        let Some(me) = self.id else { return };
        let Some(known) = self.known_roster(self.current) else { return };
        let owned: Vec<_> = known.owners.owned(me).collect();
        let previous = std::mem::take(&mut self.tenures);
        let new_tenure = || Tenure {
            epoch: self.current,
            arrived: now,
            settled_at: None,
            handover_known: false,
            reserved: 0,
            allow_oversized: false,
        };
        let kept = |id| previous.get(id).filter(|_| consecutive).cloned();
        self.tenures = owned.iter().map(|id| (*id, kept(id).unwrap_or_else(new_tenure))).collect();
        self.settle_tenures(now);
    }

    /// Restarts all tenures after a period without a lease, in which other routers may have used
    /// their fixed shares.
    fn restart_tenures(&mut self, now: Time) {
        self.settled_epoch = Epoch(0);
        for tenure in self.tenures.values_mut() {
            tenure.epoch = self.current;
            tenure.arrived = now;
            tenure.settled_at = None;
            tenure.handover_known = false;
        }
        self.update_reservations();
    }

    /// Marks the tenures that are covered by the newest settled epoch.
    fn settle_tenures(&mut self, now: Time) {
        let handover_known = |epoch: Epoch| {
            let mut before = self.known.iter().filter(|it| it.roster.epoch.next() >= epoch);
            let seen = epoch <= Epoch(1) || self.known_roster(Epoch(epoch.0 - 1)).is_some();
            seen && before.all(|it| missing_routers(&it.roster).next().is_none())
        };
        let due = |it: &&Tenure| it.settled_at.is_none() && it.epoch <= self.settled_epoch;
        let epochs: SmallVec<[Epoch; 4]> =
            self.tenures.values().filter(due).map(|it| it.epoch).collect();
        let handovers: SmallVec<[(Epoch, bool); 4]> =
            epochs.iter().map(|it| (*it, handover_known(*it))).collect();
        for tenure in self.tenures.values_mut().filter(|it| it.settled_at.is_none()) {
            let Some((_, handover_known)) = handovers.iter().find(|it| it.0 == tenure.epoch) else {
                continue;
            };
            tenure.settled_at = Some(now);
            tenure.handover_known = *handover_known;
        }
        self.update_reservations();
    }

    /// Computes the part of each owned endpoint that is reserved for missing routers.
    ///
    /// Until the roster in force has settled, the reservations of older rosters count as well.
    fn update_reservations(&mut self) {
        let oldest = self.settled_epoch.min(self.current);
        let mut tenures = std::mem::take(&mut self.tenures);
        for (endpoint, tenure) in &mut tenures {
            (tenure.reserved, tenure.allow_oversized) = (0, true);
            for known in self.known.iter().filter(|it| it.roster.epoch >= oldest) {
                let (reserved, may_exceed) = self.reserved_in(&known.roster, *endpoint);
                tenure.reserved = tenure.reserved.max(reserved);
                tenure.allow_oversized &= !may_exceed;
            }
        }
        self.tenures = tenures;
    }

    /// Returns what the missing routers of a roster may use, in thousandths of the bound, and
    /// whether one of them may exceed it.
    fn reserved_in(&self, roster: &Roster, endpoint: EndpointId) -> (u32, bool) {
        let (mut sum, mut may_exceed) = (0, false);
        for entry in missing_routers(roster).filter(|it| Some(it.id) != self.id) {
            let (share, owner) = self.reserved_for(entry, endpoint);
            sum += share;
            may_exceed |= owner;
        }
        (sum, may_exceed)
    }

    /// Returns the largest share that a missing router may use, in thousandths of the bound, and
    /// whether it may exceed it.
    ///
    /// The router acts by one of the rosters between the last one that it is known to have
    /// acknowledged and the last one before it went missing. If one of those is not known here, the
    /// whole bound is reserved.
    fn reserved_for(&self, entry: &RouterEntry, endpoint: EndpointId) -> (u32, bool) {
        let (mut share, mut owner) = (0, false);
        for epoch in entry.acked.0.max(1)..entry.lost.0 {
            let Some(known) = self.known_roster(Epoch(epoch)) else { return (FULL_BOUND, true) };
            let Some(rank) = known.owners.rank(endpoint, entry.id) else { continue };
            let parts = share_divisor(rank, known.owners.holders(endpoint).len());
            share = share.max(FULL_BOUND.div_ceil(parts));
            owner |= rank == 0;
        }
        (share, owner)
    }

    /// Drops rosters that are no longer needed.
    fn prune_rosters(&mut self) {
        let low = self.settled_epoch.min(self.current).min(self.acked);
        let mut needed: Vec<(Epoch, Epoch)> =
            vec![(Epoch(low.0.saturating_sub(1)), Epoch(u64::MAX))];
        for known in self.known.iter().filter(|it| it.roster.epoch >= low) {
            needed.extend(missing_routers(&known.roster).map(|it| (it.acked, it.lost)));
        }
        let needs = |epoch: Epoch| needed.iter().any(|it| it.0 <= epoch && epoch <= it.1);
        self.known.retain(|it| needs(it.roster.epoch));
    }
}

/// Returns the routers that are missing in a roster.
fn missing_routers(roster: &Roster) -> impl Iterator<Item = &RouterEntry> {
    roster.routers.iter().filter(|it| it.state == RouterState::Missing)
}

/// Returns the divisor of the bound for the holder of this rank: the owner gets one half, and the
/// standbys divide the other half.
fn share_divisor(rank: usize, holders: usize) -> u32 {
    match (rank, holders) {
        (_, 0..=1) => 1,
        (0, _) => 2,
        (_, count) => 2 * (count as u32 - 1),
    }
}

/// Returns the sum of the shares up to and including that of this rank, in thousandths of the
/// bound, rounded up.
fn cumulative_share(rank: usize, holders: usize) -> u32 {
    match (rank, holders) {
        (_, 0..=1) => FULL_BOUND,
        (rank, count) => 500 + (500 * rank as u32).div_ceil(count as u32 - 1),
    }
}
