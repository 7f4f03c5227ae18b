//! What runs on one endpoint, as one router knows it.

use {
    crate::cache::Cache,
    model::{AttemptNo, RequestId, ServiceId, Time, Work},
    smallvec::SmallVec,
    std::collections::VecDeque,
};

/// An attempt at a request that this router started.
#[derive(Clone, Copy, Debug)]
struct Run {
    key: (RequestId, AttemptNo),
    cost: Work,
    started: Time,
}

/// An attempt that ended, kept until no report can cover it any more.
#[derive(Clone, Copy, Debug)]
struct Past {
    cost: Work,
    started: Time,
    ended: Time,
}

/// One endpoint: this router's own work, what others still run, and the model of its cache.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) service: ServiceId,
    /// Whether it may be given new work.
    pub(crate) open: bool,
    /// When it joined the service, as far as this router saw it; zero if it was there before.
    pub(crate) joined: Time,
    pub(crate) cache: Cache,
    running: SmallVec<[Run; 8]>,
    past: VecDeque<Past>,
    own: Work,
    /// What control says that other routers still run here.
    handed: Work,
    /// What the last report shows beyond this router's own work.
    surplus: Work,
    /// When the last report was taken.
    reported: Option<Time>,
    /// The load by the last report, and how much of it was surely this router's own work.
    seen: (Work, Work),
    /// The most that is left of others' work from before this instant, at which the right to start here began.
    ///
    /// It only falls, so the least that any report showed holds.
    left: Option<(Time, Work)>,
    /// The fixed share, by when it began, for which there was room.
    admitted: Option<Time>,
}

impl Engine {
    pub(crate) fn new(service: ServiceId, joined: Time, cache: u64) -> Engine {
        Engine {
            service,
            open: true,
            joined,
            cache: Cache::new(cache),
            running: SmallVec::new(),
            past: VecDeque::new(),
            own: Work::ZERO,
            handed: Work::ZERO,
            surplus: Work::ZERO,
            reported: None,
            seen: (Work::ZERO, Work::ZERO),
            left: None,
            admitted: None,
        }
    }

    /// The work that this router runs here.
    pub(crate) fn own(&self) -> Work {
        self.own
    }

    /// The work of others: what was handed over or what reports show, whichever is more.
    pub(crate) fn foreign(&self) -> Work {
        let left = self.left.map_or(Work::ZERO, |it| it.1);
        self.handed.max(self.surplus).max(left)
    }

    /// The whole load.
    pub(crate) fn load(&self) -> Work {
        self.own + self.foreign()
    }

    /// How many attempts this router runs here.
    pub(crate) fn count(&self) -> usize {
        self.running.len()
    }

    /// Whether a report taken after `since`, when the right to start here began, showed what others still run.
    pub(crate) fn takes_over(&mut self, since: Time) -> bool {
        if self.left.is_none_or(|it| it.0 != since) && self.reported_since(since) {
            self.left = Some((since, self.seen.0.saturating_sub(self.seen.1)));
        }
        self.left.is_some_and(|it| it.0 == since)
    }

    /// The hand-over of all others is known, so nothing else is left of their work.
    pub(crate) fn is_handed_over(&mut self) -> bool {
        self.left = None;
        true
    }

    /// Whether a report shows the load at or after an instant.
    fn reported_since(&self, at: Time) -> bool {
        self.reported.is_some_and(|it| it >= at)
    }

    /// Whether a fixed share that began at `since` may be used: once a report after that showed at most `most` of
    /// others' work. Own work beyond the share counts as others'.
    pub(crate) fn admits(&mut self, since: Time, share: Work, most: Work) -> bool {
        let (load, own) = self.seen;
        if self.reported_since(since) && load <= most + own.min(share) {
            self.admitted = Some(since);
        }
        self.admitted == Some(since)
    }

    pub(crate) fn start(&mut self, now: Time, key: (RequestId, AttemptNo), cost: Work) {
        self.running.push(Run { key, cost, started: now });
        self.own += cost;
    }

    /// Ends an attempt; false if it does not run here.
    pub(crate) fn end(&mut self, now: Time, key: (RequestId, AttemptNo)) -> bool {
        let Some(at) = self.running.iter().position(|it| it.key == key) else { return false };
        let run = self.running.swap_remove(at);
        self.own = self.own.saturating_sub(run.cost);
        self.past.push_back(Past { cost: run.cost, started: run.started, ended: now });
        true
    }

    /// Takes off the work that an attempt has done.
    pub(crate) fn progress(&mut self, key: (RequestId, AttemptNo), left: Work) {
        if let Some(run) = self.running.iter_mut().find(|it| it.key == key) {
            let left = left.min(run.cost);
            self.own = self.own.saturating_sub(run.cost.saturating_sub(left));
            run.cost = left;
        }
    }

    pub(crate) fn hand_over(&mut self, work: Work) {
        self.handed = work;
    }

    /// Takes a report that shows the load at some instant from `from` to `to`.
    ///
    /// Own work that ran at any instant between them may be in it, and is not counted a second time.
    pub(crate) fn report(&mut self, from: Time, to: Time, load: Work) {
        if self.reported.is_some_and(|it| it > from) {
            return;
        }
        self.past.retain(|it| it.ended >= from);
        let running = self.running.iter().filter(|it| it.started <= to).map(|it| it.cost);
        let past = self.past.iter().filter(|it| it.started <= to).map(|it| it.cost);
        let covered: Work = running.chain(past).sum();
        self.surplus = load.saturating_sub(covered);
        let certain = self.running.iter().filter(|it| it.started < from).map(|it| it.cost);
        self.seen = (load, certain.sum());
        // What was handed over only falls, so no more than this is left of it.
        let others = load.saturating_sub(self.seen.1);
        self.handed = self.handed.min(others);
        self.left = self.left.map(|(since, left)| (since, left.min(others)));
        self.reported = Some(from);
    }

    /// Forgets ended work that no report can cover any more.
    pub(crate) fn forget(&mut self, before: Time) {
        while self.past.front().is_some_and(|it| it.ended < before) {
            self.past.pop_front();
        }
    }
}
