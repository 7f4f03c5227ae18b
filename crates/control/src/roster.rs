//! Which routers are in the roster: the members that the leader hears, by the rules of the `member` crate.

use {
    crate::{command::Command, control::Shared},
    member::{LeaseTiming, MemberTracker},
    model::{Roster, SECOND, Term},
    std::{sync::Arc, time::Duration},
    tokio::time::interval,
};

/// How often the roster is looked at.
const TICK: Duration = Duration::from_millis(100);

/// How long a router's last report is kept, in microseconds.
const REPORT_LIFE: u64 = 60 * SECOND;

/// What one leadership knows of the routers.
#[derive(Debug)]
pub(crate) struct Membership {
    term: Term,
    members: MemberTracker,
}

/// Keeps the roster up to date while this replica leads.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        shared.fleet.lock().forget(now.saturating_sub(REPORT_LIFE));
        let Some(Some(next)) = shared.members(|it| it.tick(now)) else { continue };
        if let Err(err) = shared.log.propose(&Command::Roster(next)).await {
            tracing::warn!("control: roster not committed: {err}");
        }
    }
}

impl Shared {
    /// Asks the members of this leadership; nothing if this replica does not lead.
    ///
    /// A new leadership begins with the committed roster and knows nothing of what its predecessors heard.
    pub(crate) fn members<R, F>(&self, ask: F) -> Option<R>
    where
        F: FnOnce(&mut MemberTracker) -> R,
    {
        let mut membership = self.membership.lock();
        let Some(leader) = self.log.leading() else {
            *membership = None;
            return None;
        };
        let roster: Roster = self.log.with(|it| it.rosters.current().clone());
        if membership.as_ref().is_none_or(|it| it.term != leader.term) {
            let members =
                MemberTracker::new(self.clock.now(), roster.clone(), LeaseTiming::default());
            *membership = Some(Membership { term: leader.term, members });
        }
        let members = &mut membership.as_mut()?.members;
        members.on_committed(roster);
        Some(ask(members))
    }
}
