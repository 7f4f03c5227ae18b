//! The part of an answer that the caller has.

use {bytes::Bytes, derive_more::Debug};

/// Whether a part of the answer fits what the caller has.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Fit {
    /// These bytes are new and next; possibly none.
    Next(Bytes),
    /// Bytes before it are missing, or it contradicts what came before.
    Gap,
}

/// What the caller has of the answer: the head's status and a prefix of the body.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub(crate) struct Answer {
    status: Option<u16>,
    length: u64,
}

impl Answer {
    /// Bytes of the body that the caller has.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Whether the caller has the head.
    pub(crate) fn begun(&self) -> bool {
        self.status.is_some()
    }

    /// Takes a head; returns whether it is the first, or nothing if it contradicts the head that the caller has.
    pub(crate) fn head(&mut self, status: u16) -> Option<bool> {
        match self.status {
            None => {
                self.status = Some(status);
                Some(true)
            }
            Some(first) => (first / 100 == status / 100).then_some(false),
        }
    }

    /// Takes a part of the body and returns what of it is new.
    pub(crate) fn part(&mut self, offset: u64, bytes: Bytes) -> Fit {
        if self.status.is_none() || offset > self.length {
            return Fit::Gap;
        }
        let known = (self.length - offset).min(bytes.len() as u64) as usize;
        let fresh = bytes.slice(known..);
        self.length += fresh.len() as u64;
        Fit::Next(fresh)
    }
}
