//! Endpoints that have just started, and take few requests.
//!
//! As for limits that endpoints name, the routers share the requests to a cold endpoint without
//! agreement: some of them use it, in an order by hash, and each of those keeps a time between its
//! requests. Routers that disagree about the members by a third still keep to the bound.

use {
    crate::{bucket::Bucket, limit::Fleet},
    derive_more::{Debug, Display},
    model::{MILLISECOND, Name, SECOND, Time},
    serde::{Deserialize, Serialize},
};

/// The part of the highest number of requests in a second that routers with equal views of the
/// members use. The rest allows for views that differ, and for requests that arrive later than
/// others.
const USED_PART: f64 = 0.75;

/// The shortest time in which a router sends its part of that number again, in seconds. Requests of
/// adjacent periods may arrive closer to each other than they were sent.
const MIN_PERIOD_S: f64 = 1.1;

/// By how many requests the first ones of routers are spread, so that they are not all sent at the
/// same moment.
const MAX_PHASE: f64 = 0.5;

/// The lowest rate of requests to a cold endpoint, per second.
const MIN_RATE: f64 = 0.1;

/// How late the list of endpoints may be. A list that lacks a belief which is younger does not end
/// it, and one that contradicts what the endpoint said since then is ignored.
const LIST_LAG: u64 = 2 * SECOND;

/// The end of a cold period that another router reports must be later than the known one by at
/// least this. Otherwise the delays of messages would prolong the period again and again.
const MIN_EXTENSION: u64 = 500 * MILLISECOND;

/// The longest cold time that is believed, in milliseconds.
const MAX_COLD_MS: u32 = 600_000;

/// How often a report is passed on at most, as each time prolongs it by the delay of the message.
const MAX_HOPS: u8 = 4;

/// How many requests the cold endpoints of a service take from all routers together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ColdRate {
    /// How long an endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// The requests per second that a cold endpoint tolerates.
    pub rate: f64,
    /// The highest number of requests in any second, summed over all routers.
    pub max_per_second: f64,
}

impl ColdRate {
    /// Returns how many of `routers` use a cold endpoint, and the requests per second of each.
    fn shares(&self, routers: usize) -> (usize, f64) {
        let max = ((self.max_per_second * USED_PART) as usize).max(1);
        let users = max.min(routers).max(1);
        let per_period = (max / users) as f64;
        let interval_s = (users as f64 / self.rate.max(MIN_RATE)).max(MIN_PERIOD_S / per_period);
        (users, 1.0 / interval_s)
    }
}

/// Why an endpoint is believed to be cold.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum ColdSource {
    /// The list of endpoints says so.
    #[display("list")]
    Listed,
    /// It was listed for the first time.
    #[display("new")]
    Added,
    /// It has restarted.
    #[display("restart")]
    Restarted,
    /// The evacuation of its domain was withdrawn.
    #[display("evacuation")]
    Evacuated,
    /// It said so itself.
    #[display("endpoint")]
    Reported,
    /// It could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// Another router said so.
    #[display("gateway")]
    Told,
}

/// The number of sources.
const SOURCES: usize = 7;

impl ColdSource {
    const ALL: [ColdSource; SOURCES] = [
        ColdSource::Listed,
        ColdSource::Added,
        ColdSource::Restarted,
        ColdSource::Evacuated,
        ColdSource::Reported,
        ColdSource::Unreachable,
        ColdSource::Told,
    ];

    /// Returns whether other routers are told. What a router concludes from its own connections and
    /// lists may be wrong for others: one that loses packets would make all others spare an endpoint.
    fn is_told(self) -> bool {
        match self {
            ColdSource::Listed
            | ColdSource::Restarted
            | ColdSource::Evacuated
            | ColdSource::Reported
            | ColdSource::Told => true,
            ColdSource::Added | ColdSource::Unreachable => false,
        }
    }
}

/// What a router believes about a cold endpoint, for other routers.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ColdReport {
    /// Identifies the run of the endpoint.
    pub incarnation: u64,
    /// How much longer the endpoint is cold, in milliseconds.
    pub remaining_ms: u32,
    /// How often the report has been passed on.
    pub hops: u8,
}

/// The begin or the end of a belief that an endpoint is cold.
#[derive(Clone, PartialEq, Debug)]
pub struct ColdChange {
    /// The id of the endpoint.
    pub endpoint: Name,
    /// Why the endpoint is, or was, believed to be cold.
    pub source: ColdSource,
    /// How much longer it is cold, in milliseconds. Zero if the belief has ended.
    pub remaining_ms: u64,
    /// This router's requests per second.
    pub share: f64,
}

/// A belief from one source.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
struct Belief {
    begun_at: Time,
    until: Time,
}

/// Whether an endpoint is cold, and this router's share of its requests.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct Cold {
    beliefs: [Belief; SOURCES],
    /// When the endpoint last said that it is not cold.
    denied_at: Option<Time>,
    /// Whether the last attempt to connect failed.
    unreachable: bool,
    /// How often the report of another router was passed on.
    hops: u8,
    /// The source of the belief whose begin was returned as a change, until its end is.
    logged: Option<ColdSource>,
    bucket: Bucket,
}

impl Cold {
    /// Returns the source of the belief that ends last, and its end.
    fn last(&self) -> (ColdSource, Time) {
        let ends = ColdSource::ALL.into_iter().zip(&self.beliefs).map(|it| (it.0, it.1.until));
        ends.max_by_key(|it| it.1).unwrap_or((ColdSource::Listed, Time(0)))
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.last().1 > now
    }

    /// Returns this router's requests per second while the endpoint is cold.
    pub(crate) fn share(&self, now: Time) -> Option<f64> {
        self.is_cold(now).then(|| self.bucket.share())
    }

