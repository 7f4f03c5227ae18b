//! A disk that forgets what was not synced.

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

/// A disk in memory; clones are the same disk.
///
/// A crash keeps, of each file, what was synced and an arbitrary part of what was written after that, perhaps with its
/// last byte spoilt; and, of the names in folders, what was synced and an arbitrary part of what was changed after
/// that. [`Disk::fail_after`] makes the disk fail at a chosen operation, so that a process can be killed between any
/// two of them.
#[derive(Clone, Default, Debug)]
pub struct Disk {
    state: Arc<Mutex<State>>,
}

#[derive(Default, Debug)]
struct State {
    files: Vec<Content>,
    names: BTreeMap<PathBuf, usize>,
    durable: BTreeMap<PathBuf, usize>,
    /// Operations until the disk fails.
    left: Option<u32>,
}

#[derive(Clone, Default, Debug)]
struct Content {
    written: Vec<u8>,
    synced: Vec<u8>,
}

/// A file on a [`Disk`].
#[derive(Debug)]
pub struct OpenFile {
    disk: Disk,
    file: usize,
}

impl Disk {
    /// Makes every change fail after so many more.
    pub fn fail_after(&self, operations: u32) {
        self.state.lock().left = Some(operations);
    }

    /// Ends the process and loses what it had not synced; `pick` chooses how much of that.
    pub fn crash(&self, pick: u64) {
        let state = &mut *self.state.lock();
        state.left = None;
        for (at, file) in state.files.iter_mut().enumerate() {
            file.crash(mix2(pick, at as u64));
        }
        let changed = |it: &PathBuf, names: &BTreeMap<PathBuf, usize>, other: &BTreeMap<_, _>| {
            names.get(it) != other.get(it)
        };
        let paths: Vec<_> = state.names.keys().chain(state.durable.keys()).cloned().collect();
        for (at, path) in paths.iter().enumerate() {
            let forget = mix2(pick, !(at as u64)).is_multiple_of(2);
            if !forget || !changed(path, &state.names, &state.durable) {
                continue;
            }
            match state.durable.get(path) {
                Some(file) => state.names.insert(path.clone(), *file),
                None => state.names.remove(path),
            };
        }
        state.durable = state.names.clone();
    }

    /// Flips a bit of a file; returns whether there is such a file and byte.
    pub fn flip_bit(&self, path: &Path, offset: usize) -> bool {
        let state = &mut *self.state.lock();
        let Some(file) = state.names.get(path).copied() else { return false };
        let Some(byte) = state.files[file].synced.get_mut(offset) else { return false };
        *byte ^= 1;
        state.files[file].written = state.files[file].synced.clone();
        true
    }

    /// The paths of all files.
    pub fn paths(&self) -> Vec<PathBuf> {
        self.state.lock().names.keys().cloned().collect()
    }

    /// Counts a change; fails if the disk does.
    fn change(&self) -> IoResult<parking_lot::MutexGuard<'_, State>> {
        let mut state = self.state.lock();
        if let Some(left) = &mut state.left {
            *left = left.checked_sub(1).ok_or_else(|| IoError::other("disk failed"))?;
        }
        Ok(state)
    }
}

impl Content {
    fn crash(&mut self, pick: u64) {
        if !self.written.starts_with(&self.synced) {
            // Cut but not synced: either is possible.
            if pick.is_multiple_of(2) {
                self.written = self.synced.clone();
            }
        } else {
            let tail = self.written.len() - self.synced.len();
            let kept = self.synced.len() + (pick as usize >> 8) % (tail + 1);
            self.written.truncate(kept);
            if kept > self.synced.len() && pick.is_multiple_of(3) {
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
        let inside = state.names.keys().filter_map(|it| it.strip_prefix(folder).ok());
        Ok(inside.map(|it| it.to_string_lossy().into_owned()).collect())
    }

    fn read(&self, path: &Path) -> IoResult<Option<Vec<u8>>> {
        let state = self.state.lock();
        Ok(state.names.get(path).map(|it| state.files[*it].written.clone()))
    }

    fn create(&self, path: &Path) -> IoResult<OpenFile> {
        let mut state = self.change()?;
        state.files.push(Content::default());
        let file = state.files.len() - 1;
        state.names.insert(path.to_owned(), file);
        Ok(OpenFile { disk: self.clone(), file })
    }

    fn append(&self, path: &Path) -> IoResult<OpenFile> {
        let file = self.state.lock().names.get(path).copied();
        let file = file.ok_or(ErrorKind::NotFound)?;
        Ok(OpenFile { disk: self.clone(), file })
    }

    fn rename(&self, from: &Path, to: &Path) -> IoResult<()> {
        let mut state = self.change()?;
        let file = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&self, path: &Path) -> IoResult<()> {
        self.change()?.names.remove(path);
        Ok(())
    }

    fn sync_folder(&self, _: &Path) -> IoResult<()> {
        let mut state = self.change()?;
        state.durable = state.names.clone();
        Ok(())
    }
}

impl DiskFile for OpenFile {
    fn write(&mut self, bytes: &[u8]) -> IoResult<()> {
        self.disk.change()?.files[self.file].written.extend_from_slice(bytes);
        Ok(())
    }

    fn cut(&mut self, len: u64) -> IoResult<()> {
        self.disk.change()?.files[self.file].written.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self) -> IoResult<()> {
        let mut state = self.disk.change()?;
        let file = &mut state.files[self.file];
        file.synced = file.written.clone();
        Ok(())
    }
}
