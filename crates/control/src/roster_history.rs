//! The committed roster and the past rosters that missing routers may still use.

use {
    derive_more::Debug,
    model::{Epoch, Roster, RouterEntry, RouterState},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of past rosters. A router that lacks the roster used by a missing router reserves the entire bound
/// for the missing router.
const MAX_PAST_ROSTERS: usize = 64;

/// The current roster and the past rosters that routers may need.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct RosterHistory {
    current: Roster,
    /// The past rosters, oldest first.
    past: VecDeque<Roster>,
}

impl RosterHistory {
    /// Returns the current roster.
    pub(crate) fn current(&self) -> &Roster {
        &self.current
    }

    /// Returns the past rosters that missing routers may still use, oldest first.
    pub(crate) fn past(&self) -> impl Iterator<Item = &Roster> {
        self.past.iter()
    }

    /// Replaces the current roster with the next one. Returns false if the epoch of `next` does not directly follow.
    pub(crate) fn advance(&mut self, next: Roster) -> bool {
        if next.epoch != self.current.epoch.next() {
            return false;
        }
        let replaced = std::mem::replace(&mut self.current, next);
        self.past.push_back(replaced);
        self.prune();
        true
    }

    /// Drops past rosters except the previous one and those that a missing router may still use.
    fn prune(&mut self) {
        let is_missing = |it: &&RouterEntry| it.state == RouterState::Missing;
        let acked = self.current.routers.iter().filter(is_missing).map(|it| it.acked);
        let previous = Epoch(self.current.epoch.0.saturating_sub(1));
        let needed = acked.min().unwrap_or(previous).min(previous);
        while self.past.len() > MAX_PAST_ROSTERS
            || self.past.front().is_some_and(|it| it.epoch < needed)
        {
            self.past.pop_front();
        }
    }
}
