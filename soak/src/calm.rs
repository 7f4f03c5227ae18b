//! When which part of a run was disturbed: a promise with a time bound holds only for parts that were not.

use {
    crate::plan::Part,
    derive_more::Debug,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long after a disturbance a part may still feel it: connections are replaced and a leader is elected.
pub const CONTACT: Duration = Duration::from_secs(4);

/// What kind of disturbance it is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Cause {
    /// An orderly stop or a reload: no request may be lost by it.
    Planned,
    /// Anything else.
    Fault,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    cause: Cause,
    began: Instant,
    ended: Option<Instant>,
}

/// The disturbances of a run so far.
#[derive(Default, Debug)]
pub struct Calm {
    spans: HashMap<Part, Vec<Span>>,
}

impl Calm {
    /// Notes that a part is disturbed from now on.
    pub fn begin(&mut self, part: Part, cause: Cause, now: Instant) {
        self.spans.entry(part).or_default().push(Span { cause, began: now, ended: None });
    }

    /// Notes that the oldest disturbance of that kind is over.
    pub fn end(&mut self, part: Part, cause: Cause, now: Instant) {
        let spans = self.spans.entry(part).or_default();
        let open = spans.iter_mut().find(|it| it.ended.is_none() && it.cause == cause);
        if let Some(span) = open {
            span.ended = Some(now);
        }
    }

    /// Whether nothing disturbed a part between two moments and for [`CONTACT`] before; `but` names what may have.
    pub fn holds(&self, part: Part, from: Instant, to: Instant, but: Option<Cause>) -> bool {
        let spans = self.spans.get(&part).into_iter().flatten();
        let mut felt = spans.filter(|it| Some(it.cause) != but);
        !felt.any(|it| it.began <= to && it.ended.is_none_or(|end| end + CONTACT >= from))
    }

    /// Whether nothing disturbed any part of a kind; see [`Calm::holds`].
    pub fn all_hold<F>(&self, from: Instant, to: Instant, mut wanted: F) -> bool
    where
        F: FnMut(Part) -> bool,
    {
        let mut parts = self.spans.keys().filter(|it| wanted(**it));
        parts.all(|it| self.holds(*it, from, to, None))
    }
}
