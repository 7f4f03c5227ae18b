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
    /// The first event after a resumption has no id, so it may be anything.
    #[display("event without an id follows event {last} after a resumption")]
    Unnumbered {
        /// The id of the last event forwarded.
        last: u64,
    },
    /// The id of an event does not exceed the one before.
    #[display("event {found} follows event {last}")]
    NotIncreasing {
        /// The id of the last event forwarded.
        last: u64,
        /// The id of the next event received.
        found: u64,
    },
}

/// Buffers the events of a response, across resumptions.
///
/// Comments, blank lines and blocks without an id or data belong to the event after them. So they
/// are forwarded unchanged with it, but are no progress by themselves. After a resumption those before
/// the first event are dropped, as they may be part of an error.
#[derive(Default, Debug)]
pub(crate) struct EventBuffer {
    #[debug("{} bytes", partial.len())]
    partial: BytesMut,
    scanner: Scanner,
    last_id: Option<u64>,
    /// Whether the next event is the first after a resumption, whose id must be checked.
    resumed: bool,
    forwarded: u64,
    /// Why the events after those returned cannot be forwarded.
    failed: Option<EventError>,
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

    /// Returns why the stream cannot be forwarded any further.
    pub(crate) fn failure(&self) -> Option<EventError> {
        self.failed
    }

    /// Returns what follows the last event at the end of the stream, or `None` if the stream stopped
    /// in the middle of an event, or consists of something else than events after a resumption.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        let is_whole = self.scanner.is_between_events(&self.partial);
        self.scanner = Scanner::default();
        let rest = self.partial.split().freeze();
        match self.joins_events() {
            true => (is_whole && is_comment(&rest)).then(Bytes::new),
            false => is_whole.then_some(rest),
        }
    }

    /// Prepares for the response of another endpoint and discards the incomplete event.
    pub(crate) fn resume(&mut self) {
        self.partial.clear();
        self.scanner = Scanner::default();
        self.failed = None;
        self.resumed = true;
    }

    /// Appends bytes and returns all complete events received so far. Events before one that cannot
    /// be forwarded are returned first.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.partial.extend_from_slice(bytes);
        let (mut skipped, mut end) = (0, 0);
        while self.failed.is_none()
            && let Some(event) = self.scanner.next_event(&self.partial)
        {
            let joins = self.joins_events();
            match self.accept(event.id) {
                Ok(true) => {
                    if joins {
                        skipped = event.start;
                    }
                    end = event.end;
                }
                Ok(false) => skipped = event.end,
                Err(err) => self.failed = Some(err),
            }
        }
        let end = end.max(skipped);
        let mut events = self.partial.split_to(end);
        self.scanner.forget(end);
        let _ = events.split_to(skipped);
        if self.partial.len() > MAX_EVENT_BYTES {
            self.failed.get_or_insert(EventError::TooLong);
        }
        match self.failed {
            Some(err) if events.is_empty() => Err(err),
            _ => Ok(events.freeze()),
        }
    }

    /// Returns whether the next event is joined to those of another response.
    fn joins_events(&self) -> bool {
        self.resumed && self.forwarded > 0
    }

    /// Records an event to forward, or returns false for one that was forwarded before the
    /// resumption.
    fn accept(&mut self, id: Option<u64>) -> Result<bool, EventError> {
        if let (Some(last), None, true) = (self.last_id, id, self.resumed) {
            return Err(EventError::Unnumbered { last });
        }
        if let (Some(last), Some(found)) = (self.last_id, id) {
            match found.checked_sub(last) {
                None | Some(0) if self.resumed => return Ok(false),
                None | Some(0) => return Err(EventError::NotIncreasing { last, found }),
                Some(1) => {}
                Some(_) if self.resumed => return Err(EventError::Gap { last, found }),
                Some(_) => {}
            }
        }
        self.resumed = false;
        self.last_id = id.or(self.last_id);
        self.forwarded += 1;
        Ok(true)
    }
}

/// Returns whether a part of a stream has only comments and blank lines.
fn is_comment(bytes: &[u8]) -> bool {
    bytes.split(|it| matches!(it, b'\n' | b'\r')).all(|it| it.is_empty() || it.starts_with(b":"))
}

/// A complete event.
#[derive(Clone, Copy, Debug)]
struct Event {
    /// Where its first line starts in the buffer.
    start: usize,
    /// Where it ends in the buffer.
    end: usize,
    /// The number in its `id` line.
    id: Option<u64>,
}

/// Finds the events in a buffer, looking at each byte once.
#[derive(Default, Debug)]
struct Scanner {
    /// Where the current block starts in the buffer.
    block: usize,
    /// Where the current line starts in the buffer.
    line: usize,
    /// Where to look for the end of the line.
    searched: usize,
    /// Whether the current block has an id or data.
    is_event: bool,
    /// Whether the current block has any line.
    in_block: bool,
    id: Option<u64>,
}

impl Scanner {
    /// Returns the next event, which ends with a blank line.
    fn next_event(&mut self, buffer: &[u8]) -> Option<Event> {
        loop {
            let rest = buffer.get(self.searched..)?;
            let Some(length) = rest.iter().position(|it| *it == b'\n') else {
                self.searched = buffer.len();
                return None;
            };
            let end = self.searched + length;
            let line = &buffer[self.line..end];
            (self.line, self.searched) = (end + 1, end + 1);
            match line.strip_suffix(b"\r").unwrap_or(line) {
                b"" => {
                    let (is_event, id) = (self.is_event, self.id);
                    let start = std::mem::replace(&mut self.block, end + 1);
                    (self.is_event, self.in_block, self.id) = (false, false, None);
                    if is_event {
                        return Some(Event { start, end: end + 1, id });
                    }
                }
                line => self.read_field(line),
            }
        }
    }

    fn read_field(&mut self, line: &[u8]) {
        self.in_block = true;
        match line.split(|it| *it == b':').next() {
            Some(b"data") => self.is_event = true,
            Some(b"id") => {
                self.is_event = true;
                let value = line.get(3..).and_then(|it| str::from_utf8(it).ok());
                self.id = self.id.or(value.and_then(|it| it.trim().parse().ok()));
            }
            _ => {}
        }
    }

    /// Returns whether no event and no other block has begun.
    fn is_between_events(&self, buffer: &[u8]) -> bool {
        !self.in_block && self.line == buffer.len()
    }

    /// Continues in a buffer from which the first `length` bytes were removed, up to the end of an
    /// event.
    fn forget(&mut self, length: usize) {
        self.block = self.block.saturating_sub(length);
        self.line = self.line.saturating_sub(length);
        self.searched = self.searched.saturating_sub(length);
    }
}
