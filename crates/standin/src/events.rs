//! Cache events, published late and with gaps.

use {
    serde::Serialize,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const KEPT: usize = 4_096;

/// What happened to a cache.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum EventKind {
    /// The prefix of a request's chat is held.
    Stored,
    /// Prefixes were evicted to make room for a request's.
    Evicted,
}

/// One cache event.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    seq: u64,
    kind: EventKind,
    request: String,
    tokens: u64,
}

/// The events of one engine.
#[derive(Debug)]
pub(crate) struct Events {
    delay: Duration,
    gap: u64,
    next: u64,
    kept: VecDeque<(Instant, Event)>,
}

impl Events {
    /// Returns a log whose events show after `delay_ms`; each `gap`th is never shown, none if zero.
    pub(crate) fn new(delay_ms: u64, gap: u64) -> Events {
        Events { delay: Duration::from_millis(delay_ms), gap, next: 0, kept: VecDeque::new() }
    }

    pub(crate) fn push(&mut self, kind: EventKind, request: &str, tokens: u64) {
        self.next += 1;
        if self.gap > 0 && self.next.is_multiple_of(self.gap) {
            return;
        }
        let event = Event { seq: self.next, kind, request: request.to_owned(), tokens };
        self.kept.push_back((Instant::now() + self.delay, event));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// Returns the events that show by now, after the number `after`.
    pub(crate) fn after(&self, after: u64) -> Vec<Event> {
        let now = Instant::now();
        let shown = self.kept.iter().filter(|(at, it)| *at <= now && it.seq > after);
        shown.map(|(_, it)| it.clone()).collect()
    }
}
