//! Endpoints that have just started, and take few requests.

use derive_more::Debug;

/// How many requests the cold endpoints of a service take from all routers together.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ColdRate {
    /// How long an endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// The requests per second that a cold endpoint tolerates.
    pub rate: f64,
    /// The highest number of requests in any second, summed over all routers.
    pub max_per_second: f64,
}
