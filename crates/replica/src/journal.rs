//! Persists the writes of the consensus in the data folder.

use {
    bincode::config::standard,
    derive_more::Debug,
    model::ReplicaId,
    quorum::{DurableState, Entry, HardState, Snapshot, Write},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::path::{Path, PathBuf},
    store::{Contents, FileSystem, Store, StoreError},
};

/// The limit on the bytes of an entry or a snapshot. Without one, `bincode` allocates whatever length a damaged record
/// claims to have, which aborts the process. The state machine of control reads snapshots up to the same limit.
const MAX_RECORD_BYTES: usize = 1 << 30;

/// The content of the metadata file.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
struct Meta {
    id: ReplicaId,
    hard_state: HardState,
}

/// The data folder of a replica: its metadata, its log and its snapshot.
#[derive(Debug)]
pub struct Journal<F>
where
    F: FileSystem,
{
    store: Store<F>,
    folder: PathBuf,
    meta: Meta,
}

impl<F> Journal<F>
where
    F: FileSystem,
{
    /// Opens a data folder and reads its content. An empty folder is initialized for the replica `new_id`.
    ///
    /// # Errors
    ///
    /// The folder is in use or damaged.
    pub fn open(
        fs: F,
        folder: &Path,
        new_id: ReplicaId,
    ) -> Result<(Journal<F>, DurableState), StoreError> {
        let (store, contents) = Store::open(fs, folder)?;
        let meta = match &contents.meta {
            Some(bytes) => decode(folder, bytes)?,
            None => Meta { id: new_id, hard_state: HardState::default() },
        };
        let mut journal = Journal { store, folder: folder.to_owned(), meta };
        if contents.meta.is_none() {
            journal.write_meta()?;
        }
        let durable = journal.recover(contents)?;
        Ok((journal, durable))
    }

    /// Opens a data folder again after [`Journal::write`] or [`Journal::sync`] failed. What it returns is durable.
    ///
    /// # Errors
    ///
    /// The folder is in use or damaged, or the file system still fails.
    pub fn reopen(
        fs: F,
        folder: &Path,
        new_id: ReplicaId,
    ) -> Result<(Journal<F>, DurableState), StoreError> {
        let (mut journal, durable) = Journal::open(fs, folder, new_id)?;
        journal.store.rewrite()?;
        Ok((journal, durable))
    }

    /// The id of the replica that the folder belongs to.
    pub fn id(&self) -> ReplicaId {
        self.meta.id
    }

    /// Carries out a write; it is durable when [`Journal::sync`] has returned after it.
    ///
    /// # Errors
    ///
    /// The file system failed; the folder must be opened again.
    pub fn write(&mut self, write: &Write) -> Result<(), StoreError> {
        match write {
            Write::HardState(hard_state) => {
                self.meta.hard_state = *hard_state;
                self.write_meta()
            }
            Write::Append(entries) => entries.iter().try_for_each(|it| {
                let record = encode(&self.folder, it)?;
                self.store.append(it.index, &record)
            }),
            Write::Install(snapshot) => {
                self.write_snapshot(snapshot)?;
                self.store.reset(snapshot.index)
            }
            Write::Compact(snapshot) => {
                self.write_snapshot(snapshot)?;
                self.store.compact(snapshot.index)
            }
        }
    }

    /// Makes all writes durable.
    ///
    /// # Errors
    ///
    /// The file system failed; the folder must be opened again.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.store.sync()
    }

    fn write_meta(&mut self) -> Result<(), StoreError> {
        let bytes = encode(&self.folder, &self.meta)?;
        self.store.set_meta(&bytes)
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let bytes = encode(&self.folder, snapshot)?;
        self.store.set_snapshot(snapshot.index, &bytes)
    }

    /// Combines the snapshot with the log entries after it.
    ///
    /// Entries are kept only if the log is known to continue the snapshot: it contains the snapshot's last entry, or
    /// was reset to it. Otherwise the process crashed after it wrote a snapshot from a leader and before it reset the
    /// log.
    fn recover(&mut self, contents: Contents) -> Result<DurableState, StoreError> {
        let snapshot: Snapshot = match &contents.snapshot {
            Some((_, bytes)) => decode(&self.folder, bytes)?,
            None => Snapshot::default(),
        };
        let decoded = contents.records.iter().map(|it| decode::<Entry>(&self.folder, &it.1));
        let mut entries = decoded.collect::<Result<Vec<_>, _>>()?;
        let continues = |it: &Entry| (it.index, it.term) == (snapshot.index, snapshot.term);
        let kept = snapshot.index == 0
            || contents.base == Some(snapshot.index)
            || entries.iter().any(continues);
        entries.retain(|it| kept && it.index > snapshot.index);
        if !kept {
            self.store.reset(snapshot.index)?;
            self.store.sync()?;
        }
        Ok(DurableState { hard_state: self.meta.hard_state, snapshot, entries })
    }
}

fn encode<T>(folder: &Path, value: &T) -> Result<Vec<u8>, StoreError>
where
    T: Serialize,
{
    bincode::serde::encode_to_vec(value, standard())
        .map_err(|_| corrupt(folder, "value cannot be encoded"))
}

fn decode<T>(folder: &Path, bytes: &[u8]) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    let config = standard().with_limit::<MAX_RECORD_BYTES>();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok(_) | Err(_) => Err(corrupt(folder, "record cannot be decoded")),
    }
}

fn corrupt(folder: &Path, reason: &'static str) -> StoreError {
    StoreError::Corrupt { path: folder.to_owned(), offset: 0, reason }
}
