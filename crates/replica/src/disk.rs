//! The thread that owns the data folder.

use {
    crate::{driver::Input, journal::Journal},
    quorum::Write,
    store::{FileSystem, StoreError},
    tokio::{
        sync::mpsc,
        task::{self, JoinHandle},
    },
};

/// A handle to the disk thread. When `writes` is dropped, the thread syncs all writes, releases the data folder and
/// ends.
pub(crate) struct DiskThread {
    pub(crate) writes: mpsc::UnboundedSender<(u64, Write)>,
    /// `None` once the thread has ended or [`DiskThread::close`] was called.
    handle: Option<JoinHandle<()>>,
}

impl DiskThread {
    /// Waits until the thread ends, which it does by itself only after a failure.
    pub(crate) async fn ended(&mut self) {
        match &mut self.handle {
            Some(handle) => drop(handle.await),
            None => std::future::pending().await,
        }
        self.handle = None;
    }

    /// Makes the thread end after the queued writes. Returns its handle if it has not ended yet.
    pub(crate) fn close(&mut self) -> Option<JoinHandle<()>> {
        (self.writes, _) = mpsc::unbounded_channel();
        self.handle.take()
    }
}

/// Starts the disk thread. With `batching`, it syncs once for all writes that arrived during the previous sync.
pub(crate) fn spawn<F>(
    journal: Journal<F>,
    inputs: mpsc::Sender<Input>,
    batching: bool,
) -> DiskThread
where
    F: FileSystem,
    F::Lock: Send,
    Journal<F>: Send,
{
    let (writes, queue) = mpsc::unbounded_channel();
    let handle = task::spawn_blocking(move || run(journal, queue, inputs, batching));
    DiskThread { writes, handle: Some(handle) }
}

fn run<F>(
    mut journal: Journal<F>,
    mut queue: mpsc::UnboundedReceiver<(u64, Write)>,
    inputs: mpsc::Sender<Input>,
    batching: bool,
) where
    F: FileSystem,
{
    while let Some(first) = queue.blocking_recv() {
        let input = match write(&mut journal, first, &mut queue, batching) {
            Ok(up_to) => Input::Synced(up_to),
            Err(err) => Input::DiskFailed(err),
        };
        let failed = matches!(input, Input::DiskFailed(_));
        // The remaining writes are carried out even if the driver has ended.
        let _ = inputs.blocking_send(input);
        if failed {
            return;
        }
    }
}

/// Carries out a write and, with `batching`, all writes queued behind it, then syncs. Returns the number of the last
/// write.
fn write<F>(
    journal: &mut Journal<F>,
    first: (u64, Write),
    queue: &mut mpsc::UnboundedReceiver<(u64, Write)>,
    batching: bool,
) -> Result<u64, StoreError>
where
    F: FileSystem,
{
    let (mut up_to, write) = first;
    journal.write(&write)?;
    while batching && let Ok((number, write)) = queue.try_recv() {
        journal.write(&write)?;
        up_to = number;
    }
    journal.sync()?;
    Ok(up_to)
}
