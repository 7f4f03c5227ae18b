//! A versioned value that is sent to many streams but encoded only once.

use {
    derive_more::Debug,
    std::sync::{Arc, OnceLock},
    wire::Encoded,
};

/// A value, with the encoded message of the full value and of the delta from its predecessor.
#[derive(Debug)]
pub(crate) struct Topic<T> {
    /// Increases by one with each value.
    version: u64,
    value: Arc<T>,
    delta: Option<Encoded>,
    full: OnceLock<Option<Encoded>>,
    #[debug(skip)]
    encode: fn(&T) -> Option<Encoded>,
}

impl<T> Topic<T> {
    /// Creates the topic of a first value. `encode` builds the message with the full value.
    pub(crate) fn new(value: T, encode: fn(&T) -> Option<Encoded>) -> Topic<T> {
        Topic { version: 1, value: Arc::new(value), delta: None, full: OnceLock::new(), encode }
    }

    /// Returns the topic of the next value. `delta` is the message with the changes from this one.
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

    /// Returns the message for a stream that was last sent the version `last_sent`, or `None` if it is up to date.
    pub(crate) fn message_since(&self, last_sent: Option<u64>) -> Option<&Encoded> {
        match last_sent {
            Some(sent) if sent == self.version => None,
            Some(sent) if sent + 1 == self.version && self.delta.is_some() => self.delta.as_ref(),
            _ => self.full.get_or_init(|| (self.encode)(&self.value)).as_ref(),
        }
    }
}
