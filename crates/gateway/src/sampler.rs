//! Samples the log lines of ordinary requests.

use {
    derive_more::Debug,
    model::{SECOND, Time},
    parking_lot::Mutex,
};

/// The maximum number of ordinary requests logged per second. Late, retried and failed requests are
/// always logged.
const MAX_PER_SECOND: u32 = 10;

/// Counts the lines logged in the current second.
#[derive(Default, Debug)]
pub(crate) struct Sampler(Mutex<(Time, u32)>);

impl Sampler {
    /// Returns whether to log another ordinary request.
    pub(crate) fn admit(&self, now: Time) -> bool {
        let mut state = self.0.lock();
        if now.since(state.0) >= SECOND {
            *state = (now, 0);
        }
        state.1 += 1;
        state.1 <= MAX_PER_SECOND
    }
}
