//! Requests that take down the endpoints that run them.
//!
//! A request is known by its fingerprint: what makes it the same request when it is sent again. Each endpoint that
//! crashed while it ran one gives a strike; requests with [`MAX_STRIKES`] are refused until the last strike is old.

use {
    derive_more::Debug,
    model::{SECOND, Time},
    std::collections::HashMap,
};

/// How many crashes make a request one that is refused. A bystander of one crash has one strike.
const MAX_CRASHES: usize = 2;

/// How long a fingerprint is remembered after its last strike, in microseconds: longer than callers go on trying.
const RECORD_TTL: u64 = 60 * SECOND;

/// The most fingerprints that are remembered.
const MAX_FINGERPRINTS: usize = 4_096;

/// The strikes of one fingerprint.
#[derive(Debug)]
struct CrashRecord {
    /// Which crashes: the hash of the endpoint's incarnation.
    crashes: Vec<u64>,
    expires: Time,
}

/// The fingerprints with strikes.
#[derive(Default, Debug)]
pub struct CrashTracker {
    records: HashMap<u64, CrashRecord>,
}

impl CrashTracker {
    /// Takes note that an endpoint, known by the hash of its incarnation, crashed while it ran a request; returns
    /// whether this was not known yet.
    pub fn record_crash(&mut self, now: Time, fingerprint: u64, incarnation: u64) -> bool {
        self.records.retain(|_, it| now < it.expires);
        if self.records.len() >= MAX_FINGERPRINTS && !self.records.contains_key(&fingerprint) {
            return false;
        }
        let new_record = || CrashRecord { crashes: Vec::new(), expires: now };
        let record = self.records.entry(fingerprint).or_insert_with(new_record);
        let is_new = !record.crashes.contains(&incarnation);
        if is_new && record.crashes.len() < MAX_CRASHES {
            record.crashes.push(incarnation);
        }
        record.expires = now + RECORD_TTL;
        is_new
    }

    /// Takes note that a request ran to its end.
    pub fn clear(&mut self, fingerprint: u64) {
        if !self.records.is_empty() {
            self.records.remove(&fingerprint);
        }
    }

    /// Whether a request must not be sent.
    pub fn is_blocked(&self, now: Time, fingerprint: u64) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|it| now < it.expires && it.crashes.len() >= MAX_CRASHES)
    }
}
