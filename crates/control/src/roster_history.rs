//! The committed roster, and the older ones by which missing routers may still act.

use {
    derive_more::Debug,
    model::{Epoch, Roster, RouterEntry, RouterState},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Older rosters that are kept at most; a router that lacks one leaves the whole bound to the missing router.
const MAX_PAST_ROSTERS: usize = 64;

/// The rosters that a router may need.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct RosterHistory {
    current: Roster,
    /// Older ones, oldest first.
    past: VecDeque<Roster>,
}

impl RosterHistory {
    /// The roster in force.
    pub(crate) fn current(&self) -> &Roster {
        &self.current
    }

    /// Older rosters by which missing routers may still act, oldest first.
    pub(crate) fn past(&self) -> impl Iterator<Item = &Roster> {
        self.past.iter()
    }

    /// Takes the roster that follows the one in force; false if it does not follow it.
    pub(crate) fn advance(&mut self, next: Roster) -> bool {
        if next.epoch != self.current.epoch.next() {
            return false;
        }
        let replaced = std::mem::replace(&mut self.current, next);
        self.past.push_back(replaced);
        self.prune();
        true
    }

    /// Forgets the rosters before the previous one, unless a missing router may act by them.
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
