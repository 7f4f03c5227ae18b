//! What endpoints asked for that are not listed at the moment.

use {crate::endpoint::Notice, derive_more::Debug, std::collections::HashMap};

/// The maximum number of endpoints that are not listed and whose notices are kept.
const MAX_UNLISTED_NOTICES: usize = 1_024;

/// The notices of endpoints that are not listed, in case a list omits an endpoint by mistake. The key
/// identifies the run of the endpoint.
#[derive(Default, Debug)]
pub(crate) struct UnlistedNotices(HashMap<u64, Notice>);

impl UnlistedNotices {
    pub(crate) fn record(&mut self, incarnation: u64, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        if self.0.len() >= MAX_UNLISTED_NOTICES && !self.0.contains_key(&incarnation) {
            // The one that matters for the shortest time is dropped.
            let shortest = self.0.iter().min_by_key(|it| (it.1.leaving, it.1.closed_until));
            if let Some(incarnation) = shortest.map(|it| *it.0) {
                self.0.remove(&incarnation);
            }
        }
        self.0.insert(incarnation, notice);
    }

    pub(crate) fn take(&mut self, incarnation: u64) -> Notice {
        self.0.remove(&incarnation).unwrap_or_default()
    }
}
