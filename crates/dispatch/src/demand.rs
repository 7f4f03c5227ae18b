//! What teams demand of a service, over all routers, and which part of it is within their shares.
//!
//! Demand is the work that arrives, in slots: requests per second times the seconds that one runs. If
//! all demand exceeds the slots, teams get equal shares of them, and what a team does not need is left
//! to the others. A router decides for each request at random whether it is of the part within the
//! share of its team, so it needs no more than the sums over all routers.

use {
    crate::load::Reporter,
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// The time in which demand decays to 1/e, in microseconds.
const DECAY: u64 = SECOND;

/// How long another router's report is valid, in microseconds. In the largest fleets they are sent every
/// five seconds.
const REPORT_TTL: u64 = 8 * SECOND;

/// How long shares are used before they are computed again, in microseconds.
const SHARES_TTL: u64 = 50 * MILLISECOND;

/// Shares are enforced from this demand on, as a multiple of the slots. Demand varies by chance.
const MIN_OVERLOAD: f64 = 1.1;

/// No team is served less often than this fraction of what all are served on average.
const MIN_SERVED: f64 = 0.35;

/// The part of the slots that is shared out. With all of them, a queue would grow by chance until all
/// are late.
const SHARED_PART: f64 = 0.85;

/// The part of a team's share that is split between its priorities evenly. The rest goes to the
/// first in [`Demands::order`].
const EVEN_PART: f64 = 0.6;

/// The time in which the record of what became of requests decays to 1/e, in microseconds.
const RECORD_DECAY: u64 = 5 * SECOND;

/// How much more often a priority with little work may be started than a more urgent one, as a
/// fraction of its requests, before it goes behind that one.
const MAX_LEAD: f64 = 0.05;

/// The part of the late requests that is expected to be started.
const LATE_STARTED_PART: f64 = 0.93;

/// The number of priorities that are told apart. All less urgent ones count as one.
const PRIORITIES: usize = 4;

/// The index of a priority.
fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// The maximum number of teams that a router keeps.
const MAX_TEAMS: usize = 4_096;

/// The maximum number of teams in a report.
const MAX_REPORT_TEAMS: usize = 4;

/// A fleet's demand is told in these parts of a slot.
const REPORT_UNITS: f64 = 100.0;

/// What one or several routers know about the demand for a service, for other routers.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct DemandReport {
    /// The demand of all teams, in hundredths of a slot.
    pub total: u32,
    /// The teams that demand most, and their demand.
    pub teams: Vec<(u32, u32)>,
}

/// Whose demand a report counts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DemandScope {
    /// That at this router.
    Router,
    /// That at all routers of this router's domain.
    Domain,
    /// That at all routers of all other domains, as far as they report sums.
    OtherDomains,
}

impl DemandScope {
    fn counts(self, reporter: &Reporter) -> bool {
        match self {
            DemandScope::Router => false,
            DemandScope::Domain => matches!(reporter, Reporter::LocalRouter(_)),
            DemandScope::OtherDomains => matches!(reporter, Reporter::Domain(_)),
        }
    }
}

/// A demand that decays.
#[derive(Clone, Copy, Default, Debug)]
struct Demand {
    slots: [f64; PRIORITIES],
    at: Time,
}

impl Demand {
    fn add(&mut self, now: Time, priority: u8, run_ms: f64) {
        self.slots = self.at(now);
        self.at = now;
        self.slots[index(priority)] += run_ms * MILLISECOND as f64 / DECAY as f64;
    }

    fn at(&self, now: Time) -> [f64; PRIORITIES] {
        let kept = (-(now.since(self.at) as f64) / DECAY as f64).exp();
        self.slots.map(|it| it * kept)
    }

    fn sum(&self, now: Time) -> f64 {
        self.at(now).iter().sum()
    }
}

/// What became of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Fate {
    Started,
    /// It waits behind all that can be on time.
    Late,
    Refused,
}

/// What became of the requests of one priority. Counts decay.
#[derive(Clone, Copy, Default, Debug)]
struct Record {
    requests: f64,
    run_ms: f64,
    started: f64,
    settled: f64,
    at: Time,
}

