//! Limits the memory that all responses being received take together.

use {
    bytes::Bytes,
    derive_more::Debug,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// The memory for bytes of responses that cannot be forwarded yet.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: usize,
    used: AtomicUsize,
}

impl ResponseMemory {
    /// Returns memory of `limit` bytes.
    pub fn new(limit: usize) -> ResponseMemory {
        ResponseMemory { limit, used: AtomicUsize::new(0) }
    }
}

/// The part of the memory that one response takes. It is returned on drop.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<ResponseMemory>,
    held: usize,
}

impl Reservation {
    /// Returns an empty reservation.
    pub fn new(memory: &Arc<ResponseMemory>) -> Reservation {
        Reservation { memory: memory.clone(), held: 0 }
    }

    /// Changes the reservation to `bytes`, and returns whether that is allowed.
    ///
    /// A response may take no more than it leaves free. So the largest ones are refused first, and
    /// however many they are, there is memory left for a smaller one.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let used = &self.memory.used;
        if bytes <= self.held {
            used.fetch_sub(self.held - bytes, Ordering::Relaxed);
            self.held = bytes;
            return true;
        }
        let added = bytes - self.held;
        let total = used.fetch_add(added, Ordering::Relaxed) + added;
        if bytes > self.memory.limit.saturating_sub(total) {
            used.fetch_sub(added, Ordering::Relaxed);
            return false;
        }
        self.held = bytes;
        true
    }
}

impl Reservation {
    /// Returns a body that keeps this reservation as long as its bytes.
    pub fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(BufferedBody { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}

/// A complete body with the memory that it takes.
struct BufferedBody {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
