//! Which routers are in the roster: those that were heard of lately.

use {
    crate::{command::Command, control::Shared, fleet::Fleet, state::State},
    model::{Roster, RouterEntry, RouterState, SECOND, Time},
    std::{sync::Arc, time::Duration},
    tokio::time::interval,
};

/// How long a lease runs from the heartbeat that renewed it, in milliseconds.
pub(crate) const LEASE_MS: u32 = 3_000;

/// How long a router stays in the roster without a heartbeat, in microseconds.
const SILENCE: u64 = 3 * SECOND;

/// How often the roster is looked at.
const TICK: Duration = Duration::from_millis(100);

/// Keeps the roster up to date while this replica leads.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        if !shared.log.leads() {
            continue;
        }
        let Some(next) = shared.next_roster() else { continue };
        if let Err(err) = shared.log.propose(&Command::Roster(next)).await {
            tracing::warn!("control: roster not committed: {err}");
        }
    }
}

impl Shared {
    fn next_roster(&self) -> Option<Roster> {
        let now = self.clock.now();
        let wanted = self.log.with(|state| {
            let mut fleet = self.fleet.lock();
            fleet.forget(now.before(SILENCE));
            entries(state, &fleet, now)
        });
        self.log.with(|state| {
            let epoch = state.roster.epoch.next();
            (*state.roster.routers != *wanted).then(|| Roster { epoch, routers: wanted.into() })
        })
    }
}

fn entries(state: &State, fleet: &Fleet, now: Time) -> Vec<RouterEntry> {
    let heard = fleet.reports().iter().filter(|(_, it)| now.since(it.heard) < SILENCE);
    let entry = |(id, report): (&model::RouterId, &crate::fleet::Report)| {
        let info = state.routers.get(*id)?;
        let state = if report.leaving { RouterState::Leaving } else { RouterState::Live };
        let acked = model::Epoch(0);
        Some(RouterEntry { id: *id, addr: info.addr, domain: info.domain.clone(), state, acked })
    };
    heard.filter_map(entry).collect()
}
