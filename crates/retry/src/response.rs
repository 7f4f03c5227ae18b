//! Tracks how much of a response was delivered to the caller.

use {bytes::Bytes, derive_more::Debug};

/// Result of appending a chunk to the delivered part of a response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Append {
    /// The bytes of the chunk that directly follow the delivered prefix; empty if all of them were delivered before.
    New(Bytes),
    /// The chunk starts past the end of the delivered prefix, or came before the response head.
    Gap,
}

/// The part of a response that was delivered to the caller: the status of its head and a prefix of its body.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub(crate) struct DeliveredResponse {
    status: Option<u16>,
    length: u64,
}

impl DeliveredResponse {
    /// Number of body bytes that were delivered.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Whether the response head was delivered.
    pub(crate) fn has_head(&self) -> bool {
        self.status.is_some()
    }

    /// Accepts the head of an attempt; returns whether it is the first one, or `None` if its status class differs from
    /// that of the delivered head.
    pub(crate) fn accept_head(&mut self, status: u16) -> Option<bool> {
        match self.status {
            None => {
                self.status = Some(status);
                Some(true)
            }
            Some(first) => (first / 100 == status / 100).then_some(false),
        }
    }

    /// Accepts a chunk of the body at `offset` and returns the bytes of it that were not delivered yet.
    pub(crate) fn append(&mut self, offset: u64, bytes: Bytes) -> Append {
        if self.status.is_none() || offset > self.length {
            return Append::Gap;
        }
        let known = (self.length - offset).min(bytes.len() as u64) as usize;
        let fresh = bytes.slice(known..);
        self.length += fresh.len() as u64;
        Append::New(fresh)
    }
}
