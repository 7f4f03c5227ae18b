//! Maintains the roster: the routers whose heartbeats reach the leader, tracked by the `member` crate.

use {
    crate::{command::Command, control::Shared},
    member::{LeaseTiming, MemberTracker},
    model::{Roster, SECOND, Term},
    std::{sync::Arc, time::Duration},
    tokio::time::interval,
};

/// Interval between two updates of the roster.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the last report of a router is kept, in microseconds.
const REPORT_RETENTION: u64 = 60 * SECOND;

/// The member tracker of one leader term.
#[derive(Debug)]
pub(crate) struct Membership {
    term: Term,
    members: MemberTracker,
}

/// Keeps the roster up to date while this replica is the leader.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        shared.router_reports.lock().remove_before(now.saturating_sub(REPORT_RETENTION));
        let Some(Some(next)) = shared.with_members(|it| it.tick(now)) else { continue };
        if let Err(err) = shared.log.propose(&Command::Roster(next)).await {
            tracing::warn!("control: cannot commit the next roster: {err}");
        }
    }
}

impl Shared {
    /// Calls `f` with the member tracker of the current term. Returns `None` if this replica is not the leader.
    ///
    /// The tracker of a new term starts from the committed roster, without the heartbeats received in earlier terms.
    pub(crate) fn with_members<R, F>(&self, f: F) -> Option<R>
    where
        F: FnOnce(&mut MemberTracker) -> R,
    {
        let mut membership = self.membership.lock();
        let Some(leader) = self.log.leader_lease() else {
            *membership = None;
            return None;
        };
        let roster: Roster = self.log.with_state(|it| it.rosters.current().clone());
        if membership.as_ref().is_none_or(|it| it.term != leader.term) {
            let members =
                MemberTracker::new(self.clock.now(), roster.clone(), LeaseTiming::default());
            *membership = Some(Membership { term: leader.term, members });
        }
        let members = &mut membership.as_mut()?.members;
        members.on_committed(roster);
        Some(f(members))
    }
}
