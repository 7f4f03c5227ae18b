//! Load of endpoints, from this router and from others.

use {
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// How long the report of another router counts, in microseconds: some intervals of reports, so that one may be lost.
const PEER_REPORT_TTL: u64 = 2 * SECOND;

/// How long what an endpoint said of its own load counts, in microseconds.
const SELF_REPORT_TTL: u64 = 400 * MILLISECOND;

/// What one router runs on one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct LoadReport {
    /// Requests.
    pub requests: u32,
    /// Tokens that they hold at most.
    pub tokens: u32,
}

/// The load of one endpoint.
#[derive(Default, Debug)]
pub(crate) struct Load {
    /// What this router runs there.
    pub(crate) own: LoadReport,
    peers: HashMap<u64, (LoadReport, Time)>,
    /// What the endpoint said that it runs for others, and until when that counts.
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

    /// Takes the report of another router.
    pub(crate) fn apply_peer_report(&mut self, now: Time, router: u64, report: LoadReport) {
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_REPORT_TTL);
        if report == LoadReport::default() {
            self.peers.remove(&router);
        } else {
            self.peers.insert(router, (report, now));
        }
    }

    /// Takes what the endpoint says of itself: its running and waiting requests, this router's included.
    pub(crate) fn record_self_report(&mut self, now: Time, requests: u32) {
        self.self_reported =
            Some((requests.saturating_sub(self.own.requests), now + SELF_REPORT_TTL));
    }

    /// The running requests of all routers.
    pub(crate) fn requests(&self, now: Time) -> u32 {
        let fresh = self.peers.values().filter(|(_, at)| now.since(*at) < PEER_REPORT_TTL);
        let reported: u32 = fresh.map(|(it, _)| it.requests).sum();
        let self_reported =
            self.self_reported.filter(|(_, until)| now < *until).map_or(0, |it| it.0);
        self.own.requests + reported.max(self_reported)
    }

    /// The tokens that the running requests of all routers hold.
    pub(crate) fn tokens(&self, now: Time) -> u64 {
        let fresh = self.peers.values().filter(|(_, at)| now.since(*at) < PEER_REPORT_TTL);
        u64::from(self.own.tokens) + fresh.map(|(it, _)| u64::from(it.tokens)).sum::<u64>()
    }
}
