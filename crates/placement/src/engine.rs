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
        }
    }

    /// The work that this router runs here.
    pub(crate) fn own(&self) -> Work {
        self.own
    }

    /// The work of others: what was handed over or what the report shows, whichever is more.
    pub(crate) fn foreign(&self) -> Work {
        self.handed.max(self.surplus)
    }

    /// The whole load.
    pub(crate) fn load(&self) -> Work {
        self.own + self.foreign()
    }

    /// How many attempts this router runs here.
    pub(crate) fn count(&self) -> usize {
        self.running.len()
    }

    /// Whether a report shows the load at or after an instant.
    pub(crate) fn reported_since(&self, at: Time) -> bool {
        self.reported.is_some_and(|it| it >= at)
    }

    pub(crate) fn start(&mut self, now: Time, key: (RequestId, AttemptNo), cost: Work) {
        self.running.push(Run { key, cost, started: now });
        self.own += cost;
    }

    /// Ends an attempt; false if it does not run here.
    pub(crate) fn end(&mut self, now: Time, key: (RequestId, AttemptNo)) -> bool {
        let Some(at) = self.running.iter().position(|it| it.key == key) else { return false };
        let run = self.running.swap_remove(at);
        self.own = self.own.less(run.cost);
        self.past.push_back(Past { cost: run.cost, started: run.started, ended: now });
        true
    }

    /// Takes off the work that an attempt has done.
    pub(crate) fn progress(&mut self, key: (RequestId, AttemptNo), left: Work) {
        if let Some(run) = self.running.iter_mut().find(|it| it.key == key) {
            let left = left.min(run.cost);
            self.own = self.own.less(run.cost.less(left));
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
        self.surplus = load.less(covered);
        self.reported = Some(from);
    }

    /// Forgets ended work that no report can cover any more.
    pub(crate) fn forget(&mut self, before: Time) {
        while self.past.front().is_some_and(|it| it.ended < before) {
            self.past.pop_front();
        }
    }
}
