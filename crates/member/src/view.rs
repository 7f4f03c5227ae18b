//! What one router knows of the fleet, and which rights on endpoints follow from it.

use {
    crate::{Lease, Owners, Phase, Timing},
    model::{Config, EndpointId, Epoch, Roster, RouterEntry, RouterId, RouterState, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// What this router may start on an endpoint.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Right {
    /// Nothing: it neither owns the endpoint nor stands by for it in a way that counts now.
    None,
    /// Nothing yet: it owns the endpoint, but another router may still be starting work there.
    Wait,
    /// The whole bound less the shares of missing routers.
    Full {
        /// Since when nobody else has had this right.
        since: Time,
        /// Whether the hand-over of all others is known; if not, a load report taken after `since` is needed first.
        clean: bool,
        /// For each missing router with a share here, into how many shares it divides the bound.
        reserved: SmallVec<[u32; 4]>,
        /// Whether a single request may exceed the bound on the idle endpoint.
        solo: bool,
    },
    /// A fixed share of the bound.
    Share {
        /// Into how many shares the bound is divided.
        parts: u32,
        /// Whether a single request may exceed the share while this router runs nothing else there.
        solo: bool,
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
    clean: bool,
    reserved: SmallVec<[u32; 4]>,
    solo: bool,
}

/// The lease of this router, the rosters that matter, and the rights that follow.
#[derive(Clone, Debug)]
pub struct View {
    me: Option<RouterId>,
    timing: Timing,
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

impl View {
    /// Returns the view of a router that knows nothing.
    pub fn new(timing: Timing) -> View {
        View {
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
    pub fn welcome(&mut self, me: RouterId) {
        self.me = Some(me);
    }

    /// This router's id, once it has one.
    pub fn me(&self) -> Option<RouterId> {
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
    pub fn settled(&self) -> Epoch {
        self.settled
    }

    /// The lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the number of the heartbeat to send now and the roster that it acknowledges; none while an answer is
    /// awaited.
    pub fn beat(&mut self, now: Time) -> Option<(u64, Epoch)> {
        let seq = self.lease.beat(now)?;
        self.sent = (seq, self.current);
        Some(self.sent)
    }

    /// Gives up the unanswered heartbeat after the connection to the leader was lost.
    pub fn disconnected(&mut self) {
        self.lease.disconnected();
    }

    /// Takes the answer to a heartbeat; false if it is not the one awaited.
    pub fn granted(&mut self, now: Time, seq: u64, lease_ms: u32, settled: Epoch) -> bool {
        if self.sent.0 != seq || !self.lease.answered(seq, lease_ms) {
            return false;
        }
        self.acked = self.sent.1;
        if settled > self.settled {
            self.settled = settled;
            self.settle(now);
        }
        self.prune();
        true
    }

    /// Takes a roster: a newer one comes in force, an older one is kept for what missing routers may do by it.
    pub fn take_roster(&mut self, now: Time, roster: &Roster, config: &Config) {
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
    pub fn take_config(&mut self, now: Time, config: &Config) {
        for known in &mut self.known {
            known.owners = Owners::compute(&known.roster, config);
        }
        self.move_tenures(now, true);
        self.reserve();
    }

    /// What this router may start on the endpoint now.
    pub fn right(&self, now: Time, endpoint: EndpointId) -> Right {
        match self.lease.phase(now) {
            Phase::Full => self.full(now, endpoint),
            Phase::Pause if self.tenures.contains_key(&endpoint) => Right::Wait,
            Phase::Pause => Right::None,
            Phase::Share => self.share(endpoint),
        }
    }

    fn at(&self, epoch: Epoch) -> Option<&Known> {
        let at = self.known.binary_search_by_key(&epoch, |it| it.roster.epoch).ok()?;
        Some(&self.known[at])
    }

    fn full(&self, now: Time, endpoint: EndpointId) -> Right {
        let Some(tenure) = self.tenures.get(&endpoint) else { return Right::None };
        let waited = self.timing.certain_end(tenure.arrived);
        let since = tenure.settled.unwrap_or(waited).min(waited);
        if now < since {
            return Right::Wait;
        }
        let (reserved, solo) = (tenure.reserved.clone(), tenure.solo);
        Right::Full { since, clean: tenure.clean, reserved, solo }
    }

    /// The share that follows from every roster that control may take for the last one acknowledged here.
    fn share(&self, endpoint: EndpointId) -> Right {
        let Some(me) = self.me else { return Right::None };
        let (mut parts, mut solo) = (0, true);
        for known in self.known.iter().filter(|it| it.forced && it.roster.epoch >= self.acked) {
            let Some(rank) = known.owners.rank(endpoint, me) else { return Right::None };
            parts = parts.max(share_parts(rank, known.owners.holders(endpoint).len()));
            solo &= rank == 0;
        }
        match parts {
            0 => Right::None,
            parts => Right::Share { parts, solo },
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
            clean: false,
            reserved: SmallVec::new(),
            solo: false,
        };
        let kept = |id| before.get(id).filter(|_| unbroken).cloned();
        self.tenures = owned.iter().map(|id| (*id, kept(id).unwrap_or_else(fresh))).collect();
        self.settle(now);
    }

    /// Notes what the newest settled roster allows.
    fn settle(&mut self, now: Time) {
        let clean = |epoch: Epoch| {
            let mut before = self.known.iter().filter(|it| it.roster.epoch.next() >= epoch);
            let seen = epoch <= Epoch(1) || self.at(Epoch(epoch.0 - 1)).is_some();
            let absent = |it: &RouterEntry| it.state == RouterState::Missing;
            seen && before.all(|it| !it.roster.routers.iter().any(absent))
        };
        let due = |it: &&Tenure| it.settled.is_none() && it.epoch <= self.settled;
        let epochs: SmallVec<[Epoch; 4]> =
            self.tenures.values().filter(due).map(|it| it.epoch).collect();
        let cleans: SmallVec<[(Epoch, bool); 4]> =
            epochs.iter().map(|it| (*it, clean(*it))).collect();
        for tenure in self.tenures.values_mut().filter(|it| it.settled.is_none()) {
            let Some((_, clean)) = cleans.iter().find(|it| it.0 == tenure.epoch) else { continue };
            tenure.settled = Some(now);
            tenure.clean = *clean;
        }
        self.reserve();
    }

    /// Works out what must be left to missing routers on each endpoint owned here.
    fn reserve(&mut self) {
        let missing = self.missing();
        let mut tenures = std::mem::take(&mut self.tenures);
        for (endpoint, tenure) in &mut tenures {
            tenure.reserved.clear();
            tenure.solo = true;
            for entry in &missing {
                let (parts, owner) = self.left_to(entry, *endpoint);
                tenure.reserved.extend(parts);
                tenure.solo &= !owner;
            }
        }
        self.tenures = tenures;
    }

    /// The other routers that are missing in the roster in force or in an older one that may still be in use.
    fn missing(&self) -> Vec<RouterEntry> {
        let mut missing = BTreeMap::new();
        let recent = |it: &&Known| it.roster.epoch >= self.settled.min(self.current);
        for known in self.known.iter().filter(recent).filter(|it| it.roster.epoch <= self.current) {
            for entry in known.roster.routers.iter() {
                if entry.state == RouterState::Missing && Some(entry.id) != self.me {
                    missing.insert(entry.id, entry.clone());
                }
            }
        }
        missing.into_values().collect()
    }

    /// The largest share that a missing router may use, as the number of shares, and whether it may go beyond it.
    ///
    /// It acts by a roster from the one that control knows it acknowledged to the last one before it went missing. A
    /// roster in between that is not known here leaves it the whole bound.
    fn left_to(&self, entry: &RouterEntry, endpoint: EndpointId) -> (Option<u32>, bool) {
        let (mut parts, mut owner) = (None::<u32>, false);
        for epoch in entry.acked.0..entry.lost.0 {
            let Some(known) = self.at(Epoch(epoch)) else { return (Some(1), true) };
            let Some(rank) = known.owners.rank(endpoint, entry.id) else { continue };
            let share = share_parts(rank, known.owners.holders(endpoint).len());
            parts = Some(parts.unwrap_or(share).min(share));
            owner |= rank == 0;
        }
        (parts, owner)
    }

    /// Forgets rosters that nothing refers to.
    fn prune(&mut self) {
        let low = self.settled.min(self.current).min(self.acked);
        let Some(current) = self.at(self.current) else { return };
        let mut needed: Vec<(Epoch, Epoch)> =
            vec![(Epoch(low.0.saturating_sub(1)), Epoch(u64::MAX))];
        let absent = |it: &&RouterEntry| it.state == RouterState::Missing;
        needed.extend(current.roster.routers.iter().filter(absent).map(|it| (it.acked, it.lost)));
        needed.extend(self.missing().iter().map(|it| (it.acked, it.lost)));
        let needs = |epoch: Epoch| needed.iter().any(|it| it.0 <= epoch && epoch <= it.1);
        self.known.retain(|it| needs(it.roster.epoch));
    }
}

/// Into how many shares the holder of this rank divides the bound: the owner has half of it, the standbys the rest.
fn share_parts(rank: usize, holders: usize) -> u32 {
    match (rank, holders) {
        (_, 0..=1) => 1,
        (0, _) => 2,
        (_, count) => 2 * (count as u32 - 1),
    }
}
