//! Token buckets of requests.

use {
    derive_more::Debug,
    model::{SECOND, Time},
};

/// This router's part of a number of requests per second that all routers share.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct Bucket {
    /// This router's requests per second.
    share: f64,
    /// The requests that this router may send at one moment.
    capacity: f64,
    tokens: f64,
    refilled_at: Time,
}

impl Bucket {
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    pub(crate) fn set_share(&mut self, now: Time, share: f64, capacity: f64) {
        self.refill(now);
        (self.share, self.capacity) = (share, capacity);
        self.tokens = self.tokens.min(capacity);
    }

    /// Sets the allowance. If it is negative, the first request is allowed later than after an empty
    /// bucket was refilled.
    pub(crate) fn set_tokens(&mut self, now: Time, tokens: f64) {
        (self.tokens, self.refilled_at) = (tokens, now);
    }

    fn refill(&mut self, now: Time) {
        let seconds = now.since(self.refilled_at) as f64 / SECOND as f64;
        self.tokens = (self.tokens + seconds * self.share).min(self.capacity);
        self.refilled_at = now;
    }

    /// Returns when this router may send the next request.
    pub(crate) fn opens_at(&self) -> Time {
        if self.tokens >= 1.0 {
            return Time(0);
        }
        if self.share <= 0.0 {
            return Time::NEVER;
        }
        let seconds = (1.0 - self.tokens) / self.share;
        self.refilled_at + (seconds * SECOND as f64).ceil() as u64
    }

    /// Takes the allowance for one request.
    pub(crate) fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
