//! Rate limiting of large messages to routers.
//!
//! Control hosts have slow links. If all routers requested a configuration at once, for example after a restart of all
//! routers, the responses would delay the replication traffic and the heartbeats by which routers check that a replica
//! is alive. Routers would then reconnect and request the same data again. Therefore only one large message is sent at
//! a time, at a fraction of the link's bandwidth. Sending them one after the other also gives each router its message
//! earlier than sending all of them in parallel.

use {
    derive_more::Debug,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Mutex, OwnedMutexGuard},
        time::sleep,
    },
};

/// Messages up to this size, in bytes, are sent without a permit: heartbeats, announcements and most deltas.
const MAX_SMALL_BYTES: usize = 4 << 10;

/// Fraction of the link's bandwidth for large messages. The rest is for replication and for small messages.
const LINK_SHARE: f64 = 0.5;

/// Limits large messages to one at a time and to a fraction of the link's bandwidth.
#[derive(Clone, Debug)]
pub struct BulkLimiter {
    #[debug(skip)]
    lock: Arc<Mutex<()>>,
    bytes_per_ms: f64,
}

/// Permission to send a large message; only one permit exists at a time.
#[derive(Debug)]
pub struct BulkPermit {
    guard: OwnedMutexGuard<()>,
    bytes_per_ms: f64,
}

impl BulkLimiter {
    /// Creates a limiter for a link with a bandwidth of `link_mbps` Mbit/s.
    pub fn new(link_mbps: f64) -> BulkLimiter {
        let bytes_per_ms = link_mbps * 1_000.0 / 8.0 * LINK_SHARE;
        BulkLimiter { lock: Arc::default(), bytes_per_ms }
    }

    /// Returns whether messages of this total size need a permit.
    pub fn is_large(bytes: usize) -> bool {
        bytes > MAX_SMALL_BYTES
    }

    /// Waits for the permit. Permits are granted in the order of requests.
    pub async fn acquire(self) -> BulkPermit {
        BulkPermit { guard: self.lock.lock_owned().await, bytes_per_ms: self.bytes_per_ms }
    }
}

impl BulkPermit {
    /// Releases the permit after the time that `bytes` take at the limited rate.
    ///
    /// # Panics
    ///
    /// If called outside of a `tokio` runtime.
    pub fn release_after(self, bytes: usize) {
        let delay = Duration::from_micros((bytes as f64 / self.bytes_per_ms * 1_000.0) as u64);
        tokio::spawn(async move {
            sleep(delay).await;
            drop(self.guard);
        });
    }
}