    /// Returns when this router may send the next request.
    pub(crate) fn opens_at(&self) -> Time {
        self.bucket.opens_at().min(self.last().1)
    }

    /// Takes the allowance for one request.
    pub(crate) fn take(&mut self, now: Time) {
        if self.is_cold(now) {
            self.bucket.take(now);
        }
    }

    /// Determines this router's share.
    pub(crate) fn set_share(&mut self, now: Time, rate: ColdRate, fleet: &Fleet, endpoint: u64) {
        let (users, share) = rate.shares(fleet.len());
        let is_user = fleet.rank(endpoint) < users;
        self.bucket.set_share(now, if is_user { share } else { 0.0 }, 1.0);
    }

    /// Records that the endpoint is cold until `until`. `phase` is a number from 0 to 1 that differs
    /// between routers.
    pub(crate) fn begin(&mut self, now: Time, source: ColdSource, until: Time, phase: f64) {
        if !self.is_cold(now) {
            // What was sent just before is not known after a restart, so the bucket is empty.
            self.bucket.set_tokens(now, -phase * MAX_PHASE);
        }
        let belief = &mut self.beliefs[source as usize];
        let begun_at = if belief.until > now { belief.begun_at } else { now };
        *belief = Belief { begun_at, until };
    }

    fn end(&mut self, source: ColdSource) {
        self.beliefs[source as usize] = Belief::default();
    }

    /// Returns whether the endpoint has said that it is not cold since the list was made.
    fn is_denied(&self, now: Time) -> bool {
        self.denied_at.is_some_and(|it| now.since(it) < LIST_LAG)
    }

    /// Records the remaining cold time that a list contains. `None` if it does not contain any.
    pub(crate) fn record_listed(&mut self, now: Time, remaining_ms: Option<u32>, phase: f64) {
        let ends = [ColdSource::Listed, ColdSource::Added, ColdSource::Restarted];
        match remaining_ms {
            Some(0) => ends.into_iter().for_each(|it| self.end(it)),
            Some(_) if self.is_denied(now) => {}
            Some(it) => self.begin(now, ColdSource::Listed, end_of(now, it), phase),
            None => {
                for source in ends {
                    if now.since(self.beliefs[source as usize].begun_at) >= LIST_LAG {
                        self.end(source);
                    }
                }
            }
        }
    }

    /// Records the remaining cold time that the endpoint itself stated. It outweighs all others.
    pub(crate) fn record_reported(&mut self, now: Time, remaining_ms: u32, phase: f64) {
        self.unreachable = false;
        if remaining_ms > 0 {
            self.denied_at = None;
            self.begin(now, ColdSource::Reported, end_of(now, remaining_ms), phase);
        } else {
            self.denied_at = Some(now);
        }
        for source in ColdSource::ALL {
            if source != ColdSource::Reported || remaining_ms == 0 {
                self.end(source);
            }
        }
    }

    /// Records that the endpoint could not be reached. It may be cold when it can be.
    pub(crate) fn record_unreachable(&mut self, now: Time, start_ms: u64, phase: f64) {
        self.unreachable = true;
        self.begin(now, ColdSource::Unreachable, now + start_ms * MILLISECOND, phase);
    }

    /// Records that the endpoint responds.
    pub(crate) fn record_reachable(&mut self, now: Time, start_ms: u64, phase: f64) {
        if std::mem::take(&mut self.unreachable) {
            self.begin(now, ColdSource::Unreachable, now + start_ms * MILLISECOND, phase);
        }
    }

    /// Forgets that the endpoint could not be reached, as the cause was the path.
    pub(crate) fn forgive_failures(&mut self) {
        self.unreachable = false;
        self.end(ColdSource::Unreachable);
    }

    /// Forgets all beliefs.
    pub(crate) fn clear(&mut self) {
        *self = Cold { logged: self.logged, ..Cold::default() };
    }

    /// Returns what other routers should know.
    pub(crate) fn report(&self, now: Time, incarnation: u64) -> Option<ColdReport> {
        let told = ColdSource::ALL.into_iter().filter(|it| it.is_told());
        let ends = told.map(|it| (self.beliefs[it as usize].until, it));
        let (until, source) = ends.max_by_key(|it| it.0)?;
        let hops = if source == ColdSource::Told { self.hops } else { 0 };
        let remaining_ms = u32::try_from(until.since(now) / MILLISECOND).unwrap_or(u32::MAX);
        let is_current = remaining_ms > 0 && hops < MAX_HOPS;
        is_current.then_some(ColdReport { incarnation, remaining_ms, hops })
    }

    /// Applies what another router believes.
    pub(crate) fn merge(&mut self, now: Time, report: &ColdReport, phase: f64) {
        let until = end_of(now, report.remaining_ms);
        let is_news = until > self.last().1.max(now) + MIN_EXTENSION;
        if is_news && report.hops < MAX_HOPS && !self.is_denied(now) {
            self.hops = report.hops + 1;
            self.begin(now, ColdSource::Told, until, phase);
        }
    }

    /// Returns the begin or the end of a belief since the last call.
    pub(crate) fn take_change(&mut self, now: Time, endpoint: &Name) -> Option<ColdChange> {
        let (source, until) = self.last();
        let is_cold = until > now;
        if is_cold == self.logged.is_some() {
            return None;
        }
        let source = self.logged.unwrap_or(source);
        self.logged = is_cold.then_some(source);
        let remaining_ms = until.since(now).div_ceil(MILLISECOND);
        let share = if is_cold { self.bucket.share() } else { 0.0 };
        Some(ColdChange { endpoint: endpoint.clone(), source, remaining_ms, share })
    }
}

fn end_of(now: Time, remaining_ms: u32) -> Time {
    now + u64::from(remaining_ms.min(MAX_COLD_MS)) * MILLISECOND
}
