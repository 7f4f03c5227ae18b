//! How many requests an endpoint takes from all routers together, and this router's share.

use {
    crate::bucket::Bucket,
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time, hash64, mix2},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, net::SocketAddr},
};

/// How many requests all routers together may send at one moment, as seconds at the limit, plus
/// [`FIXED_BURST`]. Routers that disagree about the members send a few more.
const BURST_S: f64 = 1.0;

/// See [`BURST_S`].
const FIXED_BURST: f64 = 2.0;

/// The lowest rate of requests to an endpoint, per second, so that the end of its limit is noticed.
const MIN_RATE: f64 = 0.1;

/// A limit that differs less from the one before is not news, as a fraction.
const MIN_CHANGE: f64 = 0.05;

/// How long routers are told that a limit has ended, in microseconds.
const ENDED_TIME: u64 = 10 * SECOND;

/// How often what an endpoint said is passed on at most. Each time makes it seem later by the delay
/// of the message.
const MAX_HOPS: u8 = 4;

/// What a router knows about the limit of an endpoint, for other routers.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize, Debug)]
pub struct LimitReport {
    /// Identifies the run of the endpoint.
    pub incarnation: u64,
    /// The requests per second that the endpoint takes from all routers, or `None` if any number.
    pub rate: Option<f64>,
    /// How long ago the endpoint said so, in milliseconds.
    pub age_ms: u32,
    /// How often the report has been passed on.
    pub hops: u8,
}

/// A change of what a router believes about the limit of an endpoint.
#[derive(Clone, PartialEq, Debug)]
pub struct LimitChange {
    /// The id of the endpoint.
    pub endpoint: model::Name,
    /// The requests per second that the endpoint takes from all routers, or `None` if any number.
    pub rate: Option<f64>,
    /// This router's share of them.
    pub share: f64,
}

/// The other routers that send requests to the same endpoints.
#[derive(Default, Debug)]
pub(crate) struct Fleet {
    own: u64,
    others: Vec<u64>,
}

impl Fleet {
    pub(crate) fn new<I>(own: SocketAddr, routers: I) -> Fleet
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let hash = |it: SocketAddr| hash64(it.to_string().as_bytes());
        let others = routers.into_iter().filter(|it| *it != own).map(hash).collect();
        Fleet { own: hash(own), others }
    }

    /// Returns the number of routers, with this one.
    pub(crate) fn len(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns how many routers go before this one in the order in which they use an endpoint.
    pub(crate) fn rank(&self, endpoint: u64) -> usize {
        let own = Reverse(mix2(endpoint, self.own));
        self.others.iter().filter(|it| Reverse(mix2(endpoint, **it)) < own).count()
    }

    /// Returns a number from 0 to 1 that differs between the routers.
    pub(crate) fn phase(&self, endpoint: u64) -> f64 {
        mix2(self.own, endpoint) as f64 / u64::MAX as f64
    }
}

/// What an endpoint said about its limit, and this router's share of it.
///
/// A share below one request per burst is of no use, so only as many routers as there are requests
/// in a burst use the endpoint.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct Limit {
    /// `None` if the endpoint takes any number of requests.
    rate: Option<f64>,
    said_at: Time,
    hops: u8,
    /// When the last limit ended.
    ended_at: Option<Time>,
    bucket: Bucket,
}

impl Limit {
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate
    }

    pub(crate) fn share(&self) -> f64 {
        self.bucket.share()
    }

    /// Records what the endpoint said. Returns whether the rate has changed much.
    pub(crate) fn record(&mut self, now: Time, rate: Option<f64>) -> bool {
        self.update(now, now, 0, rate)
    }

    /// Records what the endpoint said to another router. Returns whether the rate has changed much.
    pub(crate) fn merge(&mut self, now: Time, report: &LimitReport) -> bool {
        let said_at = now.saturating_sub(u64::from(report.age_ms) * MILLISECOND);
        let is_valid = report.rate.is_none_or(|it| it.is_finite() && it >= 0.0);
        if !is_valid || report.hops >= MAX_HOPS || said_at <= self.said_at {
            return false;
        }
        self.update(now, said_at, report.hops + 1, report.rate)
    }

    fn update(&mut self, now: Time, said_at: Time, hops: u8, rate: Option<f64>) -> bool {
        let is_changed = match (self.rate, rate) {
            (Some(old), Some(new)) => (new - old).abs() > old * MIN_CHANGE,
            (old, new) => old.is_some() != new.is_some(),
        };
        (self.said_at, self.hops) = (said_at, hops);
        if is_changed {
            if self.rate.is_none() {
                self.bucket.set_tokens(now, 0.0);
            }
            self.ended_at = rate.is_none().then_some(said_at);
            self.rate = rate;
        }
        is_changed
    }

    /// Determines this router's share.
    pub(crate) fn set_share(&mut self, now: Time, fleet: &Fleet, endpoint: u64) {
        let Some(rate) = self.rate else { return };
        let rate = rate.max(MIN_RATE);
        let burst = rate * BURST_S + FIXED_BURST;
        let users = (burst as usize).clamp(1, fleet.others.len() + 1);
        let is_user = fleet.rank(endpoint) < users;
        let part = if is_user { 1.0 / users as f64 } else { 0.0 };
        self.bucket.set_share(now, rate * part, burst * part);
    }

    /// Returns when this router may send the next request.
    pub(crate) fn opens_at(&self) -> Time {
        if self.rate.is_some() { self.bucket.opens_at() } else { Time(0) }
    }

    /// Takes the allowance for one request.
    pub(crate) fn take(&mut self, now: Time) {
        if self.rate.is_some() {
            self.bucket.take(now);
        }
    }

    /// Returns what other routers should know, if there is or was a limit.
    pub(crate) fn report(&self, now: Time, incarnation: u64) -> Option<LimitReport> {
        let has_ended = self.ended_at.is_some_and(|it| now.since(it) < ENDED_TIME);
        let is_current = self.rate.is_some() || has_ended;
        let age_ms = u32::try_from(now.since(self.said_at) / MILLISECOND).unwrap_or(u32::MAX);
        let report = LimitReport { incarnation, rate: self.rate, age_ms, hops: self.hops };
        (is_current && self.hops < MAX_HOPS).then_some(report)
    }
}
