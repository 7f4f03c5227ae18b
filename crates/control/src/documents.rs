//! Sending of routing configuration documents to operators.
//!
//! A large document occupies a slow link for most of a second. Several at a time would each take longer than operators
//! wait, and would delay heartbeats, replication and the calls of other replicas. Therefore a replica sends one large
//! document at a time, in chunks with pauses, and refuses further reads at once, so that operators turn to another
//! replica.

use {
    bytes::Bytes,
    derive_more::{Debug, Deref},
    edge::{Body, paced},
    model::{MILLISECOND, Time},
    parking_lot::Mutex,
    std::sync::Arc,
    wire::Clock,
};

/// Documents that occupy the link for less than this are sent at any time, in milliseconds.
const MAX_SMALL_MS: f64 = 50.0;

/// Fraction of the link's bandwidth for documents. The rest keeps the link's queue short while a document is sent.
const LINK_SHARE: f64 = 0.9;

/// How many times as long as necessary an operator may take to receive a document before another one may be sent.
const MAX_SLOWDOWN: f64 = 2.0;

/// A routing configuration document for an operator.
#[derive(Deref, Debug)]
pub struct Document {
    #[deref]
    #[debug("{} bytes", bytes.len())]
    bytes: Bytes,
    bytes_per_ms: f64,
    #[debug(skip)]
    permit: Option<DocumentPermit>,
}

impl Document {
    /// Returns a body that is sent at the bandwidth for documents. `on_end` is called once with the number of bytes that
    /// the connection took, when the body ends or is dropped.
    pub fn into_body<F>(self, on_end: F) -> Body
    where
        F: FnOnce(usize) + Send + Unpin + 'static,
    {
        let Document { bytes, bytes_per_ms, permit } = self;
        paced(bytes, bytes_per_ms, move |taken| {
            drop(permit);
            on_end(taken);
        })
    }
}

/// Limits large documents to one at a time and to a fraction of the link's bandwidth.
#[derive(Clone, Debug)]
pub(crate) struct DocumentLimiter {
    slot: Arc<Mutex<DocumentSlot>>,
    bytes_per_ms: f64,
    clock: Clock,
}

/// Another document is being sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct LinkBusy;

/// Permission to send a large document, until it is dropped.
struct DocumentPermit {
    limiter: DocumentLimiter,
    holder: u64,
}

impl DocumentLimiter {
    /// Creates a limiter for a link with a bandwidth of `link_mbps` Mbit/s.
    pub(crate) fn new(link_mbps: f64, clock: Clock) -> DocumentLimiter {
        let bytes_per_ms = link_mbps * 1_000.0 / 8.0 * LINK_SHARE;
        DocumentLimiter { slot: Arc::default(), bytes_per_ms, clock }
    }

    /// Returns whether a large document is being sent.
    pub(crate) fn is_busy(&self) -> bool {
        self.slot.lock().is_held(self.clock.now())
    }

    /// Returns the document with permission to send it, or an error if another large one is being sent.
    pub(crate) fn admit(&self, bytes: Bytes) -> Result<Document, LinkBusy> {
        let transfer_ms = bytes.len() as f64 / self.bytes_per_ms;
        let permit = match transfer_ms < MAX_SMALL_MS {
            true => None,
            false => {
                let now = self.clock.now();
                let until = now + (transfer_ms * MAX_SLOWDOWN) as u64 * MILLISECOND;
                let holder = self.slot.lock().acquire(now, until).ok_or(LinkBusy)?;
                Some(DocumentPermit { limiter: self.clone(), holder })
            }
        };
        Ok(Document { bytes, bytes_per_ms: self.bytes_per_ms, permit })
    }
}

impl Drop for DocumentPermit {
    fn drop(&mut self) {
        self.limiter.slot.lock().release(self.holder);
    }
}

/// The one place for a large document on a link.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct DocumentSlot {
    /// The number of the last holder.
    holder: u64,
    /// When the slot is free again, unless it is released earlier. An operator that does not read its response must
    /// not keep the slot from others.
    free_at: Time,
}

impl DocumentSlot {
    /// Returns whether the slot is held at `now`.
    pub fn is_held(&self, now: Time) -> bool {
        now < self.free_at
    }

    /// Takes the slot until it is released, at most until `until`. Returns the number of the holder, or `None` if
    /// another one holds it.
    pub fn acquire(&mut self, now: Time, until: Time) -> Option<u64> {
        if self.is_held(now) {
            return None;
        }
        self.holder += 1;
        self.free_at = until;
        Some(self.holder)
    }

    /// Frees the slot if `holder` still holds it.
    pub fn release(&mut self, holder: u64) {
        if self.holder == holder {
            self.free_at = Time::default();
        }
    }
}
