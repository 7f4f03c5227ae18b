//! Open connections, and which one has to give way to another.

use {
    derive_more::Debug,
    model::{SECOND, Time},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// How long a client may take for a request, or read nothing, before its connection gives way before those that are idle,
/// in microseconds.
const PATIENCE_US: u64 = 3 * SECOND;

/// The share of the limit by which connections that give way may exceed it, in percent; one at least.
const LEAVING_PERCENT: usize = 10;

/// Identifies an open connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId(u64);

/// What a connection waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// The client's first request.
    Opening,
    /// The rest of a request.
    Receiving,
    /// The response to a request.
    Busy,
    /// The client's next request.
    Idle,
    /// The client to read what was sent to it.
    Stalled,
}

/// What happens to a connection that gives way to a new one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Displaced<H> {
    /// It must be closed at once.
    Evicted(H),
    /// It must be closed after the response to its request.
    Retired(H),
}

/// The result of opening a connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Opened<H> {
    /// The new connection.
    pub id: ConnectionId,
    /// The handle of the connection that gives way to it.
    pub displaced: Option<Displaced<H>>,
}

#[derive(Debug)]
struct Entry<H> {
    phase: Phase,
    since: Time,
    is_retired: bool,
    #[debug(skip)]
    handle: H,
}

/// The open connections of a listener, each with a handle by which it can be told to close.
///
/// If there are too many, a connection that makes no progress gives way to a new one: first one whose client takes long
/// for a request or reads nothing of its response, then an idle one, each time the one that waits for longest. If the
/// requests of all are being answered, the oldest connection is retired, unless that is not wanted.
#[derive(Debug)]
pub struct Connections<H> {
    limit: usize,
    /// Whether a connection gives way whose request is being answered.
    retires: bool,
    next: u64,
    open: BTreeMap<ConnectionId, Entry<H>>,
    retired: usize,
    /// The number of connections that were evicted and are still open.
    evicted: usize,
}

impl<H> Connections<H>
where
    H: Clone,
{
    /// Returns a set that admits `limit` connections, and a few more while others give way to them.
    pub fn new(limit: usize) -> Connections<H> {
        Connections { limit, retires: true, next: 0, open: BTreeMap::new(), retired: 0, evicted: 0 }
    }

    /// Returns a set in which no connection gives way while its requests are being answered.
    pub fn without_retirement(limit: usize) -> Connections<H> {
        Connections { retires: false, ..Connections::new(limit) }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len() + self.evicted
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a connection whose client has sent nothing yet. Returns `None` if it must be closed instead, because no other
    /// may give way.
    pub fn open(&mut self, now: Time, handle: H) -> Option<Opened<H>> {
        let mut displaced = None;
        if self.open.len() - self.retired >= self.limit {
            let max_leaving = (self.limit * LEAVING_PERCENT / 100).max(1);
            let has_room = self.len() < self.limit + max_leaving;
            let waiting = self.longest_waiting(now).filter(|_| self.evicted < max_leaving);
            displaced = match waiting {
                Some(id) => self.evict(id).map(Displaced::Evicted),
                None if has_room && self.retires => self.retire_oldest().map(Displaced::Retired),
                None => None,
            };
            displaced.as_ref()?;
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        let entry = Entry { phase: Phase::Opening, since: now, is_retired: false, handle };
        self.open.insert(id, entry);
        Some(Opened { id, displaced })
    }

    fn longest_waiting(&self, now: Time) -> Option<ConnectionId> {
        let ranked = self.open.iter().filter_map(|(id, it)| {
            let waited_us = now.since(it.since);
            let is_late = waited_us >= PATIENCE_US;
            let rank = match it.phase {
                Phase::Opening | Phase::Receiving | Phase::Stalled if is_late => 0,
                Phase::Idle => 1,
                Phase::Opening | Phase::Receiving => 2,
                Phase::Busy | Phase::Stalled => return None,
            };
            Some((rank, Reverse(waited_us), *id))
        });
        ranked.min().map(|it| it.2)
    }

    fn evict(&mut self, id: ConnectionId) -> Option<H> {
        let entry = self.remove(id)?;
        self.evicted += 1;
        Some(entry.handle)
    }

    fn retire_oldest(&mut self) -> Option<H> {
        let oldest = self.open.values_mut().find(|it| !it.is_retired)?;
        oldest.is_retired = true;
        self.retired += 1;
        Some(oldest.handle.clone())
    }

    fn remove(&mut self, id: ConnectionId) -> Option<Entry<H>> {
        let entry = self.open.remove(&id)?;
        self.retired -= usize::from(entry.is_retired);
        Some(entry)
    }

    /// Records what a connection waits for now.
    pub fn enter(&mut self, now: Time, id: ConnectionId, phase: Phase) {
        if let Some(entry) = self.open.get_mut(&id) {
            entry.phase = phase;
            entry.since = now;
        }
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: ConnectionId) {
        if self.remove(id).is_none() {
            self.evicted = self.evicted.saturating_sub(1);
        }
    }
}
