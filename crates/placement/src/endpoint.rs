//! One router's record of the work that runs on one endpoint.

use {
    crate::cache::Cache,
    model::{AttemptNo, RequestId, ServiceId, Time, Work},
    smallvec::SmallVec,
    std::collections::VecDeque,
};

/// An attempt of a request that this router started.
#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    key: (RequestId, AttemptNo),
    cost: Work,
    started_at: Time,
}

/// A finished attempt, kept for as long as a load report may still include it.
#[derive(Clone, Copy, Debug)]
struct FinishedAttempt {
    cost: Work,
    started_at: Time,
    ended_at: Time,
}

/// The state of one endpoint: this router's own work, the work of other routers, and the cache
/// model.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) service: ServiceId,
    /// Whether new work may start.
    pub(crate) accepts_work: bool,
    /// When this router saw the endpoint join the service. Zero if it was already there.
    pub(crate) joined_at: Time,
    pub(crate) cache: Cache,
    running: SmallVec<[RunningAttempt; 8]>,
    finished: VecDeque<FinishedAttempt>,
    own_work: Work,
    /// The work that other routers still run here, according to control.
    handed_over: Work,
    /// The load in the last report that this router's own work does not account for.
    unattributed: Work,
    /// The time of the last report.
    last_report: Option<Time>,
    /// The load in the last report, and the part of it that was certainly this router's own work.
    last_load: (Work, Work),
    /// When the current permission to start work began, and an upper bound on the work that other
    /// routers started before then.
    ///
    /// That work only decreases, so the smallest amount that any report showed is valid.
    inherited: Option<(Time, Work)>,
    /// When the fixed share began that a report confirmed room for.
    share_confirmed: Option<Time>,
}

impl EndpointRecord {
    pub(crate) fn new(service: ServiceId, joined_at: Time, cache_tokens: u64) -> EndpointRecord {
        EndpointRecord {
            service,
            accepts_work: true,
            joined_at,
            cache: Cache::new(cache_tokens),
            running: SmallVec::new(),
            finished: VecDeque::new(),
            own_work: Work::ZERO,
            handed_over: Work::ZERO,
            unattributed: Work::ZERO,
            last_report: None,
            last_load: (Work::ZERO, Work::ZERO),
            inherited: None,
            share_confirmed: None,
        }
    }

    /// Returns the work that this router runs here.
    pub(crate) fn own_work(&self) -> Work {
        self.own_work
    }

    /// Returns an upper bound on the work of other routers: the largest of what was handed over,
    /// what the last report shows, and what is left from before the current permission began.
    pub(crate) fn other_work(&self) -> Work {
        let left = self.inherited.map_or(Work::ZERO, |it| it.1);
        self.handed_over.max(self.unattributed).max(left)
    }

    /// Returns the total load.
    pub(crate) fn load(&self) -> Work {
        self.own_work + self.other_work()
    }

    /// Returns how many attempts this router runs here.
    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns whether a report taken after `since`, when the permission to start work began, has shown
    /// what other routers still run.
    pub(crate) fn confirm_takeover(&mut self, since: Time) -> bool {
        if self.inherited.is_none_or(|it| it.0 != since) && self.has_report_since(since) {
            self.inherited = Some((since, self.last_load.0.saturating_sub(self.last_load.1)));
        }
        self.inherited.is_some_and(|it| it.0 == since)
    }

    /// Discards the inherited work, because the handovers of all other routers are known.
    pub(crate) fn confirm_handover(&mut self) -> bool {
        self.inherited = None;
        true
    }

    /// Returns whether the last report was taken at or after `at`.
    fn has_report_since(&self, at: Time) -> bool {
        self.last_report.is_some_and(|it| it >= at)
    }

    /// Returns whether the fixed share that began at `since` may be used. A report taken after
    /// `since` must have shown at most `max_others` of other routers' work. Own work beyond the
    /// share counts as other routers' work.
    pub(crate) fn confirm_share(&mut self, since: Time, share: Work, max_others: Work) -> bool {
        let (load, own_work) = self.last_load;
        if self.has_report_since(since) && load <= max_others + own_work.min(share) {
            self.share_confirmed = Some(since);
        }
        self.share_confirmed == Some(since)
    }

    pub(crate) fn start(&mut self, now: Time, key: (RequestId, AttemptNo), cost: Work) {
        self.running.push(RunningAttempt { key, cost, started_at: now });
        self.own_work += cost;
    }

    /// Ends an attempt. Returns false if it does not run here.
    pub(crate) fn finish(&mut self, now: Time, key: (RequestId, AttemptNo)) -> bool {
        let Some(at) = self.running.iter().position(|it| it.key == key) else { return false };
        let run = self.running.swap_remove(at);
        self.own_work = self.own_work.saturating_sub(run.cost);
        self.finished.push_back(FinishedAttempt {
            cost: run.cost,
            started_at: run.started_at,
            ended_at: now,
        });
        true
    }

    /// Reduces an attempt's cost to the work that is left.
    pub(crate) fn update_progress(&mut self, key: (RequestId, AttemptNo), left: Work) {
        if let Some(run) = self.running.iter_mut().find(|it| it.key == key) {
            let left = left.min(run.cost);
            self.own_work = self.own_work.saturating_sub(run.cost.saturating_sub(left));
            run.cost = left;
        }
    }

    pub(crate) fn set_handed_over(&mut self, work: Work) {
        self.handed_over = work;
    }

    /// Applies a report that shows the load at some instant between `from` and `to`.
    ///
    /// Own work that ran at any instant in between may be included in the report, so it isn't
    /// counted twice.
    pub(crate) fn apply_report(&mut self, from: Time, to: Time, load: Work) {
        if self.last_report.is_some_and(|it| it > from) {
            return;
        }
        self.finished.retain(|it| it.ended_at >= from);
        let running = self.running.iter().filter(|it| it.started_at <= to).map(|it| it.cost);
        let finished = self.finished.iter().filter(|it| it.started_at <= to).map(|it| it.cost);
        let attributable: Work = running.chain(finished).sum();
        self.unattributed = load.saturating_sub(attributable);
        let certainly_own = self.running.iter().filter(|it| it.started_at < from).map(|it| it.cost);
        self.last_load = (load, certainly_own.sum());
        // Handed-over work only decreases, so at most this much of it is left.
        let others = load.saturating_sub(self.last_load.1);
        self.handed_over = self.handed_over.min(others);
        self.inherited = self.inherited.map(|(since, left)| (since, left.min(others)));
        self.last_report = Some(from);
    }

    /// Drops finished attempts that no future report can include.
    pub(crate) fn forget_finished(&mut self, before: Time) {
        while self.finished.front().is_some_and(|it| it.ended_at < before) {
            self.finished.pop_front();
        }
    }
}
