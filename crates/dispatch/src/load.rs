//! The load of an endpoint, from this router and from others.

use {
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// How long another router's report is valid, in microseconds. This spans several report intervals,
/// so that one report may be lost.
const PEER_REPORT_TTL: u64 = 2 * SECOND;

/// How long an endpoint's report of its own load is valid, in microseconds.
const SELF_REPORT_TTL: u64 = 400 * MILLISECOND;

/// What one router runs on one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct LoadReport {
    /// The number of running requests.
    pub requests: u32,
    /// The maximum number of tokens that they hold.
    pub tokens: u32,
}

/// Loads of endpoints, keyed by the hash of the endpoint's id, that fit into one message.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct LoadChunk {
    /// The first hash that the chunk covers.
    pub from: u64,
    /// The last hash that the chunk covers.
    pub to: u64,
    /// The loads. Covered endpoints without one are idle.
    pub loads: Vec<(u64, LoadReport)>,
}

impl LoadChunk {
    /// Splits the loads of all endpoints into chunks of at most `max` loads, which together cover
    /// all hashes.
    pub fn split(mut loads: Vec<(u64, LoadReport)>, max: usize) -> Vec<LoadChunk> {
        loads.sort_unstable_by_key(|it| it.0);
        let mut chunks = Vec::new();
        let mut from = 0;
        while loads.len() > max {
            let rest = loads.split_off(max);
            let to = rest[0].0 - 1;
            chunks.push(LoadChunk { from, to, loads });
            (from, loads) = (to + 1, rest);
        }
        chunks.push(LoadChunk { from, to: u64::MAX, loads });
        chunks
    }
}

/// Whose requests a load report counts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Reporter {
    /// A router of this router's domain.
    LocalRouter(u64),
    /// A router of another domain.
    RemoteRouter(u64),
    /// All routers of another domain together.
    Domain(u64),
    /// All routers of all other domains together.
    OtherDomains,
}

/// The load of one endpoint.
#[derive(Default, Debug)]
pub(crate) struct Load {
    /// What this router runs there.
    pub(crate) own: LoadReport,
    peers: HashMap<Reporter, (LoadReport, Time)>,
    /// The requests that the endpoint reported beyond this router's own, and when the report
    /// expires.
    self_reported: Option<(u32, Time)>,
}

impl Load {
    pub(crate) fn add(&mut self, tokens: u32) {
        self.own.requests += 1;
        self.own.tokens += tokens;
    }

    pub(crate) fn remove(&mut self, tokens: u32) {
        self.own.requests = self.own.requests.saturating_sub(1);
        self.own.tokens = self.own.tokens.saturating_sub(tokens);
    }

    /// Applies a report of other routers.
    pub(crate) fn apply_peer_report(&mut self, now: Time, reporter: Reporter, report: LoadReport) {
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_REPORT_TTL);
        if report == LoadReport::default() {
            self.peers.remove(&reporter);
        } else {
            self.peers.insert(reporter, (report, now));
        }
    }

    /// Records the endpoint's own report of its running and waiting requests, including those of
    /// this router.
    pub(crate) fn record_self_report(&mut self, now: Time, requests: u32) {
        self.self_reported =
            Some((requests.saturating_sub(self.own.requests), now + SELF_REPORT_TTL));
    }

    /// Returns what this router and the others of its domain run there.
    pub(crate) fn domain_load(&self, now: Time) -> LoadReport {
        self.sum(now, self.own, |it| matches!(it, Reporter::LocalRouter(_)))
    }

    /// Returns what other domains run there, as far as they report their sums to this router.
    pub(crate) fn other_domains_load(&self, now: Time) -> LoadReport {
        self.sum(now, LoadReport::default(), |it| matches!(it, Reporter::Domain(_)))
    }

    fn sum<F>(&self, now: Time, initial: LoadReport, is_counted: F) -> LoadReport
    where
        F: Fn(&Reporter) -> bool,
    {
        let fresh = self.peers.iter().filter(|it| now.since(it.1.1) < PEER_REPORT_TTL);
        let counted = fresh.filter(|it| is_counted(it.0));
        counted.fold(initial, |sum, (_, (it, _))| LoadReport {
            requests: sum.requests.saturating_add(it.requests),
            tokens: sum.tokens.saturating_add(it.tokens),
        })
    }

    /// Returns the running requests of all routers.
    pub(crate) fn requests(&self, now: Time) -> u32 {
        let fresh = self.peers.values().filter(|(_, at)| now.since(*at) < PEER_REPORT_TTL);
        let reported: u32 = fresh.map(|(it, _)| it.requests).sum();
        let self_reported = self.self_reported.filter(|(_, until)| now < *until);
        self.own.requests + self_reported.map_or(reported, |it| it.0)
    }

    /// Returns the tokens held by the running requests of all routers.
    pub(crate) fn tokens(&self, now: Time) -> u64 {
        let fresh = self.peers.values().filter(|(_, at)| now.since(*at) < PEER_REPORT_TTL);
        u64::from(self.own.tokens) + fresh.map(|(it, _)| u64::from(it.tokens)).sum::<u64>()
    }
}
