//! The order in which large messages to routers leave.
//!
//! Hosts of control have slow links. Were all routers told at once what they ask for, as after a restart of the fleet,
//! what the replicas tell each other would wait behind it, and so would the beats by which routers know that a replica
//! is well: they would connect again and ask again. So one large message leaves at a time, at a part of the link's
//! rate, and each router has its own after as short a time as possible.

use {
    derive_more::Debug,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Mutex, OwnedMutexGuard},
        time::sleep,
    },
};

/// Messages up to this length leave at once, in bytes: beats, announcements and most steps.
const SMALL_BYTES: usize = 4 << 10;

/// The part of the link that large messages take; the rest is for the group itself and for small messages.
const LINK_SHARE: f64 = 0.5;

/// The turns of large messages.
#[derive(Clone, Debug)]
pub struct BulkLimiter {
    #[debug(skip)]
    turns: Arc<Mutex<()>>,
    bytes_per_ms: f64,
}

/// Leave to send a large message; no other one leaves meanwhile.
#[derive(Debug)]
pub struct BulkPermit {
    guard: OwnedMutexGuard<()>,
    bytes_per_ms: f64,
}

impl BulkLimiter {
    /// Returns the turns on a link of that bandwidth.
    pub fn new(link_mbps: f64) -> BulkLimiter {
        let bytes_per_ms = link_mbps * 1_000.0 / 8.0 * LINK_SHARE;
        BulkLimiter { turns: Arc::default(), bytes_per_ms }
    }

    /// Whether messages of so many bytes together need a turn.
    pub fn is_large(bytes: usize) -> bool {
        bytes > SMALL_BYTES
    }

    /// Waits for a turn; who waits longest is next.
    pub async fn acquire(self) -> BulkPermit {
        BulkPermit { guard: self.turns.lock_owned().await, bytes_per_ms: self.bytes_per_ms }
    }
}

impl BulkPermit {
    /// Ends the turn as soon as the link has had the time for so many bytes.
    ///
    /// # Panics
    ///
    /// If called outside of a `tokio` runtime.
    pub fn release_after(self, bytes: usize) {
        let pause = Duration::from_micros((bytes as f64 / self.bytes_per_ms * 1_000.0) as u64);
        tokio::spawn(async move {
            sleep(pause).await;
            drop(self.guard);
        });
    }
}
