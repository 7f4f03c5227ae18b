//! Wakes feeds when there is something for routers.
//!
//! Claims are applied thousands of times a second and concern no feed; one task looks at each change, so that not
//! every feed has to.

use {
    crate::control::Shared,
    model::{Epoch, Revision},
    std::sync::Arc,
};

/// What feeds have to tell routers, by number.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub(crate) struct StateVersions {
    revision: Revision,
    epoch: Epoch,
    last_quarantined: u64,
    is_leader: bool,
}

/// Compares the state with what feeds were last woken for.
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
