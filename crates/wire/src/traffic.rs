//! Counters of sent and received bytes, by class of traffic.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// The class of the traffic on a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TrafficClass {
    /// Forwarded client requests and their responses.
    Forward,
    /// All other traffic: configuration, rosters, leases, load sums, claims and probes.
    Control,
}

/// Counts the bytes of connections, including HTTP/2 framing but without the overhead of TLS.
/// Copies share the counters.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counts: Arc<[AtomicU64; 4]>,
}

impl Traffic {
    /// Counts bytes sent.
    pub fn add_sent(&self, class: TrafficClass, bytes: usize) {
        self.counts[class as usize * 2].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes received.
    pub fn add_received(&self, class: TrafficClass, bytes: usize) {
        self.counts[class as usize * 2 + 1].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes sent so far.
    pub fn sent(&self, class: TrafficClass) -> u64 {
        self.counts[class as usize * 2].load(Ordering::Relaxed)
    }

    /// Returns the bytes received so far.
    pub fn received(&self, class: TrafficClass) -> u64 {
        self.counts[class as usize * 2 + 1].load(Ordering::Relaxed)
    }
}