impl Record {
    fn decay(&mut self, now: Time) {
        let kept = (-(now.since(self.at) as f64) / RECORD_DECAY as f64).exp();
        for count in [&mut self.requests, &mut self.run_ms, &mut self.started, &mut self.settled] {
            *count *= kept;
        }
        self.at = now;
    }

    /// Returns the mean work of a request for its value, which halves with each priority.
    fn cost(&self, priority: usize) -> f64 {
        self.run_ms / self.requests.max(f64::MIN_POSITIVE) * f64::from(1_u32 << priority)
    }

    fn started_part(&self) -> f64 {
        if self.settled > 0.0 { self.started / self.settled } else { 1.0 }
    }
}

/// The demand that is within the shares of teams.
#[derive(Default, Debug)]
struct Shares {
    computed_at: Option<Time>,
    /// The slots that a team gets, or `None` if there are enough for all.
    level: Option<f64>,
    /// The fraction of a team's demand that is always within its share.
    min_part: f64,
    teams: HashMap<u32, f64>,
}

/// The demand of the teams of one service.
#[derive(Default, Debug)]
pub(crate) struct Demands {
    total: Demand,
    own: HashMap<u32, Demand>,
    peers: HashMap<Reporter, (DemandReport, Time)>,
    shares: Shares,
    records: [Record; PRIORITIES],
}

impl Demands {
    /// Returns the position of a priority: those with the least work for their value come first, but
    /// none before a more urgent one that is started less often.
    pub(crate) fn position(&self, priority: u8) -> u8 {
        let order = self.order();
        order.iter().position(|it| *it == index(priority)).unwrap_or_default() as u8
    }

    fn order(&self) -> [usize; PRIORITIES] {
        let mut order = std::array::from_fn(|it| it);
        for at in 1..PRIORITIES {
            let record = &self.records[at];
            let goes_before = |more_urgent: usize| {
                let other = &self.records[more_urgent];
                record.requests > 0.0
                    && other.requests > 0.0
                    && record.cost(at) < other.cost(more_urgent)
                    && record.started_part() <= other.started_part() + MAX_LEAD
            };
            let mut to = at;
            while to > 0 && goes_before(order[to - 1]) {
                order.swap(to, to - 1);
                to -= 1;
            }
        }
        order
    }

    /// Records what became of a request, or is likely to.
    pub(crate) fn record_fate(&mut self, now: Time, priority: u8, was_late: bool, fate: Fate) {
        let record = &mut self.records[index(priority)];
        record.decay(now);
        let started = match fate {
            Fate::Started => 1.0,
            Fate::Late => LATE_STARTED_PART,
            Fate::Refused => 0.0,
        };
        let (old_started, old_settled) =
            if was_late { (LATE_STARTED_PART, 1.0) } else { (0.0, 0.0) };
        record.started = (record.started + started - old_started).max(0.0);
        record.settled = (record.settled + 1.0 - old_settled).max(0.0);
    }

    /// Records a request that runs for `run_ms` milliseconds.
    pub(crate) fn record(&mut self, now: Time, team: u32, priority: u8, run_ms: f64) {
        self.total.add(now, priority, run_ms);
        let record = &mut self.records[index(priority)];
        record.decay(now);
        record.requests += 1.0;
        record.run_ms += run_ms;
        if self.own.len() >= MAX_TEAMS && !self.own.contains_key(&team) {
            self.own.retain(|_, it| now.since(it.at) < 2 * DECAY);
        }
        if self.own.len() < MAX_TEAMS || self.own.contains_key(&team) {
            self.own.entry(team).or_default().add(now, priority, run_ms);
        }
    }

    /// Returns whether a request belongs to the part of its team's demand that exceeds the team's
    /// share. The service has `slots` slots, which `routers` routers use.
    pub(crate) fn is_beyond_share(
        &mut self,
        now: Time,
        (team, priority): (u32, u8),
        (slots, routers): (f64, usize),
        random: u64,
    ) -> bool {
        if self.shares.computed_at.is_none_or(|it| now.since(it) >= SHARES_TTL) {
            self.shares = self.shares(now, slots, routers);
        }
        let Shares { level, min_part, teams, .. } = &self.shares;
        let Some((level, demand)) = level.zip(teams.get(&team)) else { return false };
        let part = (level / demand).max(*min_part).min(1.0);
        let part = part * EVEN_PART + self.ordered_part(now, team, priority, part);
        random as f64 / u64::MAX as f64 > part
    }

