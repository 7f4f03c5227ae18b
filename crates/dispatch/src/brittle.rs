//! Endpoints that fail if they have to reject too many requests.
//!
//! What other routers send to an endpoint is known late. While an endpoint is brittle, each router
//! uses a fixed part of its slots, so that all of them together do not exceed them. If there are more
//! routers than slots, each may send one request, and one that was rejected stays away until the
//! others had their share of the rejections.

use {
    derive_more::Debug,
    model::{SECOND, Time},
};

/// How long a router stays away at least after a rejection, in microseconds.
const MIN_PAUSE: u64 = SECOND;

/// How long it stays away at most, in microseconds.
const MAX_PAUSE: u64 = 30 * SECOND;

/// The lowest rate of rejections that a pause is computed from, per second.
const MIN_RATE: f64 = 0.1;

/// How many rejections an endpoint bears.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct Brittle {
    /// The rejections per second of all routers. `None` if the endpoint bears any number.
    rate: Option<f64>,
}

impl Brittle {
    /// Records what the endpoint said. Returns whether it is new.
    pub(crate) fn record(&mut self, rate: Option<f64>) -> bool {
        std::mem::replace(&mut self.rate, rate) != rate
    }

    /// Returns how many requests one of `routers` may have at an endpoint with this many slots.
    pub(crate) fn max_requests(&self, slots: u32, routers: usize) -> Option<u32> {
        self.rate.map(|_| (slots / u32::try_from(routers).unwrap_or(u32::MAX).max(1)).max(1))
    }

    /// Returns until when one of `routers` that was rejected stays away.
    pub(crate) fn closed_until(&self, now: Time, routers: usize) -> Option<Time> {
        let share = self.rate?.max(MIN_RATE) / routers.max(1) as f64;
        let pause = (SECOND as f64 / share) as u64;
        Some(now + pause.clamp(MIN_PAUSE, MAX_PAUSE))
    }
}
