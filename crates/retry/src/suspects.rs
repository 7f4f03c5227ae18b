//! Tracks requests that crash endpoints, by fingerprint.

use {
    derive_more::Debug,
    model::{Digest, EndpointId, MILLISECOND, RequestId, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// Number of different endpoints that a request crashes before it is quarantined.
pub(crate) const QUARANTINE_CRASHES: usize = 2;

/// Decision about a request, by [`SuspectTable::admit`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmitDecision {
    /// The request is not suspected and may run.
    Allow,
    /// The request crashed one endpoint: this copy may run, and no other copy until it ended or its deadline passed.
    Trial,
    /// Another copy is on trial; the caller may retry later.
    Busy {
        /// Milliseconds until the trial ends at the latest.
        retry_ms: u32,
    },
    /// The request crashed two endpoints and is refused.
    Quarantined {
        /// Milliseconds until the quarantine ends.
        retry_ms: u32,
    },
}

/// Limits of a [`SuspectTable`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SuspectLimits {
    /// Fingerprints in the table; at the limit, the one that expires first is evicted.
    pub max_entries: usize,
    /// Microseconds that a crash or a quarantine is remembered.
    pub retention: u64,
}

impl Default for SuspectLimits {
    fn default() -> SuspectLimits {
        SuspectLimits { max_entries: 16_384, retention: 600 * model::SECOND }
    }
}

/// A bounded table of suspected request fingerprints; each router has one.
///
/// Every copy of a request is first forwarded to the owner of its home, so the table of that owner records the crashes
/// of one copy before another copy runs, and holds back the others while that copy may still be retried. Crashes seen
/// by other owners, and quarantines, reach all tables through the control service; until then, a copy may run on
/// endpoints whose owner has not learned of them.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    entries: BTreeMap<Digest, Entry>,
    limits: SuspectLimits,
    /// Fingerprints quarantined by this table since the last [`SuspectTable::take_quarantined`].
    newly_quarantined: SmallVec<[Digest; 2]>,
}

#[derive(Clone, Debug)]
struct Entry {
    crashed_endpoints: SmallVec<[EndpointId; 2]>,
    quarantined: bool,
    /// The copy of the request that is on trial.
    trial_request: RequestId,
    /// When the trial ends at the latest.
    trial_until: Time,
    expires: Time,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new(limits: SuspectLimits) -> SuspectTable {
        SuspectTable { entries: BTreeMap::new(), limits, newly_quarantined: SmallVec::new() }
    }

    /// Records that an endpoint crashed while running a copy of a request. The copy is on trial until its deadline,
    /// because its entry router may retry it.
    pub fn record_local_crash(
        &mut self,
        now: Time,
        fingerprint: Digest,
        request: RequestId,
        endpoint: EndpointId,
        deadline: Time,
    ) {
        self.record_crash(now, fingerprint, endpoint);
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        if entry.trial_until <= now {
            entry.trial_request = request;
            entry.trial_until = deadline;
            entry.expires = entry.expires.max(deadline);
        }
    }

    /// Records that an endpoint crashed while running a request, without starting a trial: another router reported it.
    pub fn record_crash(&mut self, now: Time, fingerprint: Digest, endpoint: EndpointId) {
        let expires = now + self.limits.retention;
        let entry = self.entry(now, fingerprint);
        entry.expires = entry.expires.max(expires);
        if !entry.crashed_endpoints.contains(&endpoint) {
            entry.crashed_endpoints.push(endpoint);
        }
        if entry.crashed_endpoints.len() >= QUARANTINE_CRASHES && !entry.quarantined {
            entry.quarantined = true;
            self.newly_quarantined.push(fingerprint);
        }
    }

    /// Removes and returns the fingerprints that this table quarantined, to be reported to the control service.
    pub fn take_quarantined(&mut self) -> SmallVec<[Digest; 2]> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Records a quarantine that another router decided.
    pub fn quarantine(&mut self, now: Time, fingerprint: Digest, expires: Time) {
        let entry = self.entry(now, fingerprint);
        entry.quarantined = true;
        entry.expires = entry.expires.max(expires);
    }

    /// Decides whether a copy of a request that crashed `crashed_endpoints` may run until its deadline.
    ///
    /// The copy on trial is admitted again for its further attempts, identified by its request ID.
    pub fn admit(
        &mut self,
        now: Time,
        fingerprint: Digest,
        request: RequestId,
        crashed_endpoints: &[EndpointId],
        deadline: Time,
    ) -> AdmitDecision {
        crashed_endpoints.iter().for_each(|it| self.record_crash(now, fingerprint, *it));
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return AdmitDecision::Allow };
        if entry.expires <= now {
            self.entries.remove(&fingerprint);
            return AdmitDecision::Allow;
        }
        if entry.quarantined {
            return AdmitDecision::Quarantined { retry_ms: to_millis(entry.expires.since(now)) };
        }
        if entry.trial_until > now && entry.trial_request != request {
            return AdmitDecision::Busy { retry_ms: to_millis(entry.trial_until.since(now)) };
        }
        entry.trial_request = request;
        entry.trial_until = deadline;
        entry.expires = entry.expires.max(deadline);
        AdmitDecision::Trial
    }

    /// Returns the milliseconds until the quarantine of a request ends, if it is quarantined, without admitting it.
    pub fn quarantined(&self, now: Time, fingerprint: Digest) -> Option<u32> {
        let entry = self.entries.get(&fingerprint)?;
        (entry.quarantined && entry.expires > now).then(|| to_millis(entry.expires.since(now)))
    }

    /// Removes a fingerprint whose trial ended with a complete response.
    pub fn clear(&mut self, fingerprint: Digest, request: RequestId) {
        let is_trial_request = |it: &Entry| !it.quarantined && it.trial_request == request;
        if self.entries.get(&fingerprint).is_some_and(is_trial_request) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, it| it.expires > now);
    }

    /// Number of fingerprints in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&mut self, now: Time, fingerprint: Digest) -> &mut Entry {
        if self.entries.get(&fingerprint).is_some_and(|it| it.expires <= now) {
            self.entries.remove(&fingerprint);
        }
        if self.entries.len() >= self.limits.max_entries && !self.entries.contains_key(&fingerprint)
        {
            self.evict();
        }
        self.entries.entry(fingerprint).or_insert_with(|| Entry {
            crashed_endpoints: SmallVec::new(),
            quarantined: false,
            trial_request: RequestId::default(),
            trial_until: now,
            expires: now,
        })
    }

    fn evict(&mut self) {
        let earliest = self.entries.iter().min_by_key(|(_, it)| it.expires).map(|(key, _)| *key);
        earliest.and_then(|it| self.entries.remove(&it));
    }
}

fn to_millis(micros: u64) -> u32 {
    u32::try_from(micros.div_ceil(MILLISECOND)).unwrap_or(u32::MAX)
}
