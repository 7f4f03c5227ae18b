//! Which requests without any event of note are logged.

use {
    derive_more::Debug,
    model::{SECOND, Time},
    parking_lot::Mutex,
};

/// Requests without any event of note that are logged each second; all others always are.
const MAX_PER_SECOND: u32 = 10;

/// Counts the lines of the present second.
#[derive(Default, Debug)]
pub(crate) struct Sampler(Mutex<(Time, u32)>);

impl Sampler {
    /// Whether one more uneventful request is logged.
    pub(crate) fn admit(&self, now: Time) -> bool {
        let mut state = self.0.lock();
        if now.since(state.0) >= SECOND {
            *state = (now, 0);
        }
        state.1 += 1;
        state.1 <= MAX_PER_SECOND
    }
}
