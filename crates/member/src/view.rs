//! What one router knows of the fleet, and which rights on endpoints follow from it.

use {
    crate::{Lease, LeasePhase, LeaseTiming, Owners},
    model::{Config, EndpointId, Epoch, Roster, RouterEntry, RouterId, RouterState, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// The whole bound, in thousandths.
const WHOLE: u32 = 1000;

/// What this router may start on an endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Permission {
    /// Nothing: it neither owns the endpoint nor stands by for it in a way that counts now.
    None,
    /// Nothing yet: it owns the endpoint, but another router may still be starting work there.
    Wait,
    /// The whole bound less the shares of missing routers.
    Full {
        /// Since when nobody else has had this right.
        since: Time,
        /// Whether the hand-over of all others is known; if not, a load report taken after `since` is needed first.
        handover_known: bool,
        /// What is left to missing routers, in thousandths of the bound.
        reserved: u32,
        /// Whether a single request may exceed the bound on the idle endpoint.
        allow_oversized: bool,
    },
    /// A fixed share of the bound, once the endpoint was seen with room for it.
    ///
    /// What ran before this router went missing may still fill the endpoint. So a load report taken after `since` has
    /// to show room for this share and for those of all holders before it; from then on nobody takes that room.
    FixedShare {
        /// Since when all others leave room for it.
        since: Time,
        /// The share, in thousandths of the bound.
        share: u32,
        /// The sum of this share and of all that come before it, in thousandths of the bound.
        cumulative: u32,
        /// Whether a single request may exceed the share.
        allow_oversized: bool,
    },
}

/// A roster and what follows from it.
#[derive(Clone, Debug)]
struct Known {
    roster: Roster,
    owners: Owners,
    /// Whether this router acted by it, rather than only learned of it.
    forced: bool,
}

/// The unbroken time for which this router has owned an endpoint.
#[derive(Clone, Debug)]
struct Tenure {
    /// The first roster of it.
    epoch: Epoch,
    /// When that roster arrived.
    arrived: Time,
    /// When it was known that no older roster was in use.
    settled: Option<Time>,
    handover_known: bool,
    reserved: u32,
    allow_oversized: bool,
}

/// The lease of this router, the rosters that matter, and the rights that follow.
#[derive(Clone, Debug)]
pub struct MembershipView {
    me: Option<RouterId>,
    timing: LeaseTiming,
    lease: Lease,
    /// Ordered by epoch; the last one that is `forced` is in force.
    known: Vec<Known>,
    current: Epoch,
    /// The unanswered heartbeat and the roster that it acknowledged.
    sent: (u64, Epoch),
    /// The roster that the last answered heartbeat acknowledged.
    acked: Epoch,
    /// No router acts by an older roster than this one, but for missing ones.
    settled: Epoch,
    tenures: BTreeMap<EndpointId, Tenure>,
}

impl MembershipView {
    /// Returns the view of a router that knows nothing.
    pub fn new(timing: LeaseTiming) -> MembershipView {
        MembershipView {
            me: None,
            timing,
            lease: Lease::new(timing),
            known: Vec::new(),
            current: Epoch(0),
            sent: (0, Epoch(0)),
            acked: Epoch(0),
            settled: Epoch(0),
            tenures: BTreeMap::new(),
        }
    }

    /// Takes the id of this router.
    pub fn set_id(&mut self, me: RouterId) {
        self.me = Some(me);
    }

    /// This router's id, once it has one.
    pub fn id(&self) -> Option<RouterId> {
        self.me
    }

    /// The roster in force.
    pub fn epoch(&self) -> Epoch {
        self.current
    }

    /// The owners by the roster in force.
    pub fn owners(&self) -> Option<&Owners> {
        self.at(self.current).map(|it| &it.owners)
    }

    /// The roster in force.
    pub fn roster(&self) -> Option<&Roster> {
        self.at(self.current).map(|it| &it.roster)
    }

    /// The newest roster that no router is behind of, but for missing ones.
    pub fn settled_epoch(&self) -> Epoch {
        self.settled
    }

    /// The lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the number of the heartbeat to send now and the roster that it acknowledges; none while an answer is
    /// awaited.
    pub fn next_heartbeat(&mut self, now: Time) -> Option<(u64, Epoch)> {
        let seq = self.lease.next_heartbeat(now)?;
        self.sent = (seq, self.current);
        Some(self.sent)
    }

    /// Gives up the unanswered heartbeat after the connection to the leader was lost.
    pub fn on_disconnect(&mut self) {
        self.lease.on_disconnect();
    }

    /// Takes the answer to a heartbeat; false if it is not the one awaited.
    pub fn on_heartbeat_reply(
        &mut self,
        now: Time,
        seq: u64,
        lease_ms: u32,
        settled: Epoch,
    ) -> bool {
        let lapsed = !self.lease.is_valid(now);
        if self.sent.0 != seq || !self.lease.on_reply(seq, lease_ms) {
            return false;
        }
        self.acked = self.sent.1;
        if lapsed && self.lease.is_valid(now) {
            self.begin_anew(now);
        }
        if settled > self.settled {
            self.settled = settled;
            self.settle(now);
        }
        self.prune();
        true
    }

    /// Takes a roster: a newer one comes in force, an older one is kept for what missing routers may do by it.
    pub fn update_roster(&mut self, now: Time, roster: &Roster, config: &Config) {
        let forced = roster.epoch > self.current;
        let at = self.known.partition_point(|it| it.roster.epoch < roster.epoch);
        if self.known.get(at).is_none_or(|it| it.roster.epoch != roster.epoch) {
            let owners = Owners::compute(roster, config);
            self.known.insert(at, Known { roster: roster.clone(), owners, forced });
        }
        if forced {
            let unbroken = self.current.next() == roster.epoch;
            self.current = roster.epoch;
            self.move_tenures(now, unbroken);
        }
        self.reserve();
        self.prune();
    }

    /// Takes a new configuration.
    pub fn update_config(&mut self, now: Time, config: &Config) {
        for known in &mut self.known {
            known.owners = Owners::compute(&known.roster, config);
        }
        self.move_tenures(now, true);
        self.reserve();
    }

    /// What this router may start on the endpoint now.
    pub fn permission(&self, now: Time, endpoint: EndpointId) -> Permission {
        match self.lease.phase(now) {
            LeasePhase::Valid => self.full(now, endpoint),
            LeasePhase::Expired if self.tenures.contains_key(&endpoint) => Permission::Wait,
            LeasePhase::Expired => Permission::None,
            LeasePhase::FixedShare(since) => self.share(since, endpoint),
        }
    }

    /// The endpoints whose load this router needs to know: those it owns, and without a lease also those it stands by
    /// for.
    pub fn monitored_endpoints(&self, now: Time) -> Vec<EndpointId> {
        let (Some(owners), Some(me)) = (self.owners(), self.me) else { return Vec::new() };
        match self.lease.is_valid(now) {
            true => owners.owned(me).collect(),
            false => owners.held(me).collect(),
        }
    }

    fn at(&self, epoch: Epoch) -> Option<&Known> {
        let at = self.known.binary_search_by_key(&epoch, |it| it.roster.epoch).ok()?;
        Some(&self.known[at])
    }

    fn full(&self, now: Time, endpoint: EndpointId) -> Permission {
        let Some(tenure) = self.tenures.get(&endpoint) else { return Permission::None };
        let waited = self.timing.certain_end(tenure.arrived);
        let since = tenure.settled.unwrap_or(waited).min(waited);
        if now < since {
            return Permission::Wait;
        }
        let (reserved, allow_oversized) = (tenure.reserved, tenure.allow_oversized);
        Permission::Full { since, handover_known: tenure.handover_known, reserved, allow_oversized }
    }

    /// The least share by any roster that another router may act by together with this one.
    ///
    /// A roster divides what is left after the shares of the routers that are missing in it.
    fn share(&self, since: Time, endpoint: EndpointId) -> Permission {
        let Some(me) = self.me else { return Permission::None };
        let oldest = self.settled.min(self.acked);
        let mut least = None;
        for known in self.known.iter().filter(|it| it.forced && it.roster.epoch >= oldest) {
            let Some(rank) = known.owners.rank(endpoint, me) else { return Permission::None };
            let (reserved, taken) = self.reserved_in(&known.roster, endpoint);
            let left = WHOLE.saturating_sub(reserved);
            let holders = known.owners.holders(endpoint).len();
            let share = left / share_parts(rank, holders);
            let before = reserved + (left * shares_before(rank, holders)).div_ceil(WHOLE);
            let (least_share, most_before, allow_oversized) = least.unwrap_or((WHOLE, 0, true));
            least = Some((
                share.min(least_share),
                before.max(most_before),
                allow_oversized && rank == 0 && !taken,
            ));
        }
        match least {
            None => Permission::None,
            Some((share, before, allow_oversized)) => {
                Permission::FixedShare { since, share, cumulative: before, allow_oversized }
            }
        }
    }

    /// Begins and ends tenures after the roster or the configuration changed.
    fn move_tenures(&mut self, now: Time, unbroken: bool) {
        let Some(me) = self.me else { return };
        let Some(known) = self.at(self.current) else { return };
        let owned: Vec<_> = known.owners.owned(me).collect();
        let before = std::mem::take(&mut self.tenures);
        let fresh = || Tenure {
            epoch: self.current,
            arrived: now,
            settled: None,
            handover_known: false,
            reserved: 0,
            allow_oversized: false,
        };
        let kept = |id| before.get(id).filter(|_| unbroken).cloned();
        self.tenures = owned.iter().map(|id| (*id, kept(id).unwrap_or_else(fresh))).collect();
        self.settle(now);
    }

    /// Begins all tenures anew after a time without a lease, in which others may have used their fixed shares.
    fn begin_anew(&mut self, now: Time) {
        self.settled = Epoch(0);
        for tenure in self.tenures.values_mut() {
            tenure.epoch = self.current;
            tenure.arrived = now;
            tenure.settled = None;
            tenure.handover_known = false;
        }
        self.reserve();
    }

    /// Notes what the newest settled roster allows.
    fn settle(&mut self, now: Time) {
        let clean = |epoch: Epoch| {
            let mut before = self.known.iter().filter(|it| it.roster.epoch.next() >= epoch);
            let seen = epoch <= Epoch(1) || self.at(Epoch(epoch.0 - 1)).is_some();
            seen && before.all(|it| missing(&it.roster).next().is_none())
        };
        let due = |it: &&Tenure| it.settled.is_none() && it.epoch <= self.settled;
        let epochs: SmallVec<[Epoch; 4]> =
            self.tenures.values().filter(due).map(|it| it.epoch).collect();
        let cleans: SmallVec<[(Epoch, bool); 4]> =
            epochs.iter().map(|it| (*it, clean(*it))).collect();
        for tenure in self.tenures.values_mut().filter(|it| it.settled.is_none()) {
            let Some((_, clean)) = cleans.iter().find(|it| it.0 == tenure.epoch) else { continue };
            tenure.settled = Some(now);
            tenure.handover_known = *clean;
        }
        self.reserve();
    }

    /// Works out what must be left to missing routers on each endpoint owned here.
    ///
    /// Until the roster in force has settled, what older ones demand counts as well.
    fn reserve(&mut self) {
        let oldest = self.settled.min(self.current);
        let mut tenures = std::mem::take(&mut self.tenures);
        for (endpoint, tenure) in &mut tenures {
            (tenure.reserved, tenure.allow_oversized) = (0, true);
            for known in self.known.iter().filter(|it| it.roster.epoch >= oldest) {
                let (reserved, taken) = self.reserved_in(&known.roster, *endpoint);
                tenure.reserved = tenure.reserved.max(reserved);
                tenure.allow_oversized &= !taken;
            }
        }
        self.tenures = tenures;
    }

    /// What the routers that are missing in a roster may use, in thousandths of the bound, and whether one of them may
    /// go beyond it.
    fn reserved_in(&self, roster: &Roster, endpoint: EndpointId) -> (u32, bool) {
        let (mut sum, mut taken) = (0, false);
        for entry in missing(roster).filter(|it| Some(it.id) != self.me) {
            let (share, owner) = self.left_to(entry, endpoint);
            sum += share;
            taken |= owner;
        }
        (sum, taken)
    }

    /// The largest share that a missing router may use, in thousandths of the bound, and whether it may go beyond it.
    ///
    /// It acts by a roster from the one that control knows it acknowledged to the last one before it went missing. A
    /// roster in between that is not known here leaves it the whole bound.
    fn left_to(&self, entry: &RouterEntry, endpoint: EndpointId) -> (u32, bool) {
        let (mut share, mut owner) = (0, false);
        for epoch in entry.acked.0.max(1)..entry.lost.0 {
            let Some(known) = self.at(Epoch(epoch)) else { return (WHOLE, true) };
            let Some(rank) = known.owners.rank(endpoint, entry.id) else { continue };
            let parts = share_parts(rank, known.owners.holders(endpoint).len());
            share = share.max(WHOLE.div_ceil(parts));
            owner |= rank == 0;
        }
        (share, owner)
    }

    /// Forgets rosters that nothing refers to.
    fn prune(&mut self) {
        let low = self.settled.min(self.current).min(self.acked);
        let mut needed: Vec<(Epoch, Epoch)> =
            vec![(Epoch(low.0.saturating_sub(1)), Epoch(u64::MAX))];
        for known in self.known.iter().filter(|it| it.roster.epoch >= low) {
            needed.extend(missing(&known.roster).map(|it| (it.acked, it.lost)));
        }
        let needs = |epoch: Epoch| needed.iter().any(|it| it.0 <= epoch && epoch <= it.1);
        self.known.retain(|it| needs(it.roster.epoch));
    }
}

/// The routers that are missing in a roster.
fn missing(roster: &Roster) -> impl Iterator<Item = &RouterEntry> {
    roster.routers.iter().filter(|it| it.state == RouterState::Missing)
}

/// Into how many shares the holder of this rank divides the bound: the owner has half of it, the standbys the rest.
fn share_parts(rank: usize, holders: usize) -> u32 {
    match (rank, holders) {
        (_, 0..=1) => 1,
        (0, _) => 2,
        (_, count) => 2 * (count as u32 - 1),
    }
}

/// The sum of the shares up to and with that of this rank, in thousandths of the bound, rounded up.
fn shares_before(rank: usize, holders: usize) -> u32 {
    match (rank, holders) {
        (_, 0..=1) => WHOLE,
        (rank, count) => 500 + (500 * rank as u32).div_ceil(count as u32 - 1),
    }
}
