//! What routers last reported; the leader alone holds it, and a new leader fills it anew.

use {
    derive_more::Debug,
    intent::ServiceLoad,
    model::{Epoch, Revision, RouterId, ServiceId, Time, Work},
    smallvec::SmallVec,
    std::collections::BTreeMap,
    wire::msg::{LoadSum, ServiceTotal},
};

/// Reports older than this no longer count towards means, in microseconds.
const REPORT_LIFE: u64 = 3 * model::SECOND;

/// How many of the least loaded endpoints are named.
const MAX_HINTS: usize = 4;

/// What a router reported with its last heartbeat.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Report {
    /// When it arrived.
    pub(crate) heard: Time,
    /// The revision that it has in force.
    pub(crate) revision: Revision,
    /// The roster that it has in force.
    pub(crate) epoch: Epoch,
    /// Whether it is shutting down.
    pub(crate) leaving: bool,
    /// The loads of the endpoints that it owns.
    pub(crate) sums: SmallVec<[LoadSum; 4]>,
}

/// The last reports of all routers.
#[derive(Clone, Default, Debug)]
pub(crate) struct Fleet {
    reports: BTreeMap<RouterId, Report>,
}

impl Fleet {
    /// Keeps a router's report.
    pub(crate) fn report(&mut self, router: RouterId, report: Report) {
        self.reports.insert(router, report);
    }

    /// Drops reports that were last heard before an instant.
    pub(crate) fn forget(&mut self, before: Time) {
        self.reports.retain(|_, it| it.heard >= before);
    }

    /// The last reports, by router.
    pub(crate) fn reports(&self) -> &BTreeMap<RouterId, Report> {
        &self.reports
    }

    /// Returns the loads of all services.
    pub(crate) fn means(&self, now: Time) -> SmallVec<[ServiceTotal; 2]> {
        let mut sums: BTreeMap<ServiceId, Vec<LoadSum>> = BTreeMap::new();
        let fresh = self.reports.values().filter(|it| now.since(it.heard) < REPORT_LIFE);
        for sum in fresh.flat_map(|it| &it.sums) {
            sums.entry(sum.service).or_default().push(*sum);
        }
        sums.into_iter().map(|(service, sums)| mean(service, sums)).collect()
    }

    /// Returns the loads of all services for the effects of a plan.
    pub(crate) fn live(&self, now: Time) -> Vec<ServiceLoad> {
        let live =
            |it: ServiceTotal| ServiceLoad { service: it.service, sum: it.sum, count: it.count };
        self.means(now).into_iter().map(live).collect()
    }
}

fn mean(service: ServiceId, mut sums: Vec<LoadSum>) -> ServiceTotal {
    let sum = sums.iter().map(|it| it.sum).sum::<Work>();
    let count = sums.iter().map(|it| it.count).sum();
    sums.retain(|it| it.count > 0);
    sums.sort_by_key(|it| it.min_load);
    let hints = sums.iter().take(MAX_HINTS).map(|it| it.least_loaded).collect();
    ServiceTotal { service, sum, count, hints }
}
