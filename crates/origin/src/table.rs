//! The origins that a process keeps.

use {
    crate::message::{Origin, Record, StreamKey},
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time},
    std::collections::{BTreeMap, HashMap},
};

/// The longest time that an origin is kept, in milliseconds.
pub(crate) const MAX_KEEP_MS: u64 = 3_600_000;

/// The maximum number of different origins. A fleet has a few services with a few versions each;
/// the bound keeps the search among them short.
const MAX_DIFFERENT: usize = 1_024;

/// Stands for the origin of a stream whose attempt began streams at several versions.
const CONFLICT: u16 = u16::MAX;

/// What is kept on a stream. Replicas keep many, so this is small.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// The second of the process's clock at which this expires, rounded up.
    expires: u32,
    /// The index of the origin, or [`CONFLICT`].
    origin: u16,
    untold: Untold,
}

/// Whether replicas must be told of a stream once its service has several versions.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Untold {
    /// They must be, as it began here.
    Own,
    /// They must be, as the router at which it began may be gone by then.
    Held,
    /// They were told.
    No,
}

/// What is known of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Entry {
    /// It began once.
    Known(Record),
    /// Its attempt began streams at several versions.
    Conflict {
        /// How much longer this is of use, in milliseconds.
        keep_ms: u64,
    },
}

/// Origins by stream, until they expire.
#[derive(Debug)]
pub(crate) struct Table {
    max: usize,
    kept: HashMap<StreamKey, Kept>,
    /// The streams by the second at which they were to expire when they were recorded.
    expiries: BTreeMap<u32, Vec<StreamKey>>,
    /// The different origins with the number of streams of each.
    origins: Vec<(Origin, u32)>,
}

impl Table {
    /// Returns an empty table of at most `max` streams. Beyond it, those that expire first are
    /// dropped.
    pub(crate) fn new(max: usize) -> Table {
        Table { max, kept: HashMap::new(), expiries: BTreeMap::new(), origins: Vec::new() }
    }

    /// Keeps an origin. A second one of the same stream is a conflict, as an origin never changes.
    /// Returns whether that is new.
    pub(crate) fn record(&mut self, now: Time, record: &Record) -> bool {
        self.expire(now);
        let expires = second(now, record.keep_ms);
        if let Some(kept) = self.kept.get(&record.key).copied() {
            let is_same =
                self.origins.get(usize::from(kept.origin)).map(|it| it.0) == Some(record.origin);
            if is_same {
                self.extend(record.key, expires);
                return false;
            }
            return self.record_conflict(now, record.key, record.keep_ms);
        }
        let Some(origin) = self.intern(record.origin) else { return false };
        self.insert(record.key, Kept { expires, origin, untold: Untold::No });
        false
    }

    /// Records that an attempt began streams at several versions. Returns whether that is new.
    pub(crate) fn record_conflict(&mut self, now: Time, key: StreamKey, keep_ms: u64) -> bool {
        self.expire(now);
        let expires = second(now, keep_ms);
        let Some(kept) = self.kept.get_mut(&key) else {
            let kept = Kept { expires, origin: CONFLICT, untold: Untold::No };
            self.insert(key, kept);
            return true;
        };
        let before = std::mem::replace(&mut kept.origin, CONFLICT);
        self.release(before);
        self.extend(key, expires);
        before != CONFLICT
    }

    pub(crate) fn set_untold(&mut self, key: StreamKey, untold: Untold) {
        if let Some(kept) = self.kept.get_mut(&key) {
            kept.untold = untold;
        }
    }

    /// Returns the streams that replicas must be told of and whose origin `is_due`, those first that
    /// began here. They count as told from now on.
    pub(crate) fn take_untold<F>(&mut self, is_due: F) -> Vec<StreamKey>
    where
        F: Fn(Origin) -> bool,
    {
        let origins = &self.origins;
        let is_due = |it: &Kept| origins.get(usize::from(it.origin)).is_some_and(|it| is_due(it.0));
        let due = self.kept.iter_mut().filter(|(_, it)| it.untold != Untold::No && is_due(it));
        let due = due.map(|(key, it)| (std::mem::replace(&mut it.untold, Untold::No), *key));
        let mut due: Vec<_> = due.collect();
        due.sort_unstable();
        due.into_iter().map(|it| it.1).collect()
    }

