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
pub(crate) struct News {
    revision: Revision,
    epoch: Epoch,
    quarantined: u64,
    leads: bool,
}

/// Compares the state with what feeds were last woken for.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.log.changes();
    loop {
        let news = shared.current_news();
        shared.news.send_if_modified(|it| std::mem::replace(it, news) != news);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

impl Shared {
    fn current_news(&self) -> News {
        let leads = self.log.leads();
        self.log.with(|state| News {
            revision: state.intents.config().revision,
            epoch: state.rosters.current().epoch,
            quarantined: state.quarantine.last(),
            leads,
        })
    }
}