    /// Returns which part of the requests of one priority are within the part of the team's share
    /// that goes to the first priorities.
    fn ordered_part(&self, now: Time, team: u32, priority: u8, part: f64) -> f64 {
        let Some(own) = self.own.get(&team) else { return part * (1.0 - EVEN_PART) };
        let demand = own.at(now);
        let order = self.order();
        let before = order.iter().take_while(|it| **it != index(priority));
        // What the even part leaves of each earlier priority is served first.
        let rest = 1.0 - part * EVEN_PART;
        let before = before.map(|it| demand[*it]).sum::<f64>() * rest;
        let left = demand.iter().sum::<f64>() * part * (1.0 - EVEN_PART) - before;
        (left / demand[index(priority)].max(f64::MIN_POSITIVE)).clamp(0.0, rest)
    }

    fn shares(&self, now: Time, slots: f64, routers: usize) -> Shares {
        let mut teams: HashMap<u32, f64> =
            self.own.iter().map(|(team, it)| (*team, it.sum(now))).collect();
        let mut total = self.total.sum(now);
        let mut has_reports = routers <= 1;
        for (report, _) in self.fresh(now) {
            has_reports = true;
            total += f64::from(report.total) / REPORT_UNITS;
            for (team, demand) in &report.teams {
                *teams.entry(*team).or_default() += f64::from(*demand) / REPORT_UNITS;
            }
        }
        let computed_at = Some(now);
        // Without reports, a router expects to get its part of the slots.
        let slots = if has_reports { slots } else { slots / routers as f64 };
        if total <= slots * MIN_OVERLOAD {
            return Shares { computed_at, ..Shares::default() };
        }
        let slots = slots * SHARED_PART;
        let mut demands: Vec<_> = teams.values().copied().collect();
        demands.sort_unstable_by(|a, b| b.total_cmp(a));
        let (mut rest, mut level) = (total, 0.0);
        for (at, demand) in demands.iter().enumerate() {
            rest -= demand;
            level = (slots - rest).max(0.0) / (at + 1) as f64;
            if demands.get(at + 1).is_none_or(|it| *it <= level) {
                break;
            }
        }
        Shares { computed_at, level: Some(level), min_part: MIN_SERVED * slots / total, teams }
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = &(DemandReport, Time)> {
        self.peers.values().filter(move |it| now.since(it.1) < REPORT_TTL)
    }

    /// Returns the age of the newest report of other routers, in milliseconds.
    pub(crate) fn report_age_ms(&self, now: Time) -> Option<u64> {
        self.fresh(now).map(|it| now.since(it.1) / MILLISECOND).min()
    }

    pub(crate) fn apply_report(&mut self, now: Time, reporter: Reporter, report: DemandReport) {
        self.peers.retain(|_, it| now.since(it.1) < REPORT_TTL);
        self.peers.insert(reporter, (report, now));
    }

    /// Returns what other routers should know.
    pub(crate) fn report(&self, now: Time, scope: DemandScope) -> DemandReport {
        let (mut total, mut teams) = (0.0, HashMap::new());
        if scope != DemandScope::OtherDomains {
            total = self.total.sum(now) * REPORT_UNITS;
            teams = self.own.iter().map(|it| (*it.0, it.1.sum(now) * REPORT_UNITS)).collect();
        }
        let fresh = self.peers.iter().filter(|it| now.since(it.1.1) < REPORT_TTL);
        for (_, (report, _)) in fresh.filter(|it| scope.counts(it.0)) {
            total += f64::from(report.total);
            for (team, demand) in &report.teams {
                *teams.entry(*team).or_default() += f64::from(*demand);
            }
        }
        let mut teams: Vec<_> = teams.into_iter().map(|it| (it.0, it.1.round() as u32)).collect();
        teams.sort_unstable_by_key(|it| (std::cmp::Reverse(it.1), it.0));
        teams.truncate(MAX_REPORT_TEAMS);
        teams.retain(|it| it.1 > 0);
        DemandReport { total: total.round() as u32, teams }
    }
}
