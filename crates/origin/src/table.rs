//! The origins that a router keeps.

use {
    crate::message::{Origin, Record, StreamKey},
    derive_more::Debug,
    model::{MILLISECOND, Time},
    std::collections::{BTreeSet, HashMap},
};

/// The maximum number of origins kept. Beyond it, those that expire first are dropped.
const MAX_ORIGINS: usize = 65_536;

/// The longest time that an origin is kept, in milliseconds.
pub(crate) const MAX_KEEP_MS: u64 = 3_600_000;

#[derive(Debug)]
struct Kept {
    origin: Origin,
    expires: Time,
}

/// Origins by stream, until they expire.
#[derive(Default, Debug)]
pub(crate) struct Table {
    kept: HashMap<StreamKey, Kept>,
    expiries: BTreeSet<(Time, StreamKey)>,
}

impl Table {
    /// Keeps an origin. That of a stream that is known already stays, as it never changes.
    pub(crate) fn record(&mut self, now: Time, record: &Record) {
        self.expire(now);
        let Record { key, origin, keep_ms } = *record;
        let expires = now + keep_ms.min(MAX_KEEP_MS) * MILLISECOND;
        if let Some(kept) = self.kept.get_mut(&key) {
            if kept.origin == origin && kept.expires < expires {
                self.expiries.remove(&(kept.expires, key));
                self.expiries.insert((expires, key));
                kept.expires = expires;
            }
            return;
        }
        if self.kept.len() >= MAX_ORIGINS
            && let Some((_, first)) = self.expiries.pop_first()
        {
            self.kept.remove(&first);
        }
        self.kept.insert(key, Kept { origin, expires });
        self.expiries.insert((expires, key));
    }

    /// Returns the origin of a stream.
    pub(crate) fn get(&self, now: Time, key: StreamKey) -> Option<Record> {
        let kept = self.kept.get(&key).filter(|it| it.expires > now)?;
        Some(record(now, key, kept))
    }

    /// Returns all origins.
    pub(crate) fn records(&self, now: Time) -> impl Iterator<Item = Record> {
        let kept = self.kept.iter().filter(move |it| it.1.expires > now);
        kept.map(move |(key, it)| record(now, *key, it))
    }

    pub(crate) fn len(&self) -> usize {
        self.kept.len()
    }

    fn expire(&mut self, now: Time) {
        while let Some((_, key)) = self.expiries.first().copied().filter(|it| it.0 <= now) {
            self.expiries.pop_first();
            self.kept.remove(&key);
        }
    }
}

fn record(now: Time, key: StreamKey, kept: &Kept) -> Record {
    let keep_ms = kept.expires.since(now).div_ceil(MILLISECOND);
    Record { key, origin: kept.origin, keep_ms }
}
