//! The quarantine: fingerprints of requests that crash endpoints.

use {
    derive_more::Debug,
    model::Digest,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// How long requests with a quarantined fingerprint are rejected, in milliseconds.
const QUARANTINE_MS: u64 = 600_000;

/// The maximum number of fingerprints. The oldest ones are dropped first.
const MAX_FINGERPRINTS: usize = 10_000;

/// A quarantined fingerprint and its expiry.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct QuarantineEntry {
    /// The sequence number of the entry, starting at 1.
    pub(crate) number: u64,
    /// The fingerprint.
    pub(crate) fingerprint: Digest,
    /// When the entry expires, in milliseconds since the Unix epoch.
    pub(crate) expires_ms: u64,
}

/// The quarantined fingerprints.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Quarantine {
    last_number: u64,
    entries: VecDeque<QuarantineEntry>,
}

impl Quarantine {
    /// Adds a fingerprint and drops expired entries.
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

    /// Returns the sequence number of the newest entry.
    pub(crate) fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the entries with a sequence number greater than `number`.
    pub(crate) fn after(&self, number: u64) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.iter().filter(move |it| it.number > number)
    }
}
