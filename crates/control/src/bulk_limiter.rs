//! Rate limiting of large messages to routers.
//!
//! Control hosts have slow links. If all routers requested a configuration at once, for example after a restart of all
//! routers, the responses would delay the replication traffic and the heartbeats by which routers check that a replica
//! is alive. Routers would then reconnect and request the same data again. Therefore only one large message is sent at
//! a time, at a fraction of the link's bandwidth. Meanwhile, other routers are referred to routers that have the
//! configuration already.

use {
    derive_more::Debug,
    fanout::{Fanout, Router, Source, WaiterId},
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::sleep},
    wire::Clock,
};

/// Messages larger than this, in bytes, always need a permit. Heartbeats, announcements and most deltas are smaller.
const MAX_SMALL_BYTES: usize = 4 << 10;

/// How long copies of a message to all routers may occupy the limited bandwidth without a permit, in milliseconds.
const MAX_UNLIMITED_MS: f64 = 250.0;

/// Fraction of the link's bandwidth for large messages. The rest is for replication and for small messages.
const LINK_SHARE: f64 = 0.5;

/// Limits large messages to one at a time and to a fraction of the link's bandwidth.
#[derive(Clone, Debug)]
pub struct BulkLimiter {
    #[debug(skip)]
    queue: Arc<Mutex<Queue>>,
    bytes_per_ms: f64,
    clock: Clock,
}

#[derive(Default)]
struct Queue {
    fanout: Fanout,
    grants: HashMap<WaiterId, oneshot::Sender<Source>>,
}

/// Permission to send a large message; only one permit exists at a time.
#[derive(Debug)]
pub struct BulkPermit {
    limiter: BulkLimiter,
}

/// The response to a router's request for a large configuration.
#[derive(Debug)]
pub enum BulkGrant {
    /// This replica sends the configuration.
    Send(BulkPermit),
    /// The router gets the configuration from another router.
    Refer {
        /// The version that the other router has at least.
        version: u64,
        /// The internal address of the other router.
        router: SocketAddr,
    },
}

impl BulkLimiter {
    /// Creates a limiter for a link with a bandwidth of `link_mbps` Mbit/s.
    pub fn new(link_mbps: f64) -> BulkLimiter {
        let bytes_per_ms = link_mbps * 1_000.0 / 8.0 * LINK_SHARE;
        BulkLimiter { queue: Arc::default(), bytes_per_ms, clock: Clock::start() }
    }

    /// Returns whether messages of this total size, sent to `routers` routers at the same time, need a permit.
    pub fn is_large(&self, bytes: usize, routers: usize) -> bool {
        let copies_ms = (bytes * routers) as f64 / self.bytes_per_ms;
        bytes > MAX_SMALL_BYTES || copies_ms > MAX_UNLIMITED_MS
    }

    /// Waits for the permit to send a message that only this replica can send. Permits are granted in the order of
    /// requests.
    pub async fn acquire(self) -> BulkPermit {
        self.wait(None).await;
        BulkPermit { limiter: self }
    }

    /// Waits until a router can get the current configuration, either from this replica or from another router.
    pub async fn acquire_for(self, router: Router) -> BulkGrant {
        match self.wait(Some(router)).await {
            Source::Local => BulkGrant::Send(BulkPermit { limiter: self }),
            Source::Router { version, addr } => BulkGrant::Refer { version, router: addr },
        }
    }

    /// Records the version of the current configuration.
    pub(crate) fn set_version(&self, version: u64) {
        self.update(|it| it.set_version(version));
    }

    /// Records that a router has a version in force, so that it can send it to others.
    pub fn confirm(&self, router: &Router, version: u64) {
        self.update(|it| it.confirm(router, version));
    }

    /// Records that a router is no longer reachable.
    pub(crate) fn remove(&self, router: SocketAddr) {
        self.update(|it| it.remove(router));
    }

    /// Waits for the source of a message. It is this replica if `router` is `None`.
    async fn wait(&self, router: Option<Router>) -> Source {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut queue = self.queue.lock();
            let id = queue.fanout.request(router);
            queue.grants.insert(id, sender);
            id
        };
        let mut waiter = Waiter { limiter: self, id, receiver };
        self.update(|_| ());
        // The sender is dropped only by `Waiter::drop`.
        (&mut waiter.receiver).await.unwrap_or(Source::Local)
    }

    /// Changes the state and hands out the grants that follow from it.
    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Fanout),
    {
        let mut queue = self.queue.lock();
        let queue = &mut *queue;
        change(&mut queue.fanout);
        while let Some((id, source)) = queue.fanout.next_grant(self.clock.now()) {
            let sender = queue.grants.remove(&id);
            let unused = sender.is_none_or(|it| it.send(source).is_err());
            if unused && source == Source::Local {
                queue.fanout.release();
            }
        }
    }
}

/// A waiting request, which is withdrawn when dropped.
struct Waiter<'a> {
    limiter: &'a BulkLimiter,
    id: WaiterId,
    receiver: oneshot::Receiver<Source>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut queue = self.limiter.queue.lock();
        queue.grants.remove(&self.id);
        queue.fanout.cancel(self.id);
        drop(queue);
        // A permit that was granted but not received must be released.
        if self.receiver.try_recv() == Ok(Source::Local) {
            self.limiter.update(Fanout::release);
        }
    }
}

impl BulkPermit {
    /// Releases the permit after the time that `bytes` take at the limited rate.
    ///
    /// # Panics
    ///
    /// If called outside of a `tokio` runtime.
    pub fn release_after(self, bytes: usize) {
        let delay = bytes as f64 / self.limiter.bytes_per_ms * 1_000.0;
        let delay = Duration::from_micros(delay as u64);
        tokio::spawn(async move {
            sleep(delay).await;
            drop(self);
        });
    }
}

impl Drop for BulkPermit {
    fn drop(&mut self) {
        self.limiter.update(Fanout::release);
    }
}
