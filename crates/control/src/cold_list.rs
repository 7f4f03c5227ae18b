//! The endpoints that the directory lists as cold, and when a change is worth telling gateways.

use {
    derive_more::Debug,
    directory::Listing,
    model::{MILLISECOND, Name, SECOND, Time},
    std::collections::BTreeMap,
};

/// By how much the end of a cold period has to move to be sent again, in microseconds. Each listing names another
/// remaining time, rounded and delayed.
const MAX_DRIFT: u64 = 500 * MILLISECOND;

/// For how long gateways are told that a new endpoint is not cold, in microseconds. They take new endpoints for cold
/// ones otherwise.
const NEW_TIME: u64 = 10 * SECOND;

/// A run of an endpoint: when it started, in milliseconds since the Unix epoch, and until when it is new here.
type Run = (Option<u64>, Time);

/// The cold endpoints as last sent to gateways.
#[derive(Default, Debug)]
pub struct ColdList {
    version: u64,
    /// When the endpoints cease to be cold; `None` for new endpoints that are not cold.
    ends: BTreeMap<Name, Option<Time>>,
    runs: Option<BTreeMap<Name, Run>>,
}

impl ColdList {
    /// Takes over a new listing. Returns whether it is to be sent to gateways.
    pub fn update(&mut self, now: Time, listing: &Listing) -> bool {
        let earlier = self.runs.take();
        let run = |it: &directory::ListedEndpoint| {
            let new_until = match &earlier {
                // Which endpoints of the first list are new is not known.
                None => Time(0),
                Some(earlier) => match earlier.get(&it.id) {
                    Some((started_at_ms, until)) if *started_at_ms == it.started_at_ms => *until,
                    _ => now + NEW_TIME,
                },
            };
            (it.id.clone(), (it.started_at_ms, new_until))
        };
        let runs: BTreeMap<Name, Run> = listing.endpoints.iter().map(run).collect();
        let is_new = |id: &Name| runs.get(id).is_some_and(|it| now < it.1);
        let ends: BTreeMap<Name, Option<Time>> = listing
            .cold
            .iter()
            .filter(|(id, remaining_ms)| *remaining_ms > 0 || is_new(id))
            .map(|(id, remaining_ms)| {
                let is_cold = *remaining_ms > 0;
                (id.clone(), is_cold.then(|| now + u64::from(*remaining_ms) * MILLISECOND))
            })
            .collect();
        self.runs = Some(runs);
        let is_changed = ends.iter().any(|(id, end)| match (self.ends.get(id), end) {
            (Some(Some(before)), Some(end)) => before.0.abs_diff(end.0) > MAX_DRIFT,
            (Some(Some(before)), None) => *before > now + MAX_DRIFT,
            (Some(None), None) => false,
            (Some(None) | None, _) => true,
        });
        let is_warm = |(id, before): (&Name, &Option<Time>)| {
            !ends.contains_key(id) && before.is_some_and(|it| it > now + MAX_DRIFT)
        };
        if !is_changed && !self.ends.iter().any(is_warm) {
            return false;
        }
        self.version += 1;
        self.ends = ends;
        true
    }

    /// The number of the list, which increases with each one to be sent; 0 if there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns for how many milliseconds the endpoints remain cold.
    pub fn remaining(&self, now: Time) -> Vec<(Name, u32)> {
        let remaining = |end: &Option<Time>| {
            let end = end.unwrap_or(now);
            (end.since(now) / MILLISECOND).try_into().unwrap_or(u32::MAX)
        };
        self.ends.iter().map(|(id, end)| (id.clone(), remaining(end))).collect()
    }
}
