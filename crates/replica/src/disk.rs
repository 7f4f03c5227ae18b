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

/// The way to the thread; it ends, with everything synced and the folder released, when `writes` is dropped.
pub(crate) struct Disk {
    pub(crate) writes: mpsc::UnboundedSender<(u64, Write)>,
    pub(crate) thread: JoinHandle<()>,
}

/// Starts the thread. With `batching`, it syncs once for all writes that came while it synced before.
pub(crate) fn spawn<F>(journal: Journal<F>, inputs: mpsc::Sender<Input>, batching: bool) -> Disk
where
    F: FileSystem,
    F::Lock: Send,
    Journal<F>: Send,
{
    let (writes, queue) = mpsc::unbounded_channel();
    let thread = task::spawn_blocking(move || run(journal, queue, inputs, batching));
    Disk { writes, thread }
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
        // Once the driver has gone, what is left is written all the same.
        let _ = inputs.blocking_send(input);
        if failed {
            return;
        }
    }
}

/// Carries out a write and all that wait behind it, and syncs; returns the number of the last one.
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
