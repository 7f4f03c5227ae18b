//! Records which components were disturbed when. Invariants with a time bound are checked only for undisturbed ones.

use {
    crate::plan::Component,
    derive_more::Debug,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long a disturbance may still have effects after its end, while connections are replaced and a leader is elected.
pub const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The cause of a disturbance.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Cause {
    /// A graceful stop with the restart after it, or a reload. Neither may lose requests.
    Planned,
    /// The process does not run, so that it cannot read requests.
    Down,
    /// An injected fault.
    Fault,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    cause: Cause,
    began: Instant,
    ended: Option<Instant>,
}

/// The disturbances of a run so far, by component.
#[derive(Default, Debug)]
pub struct DisturbanceLog {
    spans: HashMap<Component, Vec<Span>>,
}

impl DisturbanceLog {
    /// Records the start of a disturbance.
    pub fn begin(&mut self, component: Component, cause: Cause, now: Instant) {
        self.spans.entry(component).or_default().push(Span { cause, began: now, ended: None });
    }

    /// Records the end of the oldest ongoing disturbance with this cause.
    pub fn end(&mut self, component: Component, cause: Cause, now: Instant) {
        let spans = self.spans.entry(component).or_default();
        let open = spans.iter_mut().find(|it| it.ended.is_none() && it.cause == cause);
        if let Some(span) = open {
            span.ended = Some(now);
        }
    }

    /// Returns whether a disturbance of `component` with this cause was in progress between `from` and `to`.
    pub fn is_disturbed_by(
        &self,
        component: Component,
        cause: Cause,
        from: Instant,
        to: Instant,
    ) -> bool {
        let mut spans = self.spans.get(&component).into_iter().flatten();
        spans
            .any(|it| it.cause == cause && it.began <= to && it.ended.is_none_or(|end| end >= from))
    }

    /// Returns whether `component` was undisturbed from [`SETTLE_TIME`] before `from` until `to`.
    pub fn is_undisturbed(&self, component: Component, from: Instant, to: Instant) -> bool {
        let mut spans = self.spans.get(&component).into_iter().flatten();
        !spans.any(|it| it.began <= to && it.ended.is_none_or(|end| end + SETTLE_TIME >= from))
    }

    /// Returns whether all components selected by `predicate` were undisturbed; see
    /// [`DisturbanceLog::is_undisturbed`].
    pub fn all_undisturbed<F>(&self, from: Instant, to: Instant, mut predicate: F) -> bool
    where
        F: FnMut(Component) -> bool,
    {
        let mut components = self.spans.keys().filter(|it| predicate(**it));
        components.all(|it| self.is_undisturbed(*it, from, to))
    }
}
