//! Something that many streams are told of: encoded once, whatever the number of streams.

use {
    derive_more::Debug,
    std::sync::{Arc, OnceLock},
    wire::Encoded,
};

/// A value, the step that led to it, and their encodings.
#[derive(Debug)]
pub(crate) struct Topic<T> {
    /// Goes up by one with each value.
    number: u64,
    value: Arc<T>,
    step: Option<Encoded>,
    whole: OnceLock<Option<Encoded>>,
    #[debug(skip)]
    encode: fn(&T) -> Option<Encoded>,
}

impl<T> Topic<T> {
    /// Returns the first value; `encode` makes the message that tells a whole one.
    pub(crate) fn first(value: T, encode: fn(&T) -> Option<Encoded>) -> Topic<T> {
        Topic { number: 1, value: Arc::new(value), step: None, whole: OnceLock::new(), encode }
    }

    /// Returns the next value; `step` is the message that tells what changed.
    pub(crate) fn next(&self, value: T, step: Option<Encoded>) -> Topic<T> {
        let (number, value, encode) = (self.number + 1, Arc::new(value), self.encode);
        Topic { number, value, step, whole: OnceLock::new(), encode }
    }

    pub(crate) fn value(&self) -> &T {
        &self.value
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the message for a stream that was last told the value of that number; nothing if it has this one.
    pub(crate) fn news(&self, told: Option<u64>) -> Option<&Encoded> {
        match told {
            Some(told) if told == self.number => None,
            Some(told) if told + 1 == self.number && self.step.is_some() => self.step.as_ref(),
            _ => self.whole.get_or_init(|| (self.encode)(&self.value)).as_ref(),
        }
    }
}
