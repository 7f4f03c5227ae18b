//! The last reports of the routers. Only the leader keeps them; a new leader collects them again.

use {
    derive_more::Debug,
    intent::ServiceLoad,
    model::{Epoch, Revision, RouterId, ServiceId, Time, Work},
    smallvec::SmallVec,
    std::collections::BTreeMap,
    wire::msg::{LoadSum, ServiceTotal},
};

/// Reports older than this no longer count towards the loads of services, in microseconds.
const MAX_REPORT_AGE: u64 = 3 * model::SECOND;

/// The maximum number of least loaded endpoints that are sent to routers per service.
const MAX_HINTS: usize = 4;

/// What a router reported with its last heartbeat.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct RouterReport {
    /// When the report was received.
    pub(crate) received_at: Time,
    /// The configuration revision that the router uses.
    pub(crate) revision: Revision,
    /// The epoch of the roster that the router uses.
    pub(crate) epoch: Epoch,
    /// Whether the router is shutting down.
    pub(crate) leaving: bool,
    /// The total load of the endpoints that the router owns, by service.
    pub(crate) sums: SmallVec<[LoadSum; 4]>,
}

/// The last reports of all routers.
#[derive(Clone, Default, Debug)]
pub(crate) struct RouterReports {
    reports: BTreeMap<RouterId, RouterReport>,
}

impl RouterReports {
    /// Stores the report of a router, replacing its previous one.
    pub(crate) fn insert(&mut self, router: RouterId, report: RouterReport) {
        self.reports.insert(router, report);
    }

    /// Removes the reports received before the given time.
    pub(crate) fn remove_before(&mut self, before: Time) {
        self.reports.retain(|_, it| it.received_at >= before);
    }

    /// Returns the last reports by router.
    pub(crate) fn by_router(&self) -> &BTreeMap<RouterId, RouterReport> {
        &self.reports
    }

    /// Returns the aggregated loads of all services, from recent reports.
    pub(crate) fn service_totals(&self, now: Time) -> SmallVec<[ServiceTotal; 2]> {
        let mut sums: BTreeMap<ServiceId, Vec<LoadSum>> = BTreeMap::new();
        let fresh = self.reports.values().filter(|it| now.since(it.received_at) < MAX_REPORT_AGE);
        for sum in fresh.flat_map(|it| &it.sums) {
            sums.entry(sum.service).or_default().push(*sum);
        }
        sums.into_iter().map(|(service, sums)| service_total(service, sums)).collect()
    }

    /// Returns the loads of all services, for computing the effects of a plan.
    pub(crate) fn service_loads(&self, now: Time) -> Vec<ServiceLoad> {
        let service_load =
            |it: ServiceTotal| ServiceLoad { service: it.service, sum: it.sum, count: it.count };
        self.service_totals(now).into_iter().map(service_load).collect()
    }
}

fn service_total(service: ServiceId, mut sums: Vec<LoadSum>) -> ServiceTotal {
    let sum = sums.iter().map(|it| it.sum).sum::<Work>();
    let count = sums.iter().map(|it| it.count).sum();
    sums.retain(|it| it.count > 0);
    sums.sort_by_key(|it| it.min_load);
    let hints = sums.iter().take(MAX_HINTS).map(|it| it.least_loaded).collect();
    ServiceTotal { service, sum, count, hints }
}
