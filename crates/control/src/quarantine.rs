//! Fingerprints of requests that crash endpoints.

use {
    derive_more::Debug,
    model::Digest,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// How long a fingerprint is refused, in milliseconds.
const QUARANTINE_MS: u64 = 600_000;

/// How many fingerprints are kept, the newest ones.
const MAX_FINGERPRINTS: usize = 10_000;

/// A fingerprint and when it is let in again.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct QuarantineEntry {
    /// Its number, from 1.
    pub(crate) number: u64,
    /// The fingerprint.
    pub(crate) fingerprint: Digest,
    /// When it is let in again, in milliseconds since 1970.
    pub(crate) expires_ms: u64,
}

/// The fingerprints that are refused.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Quarantine {
    last_number: u64,
    entries: VecDeque<QuarantineEntry>,
}

impl Quarantine {
    /// Adds a fingerprint and drops those whose time is over.
    pub(crate) fn add(&mut self, fingerprint: Digest, now_ms: u64) {
        self.entries.retain(|it| it.expires_ms > now_ms && it.fingerprint != fingerprint);
        self.last_number += 1;
        let expires_ms = now_ms.saturating_add(QUARANTINE_MS);
        self.entries.push_back(QuarantineEntry {
            number: self.last_number,
            fingerprint,
            expires_ms,
        });
        if self.entries.len() > MAX_FINGERPRINTS {
            self.entries.pop_front();
        }
    }

    /// The number of the newest entry.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the entries after a number.
    pub(crate) fn after(&self, number: u64) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.iter().filter(move |it| it.number > number)
    }
}
