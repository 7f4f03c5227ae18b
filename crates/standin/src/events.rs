//! Prompt cache events, published with a delay and with simulated losses.

use {
    serde::Serialize,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const MAX_EVENTS: usize = 4_096;

/// The kind of a cache event.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum EventKind {
    /// The prefix of a request's chat was stored.
    Stored,
    /// Prefixes were evicted to make room for a request's chat.
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

/// The event log of one engine.
#[derive(Debug)]
pub(crate) struct Events {
    delay: Duration,
    drop_every: u64,
    next: u64,
    entries: VecDeque<(Instant, Event)>,
}

impl Events {
    /// Returns a log whose events become visible after `delay_ms`. Every `drop_every`th event is lost; none if zero.
    pub(crate) fn new(delay_ms: u64, drop_every: u64) -> Events {
        Events {
            delay: Duration::from_millis(delay_ms),
            drop_every,
            next: 0,
            entries: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, kind: EventKind, request: &str, tokens: u64) {
        self.next += 1;
        if self.drop_every > 0 && self.next.is_multiple_of(self.drop_every) {
            return;
        }
        let event = Event { seq: self.next, kind, request: request.to_owned(), tokens };
        self.entries.push_back((Instant::now() + self.delay, event));
        if self.entries.len() > MAX_EVENTS {
            self.entries.pop_front();
        }
    }

    /// Returns the events that are visible by now and have a sequence number above `after`.
    pub(crate) fn after(&self, after: u64) -> Vec<Event> {
        let now = Instant::now();
        let visible = self.entries.iter().filter(|(at, it)| *at <= now && it.seq > after);
        visible.map(|(_, it)| it.clone()).collect()
    }
}
