//! Splitting a stream into whole events, so that it can go on at another endpoint after the last one.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Debug, Display, Error},
};

/// The longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A stream that cannot be passed on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub(crate) enum EventError {
    /// An event has no end.
    #[display("event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// After a resumption, events are missing.
    #[display("event {found} follows event {last}")]
    Gap {
        /// The last event passed on.
        last: u64,
        /// The next one that came.
        found: u64,
    },
}

/// The events of one answer, across resumptions.
#[derive(Default, Debug)]
pub(crate) struct EventBuffer {
    #[debug("{} bytes", partial.len())]
    partial: BytesMut,
    last_id: Option<u64>,
    /// Whether the next event is the first after a resumption, whose number is checked.
    resumed: bool,
    forwarded: u64,
}

impl EventBuffer {
    /// Returns events that follow `last`, of which a caller has so many.
    pub(crate) fn with_progress(last_id: Option<u64>, forwarded: u64) -> EventBuffer {
        EventBuffer { last_id, forwarded, ..EventBuffer::default() }
    }

    /// The id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// How many events were passed on.
    pub(crate) fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Whether the stream stopped in the middle of an event.
    pub(crate) fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Starts over with the answer of another endpoint; the event that was arriving is void.
    pub(crate) fn resume(&mut self) {
        self.partial.clear();
        self.resumed = true;
    }

    /// Takes bytes; returns the whole events among all bytes so far.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        // An end may lie across the old bytes and the new ones.
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial, from) else {
            let long = self.partial.len() > MAX_EVENT_BYTES;
            return if long { Err(EventError::TooLong) } else { Ok(Bytes::new()) };
        };
        let mut events = self.partial.split_to(end).freeze();
        while self.resumed && !events.is_empty() {
            self.skip_or_accept(&mut events)?;
        }
        self.record(&events);
        Ok(events)
    }

    /// Drops an event that was passed on before the resumption, or accepts the first new one.
    fn skip_or_accept(&mut self, events: &mut Bytes) -> Result<(), EventError> {
        let end = first_event_end(events).unwrap_or(events.len());
        let (Some(last), Some(found)) = (self.last_id, event_id(&events[..end])) else {
            self.resumed = false;
            return Ok(());
        };
        if found <= last {
            let _ = events.split_to(end);
        } else if found == last + 1 {
            self.resumed = false;
        } else {
            return Err(EventError::Gap { last, found });
        }
        Ok(())
    }

    fn record(&mut self, events: &[u8]) {
        let mut rest = events;
        while !rest.is_empty() {
            let end = first_event_end(rest).unwrap_or(rest.len());
            let (event, after) = rest.split_at(end);
            self.last_id = event_id(event).or(self.last_id);
            self.forwarded += 1;
            rest = after;
        }
    }
}

/// The end of the last whole event, at or after `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = bytes.get(from..)?;
    let lf = tail.windows(2).rposition(|it| it == b"\n\n").map(|it| from + it + 2);
    let crlf = tail.windows(4).rposition(|it| it == b"\r\n\r\n").map(|it| from + it + 4);
    lf.max(crlf)
}

/// The end of the first whole event.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|it| it == b"\n\n").map(|it| it + 2);
    let crlf = bytes.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// The number in the `id` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    str::from_utf8(line).ok()?.trim().parse().ok()
}