    /// Returns what is known of a stream.
    pub(crate) fn get(&self, now: Time, key: StreamKey) -> Option<Entry> {
        self.entry(now, key, self.kept.get(&key)?)
    }

    /// Returns all streams.
    pub(crate) fn entries(&self, now: Time) -> impl Iterator<Item = (StreamKey, Entry)> {
        self.kept.iter().filter_map(move |(key, it)| Some((*key, self.entry(now, *key, it)?)))
    }

    pub(crate) fn len(&self) -> usize {
        self.kept.len()
    }

    fn entry(&self, now: Time, key: StreamKey, kept: &Kept) -> Option<Entry> {
        let expires = Time(u64::from(kept.expires) * SECOND);
        if expires <= now {
            return None;
        }
        let keep_ms = expires.since(now).div_ceil(MILLISECOND);
        let origin = self.origins.get(usize::from(kept.origin)).map(|it| it.0);
        let known = |origin| Entry::Known(Record { key, origin, keep_ms });
        Some(origin.map_or(Entry::Conflict { keep_ms }, known))
    }

    fn insert(&mut self, key: StreamKey, kept: Kept) {
        while self.kept.len() >= self.max {
            let Some(mut first) = self.expiries.first_entry() else { break };
            let (at, dropped) = (*first.key(), first.get_mut().pop());
            if first.get().is_empty() {
                first.remove();
            }
            // An extended stream is also listed at a later second.
            let is_due = |it: &&StreamKey| self.kept.get(it).is_some_and(|it| it.expires <= at);
            if let Some(key) = dropped.as_ref().filter(is_due) {
                let kept = self.kept.remove(key);
                self.release(kept.map_or(CONFLICT, |it| it.origin));
            }
        }
        self.expiries.entry(kept.expires).or_default().push(key);
        self.kept.insert(key, kept);
    }

    /// Keeps a stream for longer.
    fn extend(&mut self, key: StreamKey, expires: u32) {
        if let Some(kept) = self.kept.get_mut(&key).filter(|it| it.expires < expires) {
            kept.expires = expires;
            self.expiries.entry(expires).or_default().push(key);
        }
    }

    fn intern(&mut self, origin: Origin) -> Option<u16> {
        let same = self.origins.iter().position(|it| it.0 == origin && it.1 > 0);
        let unused = || self.origins.iter().position(|it| it.1 == 0);
        let at = same.or_else(unused).unwrap_or(self.origins.len());
        if at >= MAX_DIFFERENT {
            return None;
        }
        match self.origins.get_mut(at) {
            Some(it) => *it = (origin, it.1 + 1),
            None => self.origins.push((origin, 1)),
        }
        Some(at as u16)
    }

    fn release(&mut self, origin: u16) {
        if let Some(it) = self.origins.get_mut(usize::from(origin)) {
            it.1 -= 1;
        }
    }

    fn expire(&mut self, now: Time) {
        let second = (now.0 / SECOND) as u32;
        while let Some(first) = self.expiries.first_entry().filter(|it| *it.key() <= second) {
            for key in first.remove() {
                // It may have been extended since.
                if self.kept.get(&key).is_some_and(|it| it.expires <= second) {
                    let kept = self.kept.remove(&key);
                    self.release(kept.map_or(CONFLICT, |it| it.origin));
                }
            }
        }
    }
}

/// Returns the second of the process's clock at which something expires, rounded up.
fn second(now: Time, keep_ms: u64) -> u32 {
    let expires = now + keep_ms.min(MAX_KEEP_MS) * MILLISECOND;
    expires.0.div_ceil(SECOND) as u32
}
