//! The background tasks of a replica.

use {
    futures_util::FutureExt,
    std::panic::AssertUnwindSafe,
    tokio::{sync::watch, task::JoinHandle},
};

/// Background tasks, of which none may end unnoticed by a panic.
#[derive(Default)]
pub(crate) struct Tasks {
    handles: Vec<JoinHandle<()>>,
    panicked: watch::Sender<bool>,
}

impl Tasks {
    pub(crate) fn spawn<F>(&mut self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let panicked = self.panicked.clone();
        self.handles.push(tokio::spawn(async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                panicked.send_replace(true);
            }
        }));
    }

    /// Waits until a task has panicked.
    pub(crate) async fn panicked(&self) {
        // Cannot fail: this value holds a sender.
        let _ = self.panicked.subscribe().wait_for(|it| *it).await;
    }

    pub(crate) fn abort(&self) {
        self.handles.iter().for_each(JoinHandle::abort);
    }
}
