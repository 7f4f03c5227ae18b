//! The memory that the bodies of requests take together.

use {
    derive_more::Debug,
    model::{SECOND, Time},
    parking_lot::Mutex,
    smallvec::SmallVec,
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// The memory for bodies of a process, shared by its listeners.
pub type SharedUploads = Arc<Mutex<Uploads>>;

/// How long a body is received before it may have to give way, in microseconds.
const MIN_AGE_US: u64 = SECOND;

/// How long nothing of a body arrives until it counts as stalled, in microseconds.
const STALL_US: u64 = SECOND;

/// Identifies a body that is being received.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct UploadId(u64);

/// Whether a body may take more memory.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Growth {
    /// It may, and the memory is counted.
    Granted,
    /// Not yet: other bodies give way to it, whose readers must look whether they are evicted.
    Evicting,
    /// There is no memory, and no body has to give way to this one.
    Refused,
    /// This body has to give way to another one.
    Evicted,
}

/// A body that is being received.
#[derive(Clone, Copy, Debug)]
struct Receiving {
    held: usize,
    began_at: Time,
    progress_at: Time,
    is_evicted: bool,
}

impl Receiving {
    /// Returns the order in which bodies give way: first stalled ones, the longest stalled first, then the slowest.
    fn rank(&self, now: Time) -> (bool, Reverse<u64>, u64) {
        let silent_us = now.since(self.progress_at);
        let is_stalled = silent_us >= STALL_US;
        let bytes_per_second = self.held as u64 * SECOND / now.since(self.began_at).max(1);
        (!is_stalled, Reverse(if is_stalled { silent_us } else { 0 }), bytes_per_second)
    }
}

/// The memory that all bodies of requests take together, from their first byte until they are dropped.
///
/// A body may take no more than it leaves free. So the largest ones are refused first, and however many there are,
/// there is memory left for a smaller one.
#[derive(Debug)]
pub struct Uploads {
    limit: usize,
    used: usize,
    next: u64,
    receiving: BTreeMap<UploadId, Receiving>,
}

impl Uploads {
    /// Returns memory of `limit` bytes.
    pub fn new(limit: usize) -> Uploads {
        Uploads { limit, used: 0, next: 0, receiving: BTreeMap::new() }
    }

    /// Returns memory of `limit` bytes for several listeners.
    pub fn shared(limit: usize) -> SharedUploads {
        Arc::new(Mutex::new(Uploads::new(limit)))
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Starts to receive a body.
    pub fn begin(&mut self, now: Time) -> UploadId {
        let id = UploadId(self.next);
        self.next += 1;
        let receiving = Receiving { held: 0, began_at: now, progress_at: now, is_evicted: false };
        self.receiving.insert(id, receiving);
        id
    }

    /// Records that a part of a body has arrived. Returns whether the body may still be received.
    pub fn progress(&mut self, now: Time, id: UploadId) -> bool {
        let Some(upload) = self.receiving.get_mut(&id) else { return false };
        upload.progress_at = now;
        !upload.is_evicted
    }

    /// Returns whether a body that is being received has to give way.
    pub fn is_evicted(&self, id: UploadId) -> bool {
        self.receiving.get(&id).is_none_or(|it| it.is_evicted)
    }

    /// Asks for `bytes` more for a body that is being received.
    pub fn grow(&mut self, now: Time, id: UploadId, bytes: usize) -> Growth {
        let Some(upload) = self.receiving.get(&id) else { return Growth::Evicted };
        if upload.is_evicted {
            return Growth::Evicted;
        }
        let held = upload.held;
        let missing = (held + bytes + self.used + bytes).saturating_sub(self.limit);
        if missing > 0 {
            let makes_room = held + 2 * bytes <= self.limit && self.evict(now, id, missing);
            return if makes_room { Growth::Evicting } else { Growth::Refused };
        }
        self.used += bytes;
        self.receiving.entry(id).and_modify(|it| it.held += bytes);
        Growth::Granted
    }

    /// Lets other bodies give way until `missing` bytes are free. Returns whether that suffices; if not, none does.
    fn evict(&mut self, now: Time, asking: UploadId, missing: usize) -> bool {
        let leaving = self.receiving.values().filter(|it| it.is_evicted).map(|it| it.held);
        let mut freed: usize = leaving.sum();
        let may_leave = |id: UploadId, it: &Receiving| {
            id != asking && !it.is_evicted && it.held > 0 && now.since(it.began_at) >= MIN_AGE_US
        };
        let candidates = self.receiving.iter().filter(|(id, it)| may_leave(**id, it));
        let mut candidates: Vec<_> =
            candidates.map(|(id, it)| (it.rank(now), *id, it.held)).collect();
        candidates.sort_unstable();
        let mut chosen: SmallVec<[UploadId; 8]> = SmallVec::new();
        for (_, id, held) in candidates {
            if freed >= missing {
                break;
            }
            freed += held;
            chosen.push(id);
        }
        if freed < missing {
            return false;
        }
        for id in chosen {
            self.receiving.entry(id).and_modify(|it| it.is_evicted = true);
        }
        true
    }

    /// Ends the reception of a body. What it holds, in bytes, is returned and stays in use until [`Uploads::release`].
    pub fn end(&mut self, id: UploadId) -> usize {
        self.receiving.remove(&id).map_or(0, |it| it.held)
    }

    /// Asks for `bytes` more for a body of `held` bytes that was received. Returns whether they are granted.
    pub fn extend(&mut self, held: usize, bytes: usize) -> bool {
        let is_granted = held + bytes + self.used + bytes <= self.limit;
        if is_granted {
            self.used += bytes;
        }
        is_granted
    }

    /// Counts `bytes` that are held in any case, such as those of a connection.
    pub fn charge(&mut self, bytes: usize) {
        self.used += bytes;
    }

    /// Returns memory of bodies that were received.
    pub fn release(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }
}
