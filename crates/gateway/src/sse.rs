//! Splits a server-sent event stream into complete events, so that it can be resumed on another
//! endpoint after the last one.

use {
    bytes::{Bytes, BytesMut},
    derive_more::{Debug, Display, Error},
};

/// The maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub(crate) enum EventError {
    /// An event exceeds the maximum size.
    #[display("event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Events are missing after a resumption.
    #[display("missing events: event {found} follows event {last}")]
    Gap {
        /// The id of the last event forwarded.
        last: u64,
        /// The id of the next event received.
        found: u64,
    },
}

/// Buffers the events of a response, across resumptions.
#[derive(Default, Debug)]
pub(crate) struct EventBuffer {
    #[debug("{} bytes", partial.len())]
    partial: BytesMut,
    last_id: Option<u64>,
    /// Whether the next event is the first after a resumption, whose id must be checked.
    resumed: bool,
    forwarded: u64,
}

impl EventBuffer {
    /// Returns a buffer that continues after the event `last_id`, with `forwarded` events already
    /// sent to the client.
    pub(crate) fn with_progress(last_id: Option<u64>, forwarded: u64) -> EventBuffer {
        EventBuffer { last_id, forwarded, ..EventBuffer::default() }
    }

    /// Returns the id of the last event forwarded.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns how many events were forwarded.
    pub(crate) fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns the length of the incomplete event, in bytes.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the stream stopped in the middle of an event.
    pub(crate) fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Prepares for the response of another endpoint and discards the incomplete event.
    pub(crate) fn resume(&mut self) {
        self.partial.clear();
        self.resumed = true;
    }

    /// Appends bytes and returns all complete events received so far.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        // An event terminator may span the old bytes and the new ones.
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

    /// Drops an event that was forwarded before the resumption, or accepts the first new one.
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

/// Returns the end of the last complete event, at or after `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = bytes.get(from..)?;
    let lf = tail.windows(2).rposition(|it| it == b"\n\n").map(|it| from + it + 2);
    let crlf = tail.windows(4).rposition(|it| it == b"\r\n\r\n").map(|it| from + it + 4);
    lf.max(crlf)
}

/// Returns the end of the first complete event.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).position(|it| it == b"\n\n").map(|it| it + 2);
    let crlf = bytes.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Parses the number in the `id` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    str::from_utf8(line).ok()?.trim().parse().ok()
}
