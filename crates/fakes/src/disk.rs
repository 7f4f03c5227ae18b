//! An in-memory disk that loses unsynced data in a crash.

use {
    model::mix2,
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        io::{Error as IoError, ErrorKind, Result as IoResult},
        path::{Path, PathBuf},
        sync::Arc,
    },
    store::{DiskFile, FileSystem},
};

/// An in-memory disk. Clones share the same content.
///
/// A crash keeps the synced content of each file and an arbitrary prefix of the data written after
/// the last sync, possibly with a corrupt last byte. Of the directory entries, it keeps the synced
/// state and an arbitrary subset of the later changes. [`Disk::fail_after`] makes the disk fail at
/// a chosen operation, to kill a process between any two operations, or until [`Disk::repair`]. A
/// file of which a sync failed stays readable, and nothing written to it becomes durable any more.
#[derive(Clone, Default, Debug)]
pub struct Disk {
    state: Arc<Mutex<State>>,
}

#[derive(Default, Debug)]
struct State {
    files: Vec<FileContent>,
    /// The current directory entries, as indexes into `files`.
    entries: BTreeMap<PathBuf, usize>,
    /// The directory entries as of the last sync.
    synced_entries: BTreeMap<PathBuf, usize>,
    /// The number of changes until the disk fails.
    remaining_changes: Option<u32>,
}

#[derive(Clone, Default, Debug)]
struct FileContent {
    written: Vec<u8>,
    synced: Vec<u8>,
    /// Whether a sync failed: later ones succeed, but do not make anything durable.
    sync_failed: bool,
}

/// An open file on a [`Disk`].
#[derive(Debug)]
pub struct OpenFile {
    disk: Disk,
    file: usize,
}

impl Disk {
    /// Makes every change fail after the next `operations` changes.
    pub fn fail_after(&self, operations: u32) {
        self.state.lock().remaining_changes = Some(operations);
    }

    /// Ends the failure that [`Disk::fail_after`] began. The content stays as it is.
    pub fn repair(&self) {
        self.state.lock().remaining_changes = None;
    }

    /// Simulates a crash that loses unsynced data; `seed` determines which part of it.
    pub fn crash(&self, seed: u64) {
        let state = &mut *self.state.lock();
        state.remaining_changes = None;
        for (index, file) in state.files.iter_mut().enumerate() {
            file.crash(mix2(seed, index as u64));
        }
        let changed = |it: &PathBuf, entries: &BTreeMap<PathBuf, usize>, other: &BTreeMap<_, _>| {
            entries.get(it) != other.get(it)
        };
        let paths: Vec<_> =
            state.entries.keys().chain(state.synced_entries.keys()).cloned().collect();
        for (index, path) in paths.iter().enumerate() {
            let revert = mix2(seed, !(index as u64)).is_multiple_of(2);
            if !revert || !changed(path, &state.entries, &state.synced_entries) {
                continue;
            }
            match state.synced_entries.get(path) {
                Some(file) => state.entries.insert(path.clone(), *file),
                None => state.entries.remove(path),
            };
        }
        state.synced_entries = state.entries.clone();
    }

    /// Flips a bit in the synced content of a file. Returns whether the file and the byte exist.
    ///
    /// Unsynced data of the file is lost.
    pub fn flip_bit(&self, path: &Path, offset: usize) -> bool {
        let state = &mut *self.state.lock();
        let Some(file) = state.entries.get(path).copied() else { return false };
        let Some(byte) = state.files[file].synced.get_mut(offset) else { return false };
        *byte ^= 1;
        state.files[file].written = state.files[file].synced.clone();
        true
    }

    /// Returns the paths of all files.
    pub fn paths(&self) -> Vec<PathBuf> {
        self.state.lock().entries.keys().cloned().collect()
    }

    /// Counts a change, and fails if the disk is to fail now.
    fn begin_change(&self) -> IoResult<parking_lot::MutexGuard<'_, State>> {
        let mut state = self.state.lock();
        if let Some(remaining) = &mut state.remaining_changes {
            *remaining = remaining.checked_sub(1).ok_or_else(|| IoError::other("disk failed"))?;
        }
        Ok(state)
    }
}

impl FileContent {
    fn crash(&mut self, seed: u64) {
        self.sync_failed = false;
        if !self.written.starts_with(&self.synced) {
            // After an unsynced truncation, either content is possible.
            if seed.is_multiple_of(2) {
                self.written = self.synced.clone();
            }
        } else {
            let tail = self.written.len() - self.synced.len();
            let kept = self.synced.len() + (seed as usize >> 8) % (tail + 1);
            self.written.truncate(kept);
            if kept > self.synced.len() && seed.is_multiple_of(3) {
                self.written[kept - 1] ^= 0x55;
            }
        }
        self.synced = self.written.clone();
    }
}

impl FileSystem for Disk {
    type File = OpenFile;
    type Lock = ();

    fn create_folder(&self, _: &Path) -> IoResult<()> {
        Ok(())
    }

    fn lock(&self, _: &Path) -> IoResult<Option<()>> {
        Ok(Some(()))
    }

    fn list(&self, folder: &Path) -> IoResult<Vec<String>> {
        let state = self.state.lock();
        let names = state.entries.keys().filter_map(|it| it.strip_prefix(folder).ok());
        Ok(names.map(|it| it.to_string_lossy().into_owned()).collect())
    }

    fn read(&self, path: &Path) -> IoResult<Option<Vec<u8>>> {
        let state = self.state.lock();
        Ok(state.entries.get(path).map(|it| state.files[*it].written.clone()))
    }

    fn create(&self, path: &Path) -> IoResult<OpenFile> {
        let mut state = self.begin_change()?;
        state.files.push(FileContent::default());
        let file = state.files.len() - 1;
        state.entries.insert(path.to_owned(), file);
        Ok(OpenFile { disk: self.clone(), file })
    }

    fn open_append(&self, path: &Path) -> IoResult<OpenFile> {
        let file = self.state.lock().entries.get(path).copied();
        let file = file.ok_or(ErrorKind::NotFound)?;
        Ok(OpenFile { disk: self.clone(), file })
    }

    fn rename(&self, from: &Path, to: &Path) -> IoResult<()> {
        let mut state = self.begin_change()?;
        let file = state.entries.remove(from).ok_or(ErrorKind::NotFound)?;
        state.entries.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, path: &Path) -> IoResult<()> {
        self.begin_change()?.entries.remove(path);
        Ok(())
    }

    fn sync_folder(&self, _: &Path) -> IoResult<()> {
        let mut state = self.begin_change()?;
        state.synced_entries = state.entries.clone();
        Ok(())
    }
}

impl DiskFile for OpenFile {
    fn write(&mut self, bytes: &[u8]) -> IoResult<()> {
        self.disk.begin_change()?.files[self.file].written.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, len: u64) -> IoResult<()> {
        self.disk.begin_change()?.files[self.file].written.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self) -> IoResult<()> {
        let mut state = match self.disk.begin_change() {
            Ok(state) => state,
            Err(err) => {
                self.disk.state.lock().files[self.file].sync_failed = true;
                return Err(err);
            }
        };
        let file = &mut state.files[self.file];
        if !file.sync_failed {
            file.synced = file.written.clone();
        }
        Ok(())
    }
}
