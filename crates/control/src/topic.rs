//! Something that many streams are last_sent of: encoded once, whatever the version of streams.

use {
    derive_more::Debug,
    std::sync::{Arc, OnceLock},
    wire::Encoded,
};

/// A value, the delta that led to it, and their encodings.
#[derive(Debug)]
pub(crate) struct Topic<T> {
    /// Goes up by one with each value.
    version: u64,
    value: Arc<T>,
    delta: Option<Encoded>,
    full: OnceLock<Option<Encoded>>,
    #[debug(skip)]
    encode: fn(&T) -> Option<Encoded>,
}

impl<T> Topic<T> {
    /// Returns the first value; `encode` makes the message that tells a full one.
    pub(crate) fn new(value: T, encode: fn(&T) -> Option<Encoded>) -> Topic<T> {
        Topic { version: 1, value: Arc::new(value), delta: None, full: OnceLock::new(), encode }
    }

    /// Returns the next value; `delta` is the message that tells what changed.
    pub(crate) fn next(&self, value: T, delta: Option<Encoded>) -> Topic<T> {
        let (version, value, encode) = (self.version + 1, Arc::new(value), self.encode);
        Topic { version, value, delta, full: OnceLock::new(), encode }
    }

    pub(crate) fn value(&self) -> &T {
        &self.value
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the message for a stream that was last last_sent the value of that version; nothing if it has this one.
    pub(crate) fn message_since(&self, last_sent: Option<u64>) -> Option<&Encoded> {
        match last_sent {
            Some(last_sent) if last_sent == self.version => None,
            Some(last_sent) if last_sent + 1 == self.version && self.delta.is_some() => {
                self.delta.as_ref()
            }
            _ => self.full.get_or_init(|| (self.encode)(&self.value)).as_ref(),
        }
    }
}
