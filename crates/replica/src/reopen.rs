//! Recovery from a disk failure: the data folder is opened again, and the consensus restarts from what it holds.
//!
//! Nothing of the former consensus is kept, because a failed write may be on disk in part. The state machine is kept:
//! it holds committed entries only.

use {
    crate::{
        config::ReplicaConfig,
        disk,
        driver::{Driver, Exit, Input, Reply, Request},
        error::ProposeError,
        journal::Journal,
        machine::StateMachine,
    },
    model::ReplicaId,
    quorum::{DurableState, Raft},
    std::time::Duration,
    store::{OsFileSystem, StoreError},
    tokio::{
        sync::mpsc,
        task::{self, JoinHandle},
        time::sleep,
    },
};

/// The delay between attempts to open the data folder, in milliseconds.
const REOPEN_DELAY_MS: u64 = 100;

type Opened = Result<(Journal<OsFileSystem>, DurableState), StoreError>;

impl<M> Driver<M>
where
    M: StateMachine,
{
    /// Opens the data folder again and restarts the consensus. Until then, rejects requests and drops messages.
    ///
    /// Returns the reason if this replica stops instead.
    pub(crate) async fn reopen(
        &mut self,
        requests: &mut mpsc::Receiver<Request>,
        inputs: &mut mpsc::Receiver<Input>,
    ) -> Option<Exit> {
        self.shared.suspend();
        self.drop_pending();
        let opening = open_folder(self.config.clone(), self.disk.close());
        tokio::pin!(opening);
        let opened = loop {
            tokio::select! {
                opened = &mut opening => break opened,
                Some(input) = inputs.recv() => self.discard(input),
                request = requests.recv() => match request {
                    Some(Request::Propose { reply, .. }) => reject(reply),
                    Some(Request::Read { reply }) => reject(reply),
                    Some(Request::SetSeeds(seeds)) => self.set_seeds(seeds),
                    Some(Request::Shutdown { reply }) => return Some(Exit::Shutdown(Some(reply))),
                    None => return Some(Exit::Shutdown(None)),
                },
            }
        };
        // Reports of the former disk thread must not count as reports of the new one.
        while let Ok(input) = inputs.try_recv() {
            self.discard(input);
        }
        match opened {
            Ok((journal, durable)) if journal.id() == self.shared.id => {
                self.restart(journal, durable)
            }
            Ok((journal, _)) => {
                let (id, found) = (self.shared.id, journal.id());
                tracing::error!("replica: the data folder of {id} now belongs to {found}");
                Some(Exit::Failed)
            }
            Err(err) => {
                tracing::error!("replica: the data folder cannot be opened again: {err}");
                Some(Exit::Failed)
            }
        }
    }

    fn restart(&mut self, journal: Journal<OsFileSystem>, durable: DurableState) -> Option<Exit> {
        let now = self.shared.clock.now();
        let (consensus, seed) = (self.config.consensus(), rand::random());
        let (raft, actions) = Raft::open(now, consensus, self.shared.id, durable, seed);
        self.raft = raft;
        self.disk = disk::spawn(journal, self.inputs.clone(), self.config.batching);
        tracing::info!(
            event = "disk-recovered",
            commit_index = self.raft.commit_index(),
            last_index = self.raft.last_index(),
            "replica: {} opened its data folder again",
            self.shared.id
        );
        self.execute(actions)
    }

    fn discard(&mut self, input: Input) {
        match input {
            Input::Snapshot { .. } => self.snapshot_pending = false,
            Input::DiskFailed(err) => report_failure(&err),
            Input::Frame(_) | Input::Synced(_) => {}
        }
    }
}

/// Waits until the disk thread has ended, and opens the data folder once the file system allows it.
async fn open_folder(config: ReplicaConfig, former: Option<JoinHandle<()>>) -> Opened {
    if let Some(former) = former {
        let _ = former.await;
    }
    let mut reported = false;
    loop {
        let folder = config.folder.clone();
        // A folder that was emptied meanwhile must not get the id of this replica.
        let new_id = ReplicaId(rand::random_range(1..=u64::MAX));
        let opened =
            task::spawn_blocking(move || Journal::reopen(OsFileSystem, &folder, new_id)).await;
        match opened {
            Ok(Err(err @ (StoreError::Io { .. } | StoreError::Locked { .. }))) => {
                if !reported {
                    tracing::warn!(event = "disk-unavailable", %err, "replica: will try again");
                    reported = true;
                }
            }
            Ok(opened) => return opened,
            Err(err) => tracing::error!("replica: opening the data folder panicked: {err}"),
        }
        sleep(Duration::from_millis(REOPEN_DELAY_MS)).await;
    }
}

pub(crate) fn report_failure(err: &StoreError) {
    tracing::error!(event = "disk-failed", %err, "replica: a write to disk failed");
}

fn reject<T>(reply: Reply<T>) {
    let _ = reply.send(Err(ProposeError::NotLeader { leader: None }));
}
