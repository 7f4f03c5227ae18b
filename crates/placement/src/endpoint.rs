//! What runs on one endpoint, as one router knows it.

use {
    crate::cache::Cache,
    model::{AttemptNo, RequestId, ServiceId, Time, Work},
    smallvec::SmallVec,
    std::collections::VecDeque,
};

/// An attempt at a request that this router started.
#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    key: (RequestId, AttemptNo),
    cost: Work,
    started_at: Time,
}

/// An attempt that ended, kept until no report can cover it any more.
#[derive(Clone, Copy, Debug)]
struct FinishedAttempt {
    cost: Work,
    started_at: Time,
    ended_at: Time,
}

/// One endpoint: this router's own work, what others still run, and the model of its cache.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) service: ServiceId,
    /// Whether it may be given new work.
    pub(crate) accepts_work: bool,
    /// When it joined the service, as far as this router saw it; zero if it was there before.
    pub(crate) joined_at: Time,
    pub(crate) cache: Cache,
    running: SmallVec<[RunningAttempt; 8]>,
    finished: VecDeque<FinishedAttempt>,
    own_work: Work,
    /// What control says that other routers still run here.
    handed_over: Work,
    /// What the last report shows beyond this router's own work.
    unattributed: Work,
    /// When the last report was taken.
    last_report: Option<Time>,
    /// The load by the last report, and how much of it was surely this router's own work.
    last_load: (Work, Work),
    /// The most that is left of others' work from before this instant, at which the right to start here began.
    ///
    /// It only falls, so the least that any report showed holds.
    inherited: Option<(Time, Work)>,
    /// The fixed share, by when it began, for which there was room.
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

    /// The work that this router runs here.
    pub(crate) fn own_work(&self) -> Work {
        self.own_work
    }

    /// The work of others: what was handed over or what reports show, whichever is more.
    pub(crate) fn other_work(&self) -> Work {
        let left = self.inherited.map_or(Work::ZERO, |it| it.1);
        self.handed_over.max(self.unattributed).max(left)
    }

    /// The whole load.
    pub(crate) fn load(&self) -> Work {
        self.own_work + self.other_work()
    }

    /// How many attempts this router runs here.
    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Whether a report taken after `since`, when the right to start here began, showed what others still run.
    pub(crate) fn confirm_takeover(&mut self, since: Time) -> bool {
        if self.inherited.is_none_or(|it| it.0 != since) && self.has_report_since(since) {
            self.inherited = Some((since, self.last_load.0.less(self.last_load.1)));
        }
        self.inherited.is_some_and(|it| it.0 == since)
    }

    /// The hand-over of all others is known, so nothing else is left of their work.
    pub(crate) fn confirm_handover(&mut self) -> bool {
        self.inherited = None;
        true
    }

    /// Whether a report shows the load at or after an instant.
    fn has_report_since(&self, at: Time) -> bool {
        self.last_report.is_some_and(|it| it >= at)
    }

    /// Whether a fixed share that began at `since` may be used: once a report after that showed at most `most` of
    /// others' work. Own work beyond the share counts as others'.
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

    /// Ends an attempt; false if it does not run here.
    pub(crate) fn finish(&mut self, now: Time, key: (RequestId, AttemptNo)) -> bool {
        let Some(at) = self.running.iter().position(|it| it.key == key) else { return false };
        let run = self.running.swap_remove(at);
        self.own_work = self.own_work.less(run.cost);
        self.finished.push_back(FinishedAttempt {
            cost: run.cost,
            started_at: run.started_at,
            ended_at: now,
        });
        true
    }

    /// Takes off the work that an attempt has done.
    pub(crate) fn update_progress(&mut self, key: (RequestId, AttemptNo), left: Work) {
        if let Some(run) = self.running.iter_mut().find(|it| it.key == key) {
            let left = left.min(run.cost);
            self.own_work = self.own_work.less(run.cost.less(left));
            run.cost = left;
        }
    }

    pub(crate) fn set_handed_over(&mut self, work: Work) {
        self.handed_over = work;
    }

    /// Takes a report that shows the load at some instant from `from` to `to`.
    ///
    /// Own work that ran at any instant between them may be in it, and is not counted a second time.
    pub(crate) fn apply_report(&mut self, from: Time, to: Time, load: Work) {
        if self.last_report.is_some_and(|it| it > from) {
            return;
        }
        self.finished.retain(|it| it.ended_at >= from);
        let running = self.running.iter().filter(|it| it.started_at <= to).map(|it| it.cost);
        let finished = self.finished.iter().filter(|it| it.started_at <= to).map(|it| it.cost);
        let attributable: Work = running.chain(finished).sum();
        self.unattributed = load.less(attributable);
        let certainly_own = self.running.iter().filter(|it| it.started_at < from).map(|it| it.cost);
        self.last_load = (load, certainly_own.sum());
        // What was handed over only falls, so no more than this is left of it.
        let others = load.less(self.last_load.1);
        self.handed_over = self.handed_over.min(others);
        self.inherited = self.inherited.map(|(since, left)| (since, left.min(others)));
        self.last_report = Some(from);
    }

    /// Forgets ended work that no report can cover any more.
    pub(crate) fn forget_finished(&mut self, before: Time) {
        while self.finished.front().is_some_and(|it| it.ended_at < before) {
            self.finished.pop_front();
        }
    }
}
