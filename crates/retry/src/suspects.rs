//! Requests that crash endpoints, known by fingerprint.

use {
    derive_more::Debug,
    model::{Digest, EndpointId, MILLISECOND, RequestId, Time},
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// Deaths of different endpoints under a request before it is quarantined.
pub(crate) const STRIKES: usize = 2;

/// What may be done with a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmitDecision {
    /// It is not suspected: it may run.
    Allow,
    /// It has one strike: this copy may run, and no other until it ended or its deadline passed.
    Trial,
    /// Another copy is on trial; the caller may come back after so many milliseconds.
    Busy {
        /// Milliseconds until the trial is over at the latest.
        retry_ms: u32,
    },
    /// It crashed two endpoints; it is refused for so many milliseconds.
    Quarantined {
        /// Milliseconds until the quarantine ends.
        retry_ms: u32,
    },
}

/// How much a table of suspects remembers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SuspectLimits {
    /// Fingerprints in the table; the one that expires first makes room.
    pub entries: usize,
    /// Microseconds that a strike or a quarantine is remembered.
    pub retention: u64,
}

impl Default for SuspectLimits {
    fn default() -> SuspectLimits {
        SuspectLimits { entries: 16_384, retention: 600 * model::SECOND }
    }
}

/// A bounded table of suspected fingerprints, one at every router.
///
/// Every copy of a request passes the owner of its home first, so the table of that owner sees the strikes of one
/// copy before another runs, and holds the others off while that copy may still be tried again. Strikes that other
/// owners saw, and quarantines, come to all tables from control; until then a copy may run where nothing is known.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    entries: BTreeMap<Digest, Entry>,
    limits: SuspectLimits,
    /// Fingerprints that were quarantined here since they were last taken.
    crossed: SmallVec<[Digest; 2]>,
}

#[derive(Clone, Debug)]
struct Entry {
    strikes: SmallVec<[EndpointId; 2]>,
    quarantined: bool,
    /// The copy on trial.
    trial: RequestId,
    /// When its trial is over at the latest.
    until: Time,
    expires: Time,
}

impl SuspectTable {
    /// Returns an empty table.
    pub fn new(limits: SuspectLimits) -> SuspectTable {
        SuspectTable { entries: BTreeMap::new(), limits, crossed: SmallVec::new() }
    }

    /// Counts the death of an endpoint under a copy of a request, which holds the trial until its deadline: its entry
    /// router may try it again.
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
        if entry.until <= now {
            entry.trial = request;
            entry.until = deadline;
            entry.expires = entry.expires.max(deadline);
        }
    }

    /// Counts the death of an endpoint under a request, as another router saw it.
    pub fn record_crash(&mut self, now: Time, fingerprint: Digest, endpoint: EndpointId) {
        let expires = now + self.limits.retention;
        let entry = self.entry(now, fingerprint);
        entry.expires = entry.expires.max(expires);
        if !entry.strikes.contains(&endpoint) {
            entry.strikes.push(endpoint);
        }
        if entry.strikes.len() >= STRIKES && !entry.quarantined {
            entry.quarantined = true;
            self.crossed.push(fingerprint);
        }
    }

    /// Takes the fingerprints that were quarantined here, which control must be told.
    pub fn take_quarantined(&mut self) -> SmallVec<[Digest; 2]> {
        std::mem::take(&mut self.crossed)
    }

    /// Takes a quarantine that another router decided.
    pub fn quarantine(&mut self, now: Time, fingerprint: Digest, expires: Time) {
        let entry = self.entry(now, fingerprint);
        entry.quarantined = true;
        entry.expires = entry.expires.max(expires);
    }

    /// Says whether a copy of a request that has these strikes may run until its deadline.
    ///
    /// The copy on trial is admitted again under its own id, for its further attempts.
    pub fn admit(
        &mut self,
        now: Time,
        fingerprint: Digest,
        request: RequestId,
        strikes: &[EndpointId],
        deadline: Time,
    ) -> AdmitDecision {
        strikes.iter().for_each(|it| self.record_crash(now, fingerprint, *it));
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return AdmitDecision::Allow };
        if entry.expires <= now {
            self.entries.remove(&fingerprint);
            return AdmitDecision::Allow;
        }
        if entry.quarantined {
            return AdmitDecision::Quarantined { retry_ms: millis(entry.expires.since(now)) };
        }
        if entry.until > now && entry.trial != request {
            return AdmitDecision::Busy { retry_ms: millis(entry.until.since(now)) };
        }
        entry.trial = request;
        entry.until = deadline;
        entry.expires = entry.expires.max(deadline);
        AdmitDecision::Trial
    }

    /// Whether a request is quarantined, without admitting it; returns the milliseconds until that ends.
    pub fn quarantined(&self, now: Time, fingerprint: Digest) -> Option<u32> {
        let entry = self.entries.get(&fingerprint)?;
        (entry.quarantined && entry.expires > now).then(|| millis(entry.expires.since(now)))
    }

    /// Clears a fingerprint: its trial ended with a whole answer.
    pub fn clear(&mut self, fingerprint: Digest, request: RequestId) {
        let tried = |it: &Entry| !it.quarantined && it.trial == request;
        if self.entries.get(&fingerprint).is_some_and(tried) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Drops what expired.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, it| it.expires > now);
    }

    /// How many fingerprints are in the table.
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
        if self.entries.len() >= self.limits.entries && !self.entries.contains_key(&fingerprint) {
            self.evict();
        }
        self.entries.entry(fingerprint).or_insert_with(|| Entry {
            strikes: SmallVec::new(),
            quarantined: false,
            trial: RequestId::default(),
            until: now,
            expires: now,
        })
    }

    fn evict(&mut self) {
        let first = self.entries.iter().min_by_key(|(_, it)| it.expires).map(|(key, _)| *key);
        first.and_then(|it| self.entries.remove(&it));
    }
}

fn millis(micros: u64) -> u32 {
    u32::try_from(micros.div_ceil(MILLISECOND)).unwrap_or(u32::MAX)
}
