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
pub(crate) struct Events {
    #[debug("{} bytes", partial.len())]
    partial: BytesMut,
    last: Option<u64>,
    /// Whether the next event is the first after a resumption, whose number is checked.
    resumed: bool,
    passed: u64,
}

impl Events {
    /// Returns events that follow `last`, of which a caller has so many.
    pub(crate) fn after(last: Option<u64>, passed: u64) -> Events {
        Events { last, passed, ..Events::default() }
    }

    /// The id of the last event that was passed on.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// How many events were passed on.
    pub(crate) fn passed(&self) -> u64 {
        self.passed
    }

    /// Whether the stream stopped in the middle of an event.
    pub(crate) fn is_torn(&self) -> bool {
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
        let Some(end) = last_end(&self.partial, from) else {
            let long = self.partial.len() > MAX_EVENT_BYTES;
            return if long { Err(EventError::TooLong) } else { Ok(Bytes::new()) };
        };
        let mut whole = self.partial.split_to(end).freeze();
        while self.resumed && !whole.is_empty() {
            self.check_first(&mut whole)?;
        }
        self.note(&whole);
        Ok(whole)
    }

    /// Drops an event that was passed on before the resumption, or accepts the first new one.
    fn check_first(&mut self, whole: &mut Bytes) -> Result<(), EventError> {
        let end = first_end(whole).unwrap_or(whole.len());
        let (Some(last), Some(found)) = (self.last, id_of(&whole[..end])) else {
            self.resumed = false;
            return Ok(());
        };
        if found <= last {
            let _ = whole.split_to(end);
        } else if found == last + 1 {
            self.resumed = false;
        } else {
            return Err(EventError::Gap { last, found });
        }
        Ok(())
    }

    fn note(&mut self, whole: &[u8]) {
        let mut rest = whole;
        while !rest.is_empty() {
            let end = first_end(rest).unwrap_or(rest.len());
            let (event, after) = rest.split_at(end);
            self.last = id_of(event).or(self.last);
            self.passed += 1;
            rest = after;
        }
    }
}

/// The end of the last whole event, at or after `from`.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = bytes.get(from..)?;
    let plain = tail.windows(2).rposition(|it| it == b"\n\n").map(|it| from + it + 2);
    let carriage = tail.windows(4).rposition(|it| it == b"\r\n\r\n").map(|it| from + it + 4);
    plain.max(carriage)
}

/// The end of the first whole event.
fn first_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|it| it == b"\n\n").map(|it| it + 2);
    let carriage = bytes.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
    match (plain, carriage) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// The number in the `id` line of an event.
fn id_of(event: &[u8]) -> Option<u64> {
    let line = event.split(|it| *it == b'\n').find_map(|it| it.strip_prefix(b"id:"))?;
    str::from_utf8(line).ok()?.trim().parse().ok()
}
