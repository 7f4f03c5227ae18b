//! The segment that is being written.

use {
    crate::{
        error::{StoreError, StoreStep},
        frame::{Frame, HEAD_BYTES, Kind},
        fs::{DiskFile, FileSystem},
    },
    std::path::{Path, PathBuf},
};

const PREFIX: &str = "log-";

/// A segment that is open for writing.
pub(crate) struct Segment<T> {
    pub(crate) number: u64,
    pub(crate) highest: u64,
    path: PathBuf,
    file: T,
    /// How much of the file is durable.
    synced: u64,
    buf: Vec<u8>,
}

impl<T> Segment<T>
where
    T: DiskFile,
{
    /// Makes a segment; it is durable, but its name is not, when this returns.
    pub(crate) fn create<F>(
        fs: &F,
        folder: &Path,
        number: u64,
        before: u64,
    ) -> Result<Segment<T>, StoreError>
    where
        F: FileSystem<File = T>,
    {
        let path = path(folder, number);
        let file = fs.create(&path).map_err(StoreError::io(StoreStep::Write, &path))?;
        let mut segment = Segment { number, highest: 0, path, file, synced: 0, buf: Vec::new() };
        segment.push(Kind::Open, number, &before.to_le_bytes());
        segment.highest = 0;
        segment.sync()?;
        Ok(segment)
    }

    /// Opens the last segment, cutting it to its whole frames.
    pub(crate) fn reopen<F>(
        fs: &F,
        folder: &Path,
        number: u64,
        len: u64,
        highest: u64,
    ) -> Result<Segment<T>, StoreError>
    where
        F: FileSystem<File = T>,
    {
        let path = path(folder, number);
        let mut file = fs.open_append(&path).map_err(StoreError::io(StoreStep::Write, &path))?;
        file.truncate(len).map_err(StoreError::io(StoreStep::Write, &path))?;
        file.sync().map_err(StoreError::io(StoreStep::Sync, &path))?;
        Ok(Segment { number, highest, path, file, synced: len, buf: Vec::new() })
    }

    /// Adds a frame that [`Segment::sync`] will write.
    pub(crate) fn push(&mut self, kind: Kind, index: u64, payload: &[u8]) {
        Frame { kind, index, synced: self.synced, payload }.encode(&mut self.buf);
        self.highest = self.highest.max(index);
    }

    /// Writes and syncs all frames.
    pub(crate) fn sync(&mut self) -> Result<(), StoreError> {
        if self.buf.is_empty() {
            return Ok(());
        }
        self.file.write(&self.buf).map_err(StoreError::io(StoreStep::Write, &self.path))?;
        self.file.sync().map_err(StoreError::io(StoreStep::Sync, &self.path))?;
        self.synced += self.buf.len() as u64;
        self.buf.clear();
        Ok(())
    }

    /// The length of what is durable.
    pub(crate) fn len(&self) -> u64 {
        self.synced
    }
}

/// The path of a segment.
pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:016x}"))
}

/// The number of a segment, from its file name.
pub(crate) fn number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(PREFIX)?, 16).ok()
}

/// The bytes of a segment that holds nothing.
pub(crate) const EMPTY_BYTES: u64 = HEAD_BYTES as u64 + 8;
