//! What routers last reported; the leader alone holds it, and a new leader fills it anew.

use {
    derive_more::Debug,
    intent::ServiceLoad,
    model::{Epoch, Revision, RouterId, ServiceId, Time, Work},
    smallvec::SmallVec,
    std::collections::BTreeMap,
    wire::msg::{LoadSum, Mean},
};

/// Reports older than this no longer count towards load_means, in microseconds.
const MAX_REPORT_AGE: u64 = 3 * model::SECOND;

/// How many of the least loaded endpoints are named.
const MAX_HINTS: usize = 4;

/// What a router reported with its last heartbeat.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct RouterReport {
    /// When it arrived.
    pub(crate) received_at: Time,
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
pub(crate) struct RouterReports {
    reports: BTreeMap<RouterId, RouterReport>,
}

impl RouterReports {
    /// Keeps a router's report.
    pub(crate) fn insert(&mut self, router: RouterId, report: RouterReport) {
        self.reports.insert(router, report);
    }

    /// Drops reports that were last received_at before an instant.
    pub(crate) fn remove_before(&mut self, before: Time) {
        self.reports.retain(|_, it| it.received_at >= before);
    }

    /// The last reports, by router.
    pub(crate) fn by_router(&self) -> &BTreeMap<RouterId, RouterReport> {
        &self.reports
    }

    /// Returns the loads of all services.
    pub(crate) fn load_means(&self, now: Time) -> SmallVec<[Mean; 2]> {
        let mut sums: BTreeMap<ServiceId, Vec<LoadSum>> = BTreeMap::new();
        let fresh = self.reports.values().filter(|it| now.since(it.received_at) < MAX_REPORT_AGE);
        for sum in fresh.flat_map(|it| &it.sums) {
            sums.entry(sum.service).or_default().push(*sum);
        }
        sums.into_iter().map(|(service, sums)| mean(service, sums)).collect()
    }

    /// Returns the loads of all services for the effects of a plan.
    pub(crate) fn service_loads(&self, now: Time) -> Vec<ServiceLoad> {
        let service_load =
            |it: Mean| ServiceLoad { service: it.service, sum: it.sum, count: it.count };
        self.load_means(now).into_iter().map(service_load).collect()
    }
}

fn mean(service: ServiceId, mut sums: Vec<LoadSum>) -> Mean {
    let sum = sums.iter().map(|it| it.sum).sum::<Work>();
    let count = sums.iter().map(|it| it.count).sum();
    sums.retain(|it| it.count > 0);
    sums.sort_by_key(|it| it.low);
    let hints = sums.iter().take(MAX_HINTS).map(|it| it.least).collect();
    Mean { service, sum, count, hints }
}
