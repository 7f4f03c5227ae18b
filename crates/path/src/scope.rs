//! What direct connections to a set of endpoints say about this router's path to them.

use {
    derive_more::Debug,
    model::{SECOND, Time},
    smallvec::SmallVec,
};

/// At how many endpoints connections must fail before the path to them counts as lost. If there are
/// fewer endpoints, it is all of them.
const MIN_FAILED: usize = 3;

/// How long a failed connection is remembered, in microseconds.
const FAILURE_TTL: u64 = 10 * SECOND;

/// A direct connection that failed.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    endpoint: u64,
    begun_at: Time,
}

/// Direct connections to a set of endpoints.
#[derive(Default, Debug)]
pub(crate) struct Scope {
    pub(crate) endpoints: Vec<u64>,
    /// The last attempts at endpoints that were not reached since one last was.
    failed: SmallVec<[Attempt; MIN_FAILED]>,
    /// When the connection that succeeded last was begun.
    reached_at: Option<Time>,
    /// When the path was lost, until it is regained.
    lost_at: Option<Time>,
}

impl Scope {
    pub(crate) fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns how long ago the last successful connection was begun, in microseconds.
    pub(crate) fn reached_ago(&self, now: Time) -> Option<u64> {
        self.reached_at.map(|it| now.since(it))
    }

    /// Records that an endpoint was reached over a connection begun at `begun_at`. Returns how long
    /// the path was lost, in microseconds, if it was. A connection from before the path was lost says
    /// nothing about new ones.
    pub(crate) fn record_reached(&mut self, now: Time, begun_at: Time) -> Option<u64> {
        self.reached_at = self.reached_at.max(Some(begun_at));
        self.failed.retain(|it| it.begun_at > begun_at);
        let lost_at = self.lost_at.take_if(|it| *it <= begun_at)?;
        self.failed.clear();
        Some(now.since(lost_at))
    }

    /// Records that an endpoint was not reached over a connection begun at `begun_at`. Returns whether
    /// the path is lost by that. A failure that began before the last success says nothing about the
    /// time since.
    pub(crate) fn record_failed(&mut self, now: Time, begun_at: Time, endpoint: u64) -> bool {
        if self.reached_at.is_some_and(|it| begun_at <= it) {
            return false;
        }
        let is_kept =
            |it: &Attempt| now.since(it.begun_at) < FAILURE_TTL && it.endpoint != endpoint;
        self.failed.retain(|it| is_kept(it));
        self.failed.push(Attempt { endpoint, begun_at });
        let is_lost = self.failed.len() >= MIN_FAILED.min(self.endpoints.len());
        let is_new = is_lost && self.lost_at.is_none();
        if is_new {
            self.lost_at = Some(now);
        }
        is_new
    }

    /// Replaces the endpoints.
    pub(crate) fn set_endpoints(&mut self, endpoints: Vec<u64>) {
        self.failed.retain(|it| endpoints.contains(&it.endpoint));
        if endpoints.is_empty() {
            self.lost_at = None;
        }
        self.endpoints = endpoints;
    }
}
