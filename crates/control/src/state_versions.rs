//! Wakes feeds when there is something to send to routers.
//!
//! Claims are applied thousands of times per second and do not concern feeds. One task inspects each change of the
//! state, so that not every feed has to.

use {
    crate::control::Shared,
    model::{Epoch, Revision},
    std::sync::Arc,
};

/// The versions of the parts of the state that feeds send to routers.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub(crate) struct StateVersions {
    revision: Revision,
    epoch: Epoch,
    last_quarantined: u64,
    is_leader: bool,
}

/// Wakes the feeds whenever one of the versions changes.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.log.subscribe();
    loop {
        let versions = shared.current_versions();
        shared.state_versions.send_if_modified(|it| std::mem::replace(it, versions) != versions);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

impl Shared {
    fn current_versions(&self) -> StateVersions {
        let is_leader = self.log.is_leader();
        self.log.with_state(|state| StateVersions {
            revision: state.intents.config().revision,
            epoch: state.rosters.current().epoch,
            last_quarantined: state.quarantine.last_number(),
            is_leader,
        })
    }
}
