//! Tracks requests that crash the endpoints that run them.
//!
//! A request is identified by its fingerprint, which stays the same when it is sent again. A
//! request that ran on [`MAX_CRASHES`] endpoints when they crashed is blocked until its record
//! expires.

use {
    derive_more::Debug,
    model::{SECOND, Time},
    std::collections::HashMap,
};

/// The number of crashes that block a request. A request that merely ran during one crash has one.
const MAX_CRASHES: usize = 2;

/// How long a fingerprint is tracked after its last crash, in microseconds. This is longer than
/// callers keep retrying.
const RECORD_TTL: u64 = 60 * SECOND;

/// The maximum number of fingerprints that are tracked.
const MAX_FINGERPRINTS: usize = 4_096;

/// The crashes recorded for one fingerprint.
#[derive(Debug)]
struct CrashRecord {
    /// Hashes of the incarnations of the endpoints that crashed.
    crashes: Vec<u64>,
    expires: Time,
}

/// The crashes recorded for each fingerprint.
#[derive(Default, Debug)]
pub struct CrashTracker {
    records: HashMap<u64, CrashRecord>,
}

impl CrashTracker {
    /// Records that an endpoint, identified by the hash of its incarnation, crashed while it ran a
    /// request. Returns whether this crash is new.
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

    /// Forgets a request's crashes because it completed.
    pub fn clear(&mut self, fingerprint: u64) {
        if !self.records.is_empty() {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns whether a request must not be sent.
    pub fn is_blocked(&self, now: Time, fingerprint: u64) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|it| now < it.expires && it.crashes.len() >= MAX_CRASHES)
    }
}
