//! The segment of the log that is being written.

use {
    crate::{
        atomic_file,
        error::{StoreError, StoreStep},
        frame::{Frame, HEADER_BYTES, Kind},
        fs::{DiskFile, FileSystem},
    },
    std::path::{Path, PathBuf},
};

/// The prefix of the file names of segments.
const NAME_PREFIX: &str = "log-";

/// A segment that is open for writing.
pub(crate) struct Segment<T> {
    pub(crate) number: u64,
    /// The highest index of a record or reset in the segment.
    pub(crate) max_index: u64,
    path: PathBuf,
    file: T,
    /// The length of the durable part of the file, in bytes.
    synced_len: u64,
    /// The encoded frames that are not written yet.
    buf: Vec<u8>,
}

impl<T> Segment<T>
where
    T: DiskFile,
{
    /// Creates a segment. Its content is durable when this function returns, but its file name is
    /// not.
    pub(crate) fn create<F>(
        fs: &F,
        folder: &Path,
        number: u64,
        previous_len: u64,
    ) -> Result<Segment<T>, StoreError>
    where
        F: FileSystem<File = T>,
    {
        let path = path(folder, number);
        let file = fs.create(&path).map_err(StoreError::io(StoreStep::Write, &path))?;
        let mut segment =
            Segment { number, max_index: 0, path, file, synced_len: 0, buf: Vec::new() };
        segment.push(Kind::Open, number, &previous_len.to_le_bytes());
        segment.max_index = 0;
        segment.sync()?;
        Ok(segment)
    }

    /// Opens the last segment and truncates it to its intact frames.
    pub(crate) fn reopen<F>(
        fs: &F,
        folder: &Path,
        number: u64,
        len: u64,
        max_index: u64,
    ) -> Result<Segment<T>, StoreError>
    where
        F: FileSystem<File = T>,
    {
        let path = path(folder, number);
        let mut file = fs.open_append(&path).map_err(StoreError::io(StoreStep::Write, &path))?;
        file.truncate(len).map_err(StoreError::io(StoreStep::Write, &path))?;
        file.sync().map_err(StoreError::io(StoreStep::Sync, &path))?;
        Ok(Segment { number, max_index, path, file, synced_len: len, buf: Vec::new() })
    }

    /// Writes the intact frames of the segment to a new file in its place.
    pub(crate) fn rewrite<F>(self, fs: &F, folder: &Path) -> Result<Segment<T>, StoreError>
    where
        F: FileSystem<File = T>,
    {
        let bytes = fs.read(&self.path).map_err(StoreError::io(StoreStep::Read, &self.path))?;
        let bytes = bytes.unwrap_or_default();
        let Some(intact) = bytes.get(..self.synced_len as usize) else {
            return Err(StoreError::corrupt(&self.path, bytes.len() as u64, "file is too short"));
        };
        atomic_file::replace_raw(fs, &self.path, folder, &[intact])?;
        let file = fs.open_append(&self.path);
        let file = file.map_err(StoreError::io(StoreStep::Write, &self.path))?;
        Ok(Segment { file, ..self })
    }

    /// Buffers a frame until [`Segment::sync`].
    pub(crate) fn push(&mut self, kind: Kind, index: u64, payload: &[u8]) {
        Frame { kind, index, synced_len: self.synced_len, payload }.encode(&mut self.buf);
        self.max_index = self.max_index.max(index);
    }

    /// Writes and syncs all buffered frames.
    pub(crate) fn sync(&mut self) -> Result<(), StoreError> {
        if self.buf.is_empty() {
            return Ok(());
        }
        self.file.write(&self.buf).map_err(StoreError::io(StoreStep::Write, &self.path))?;
        self.file.sync().map_err(StoreError::io(StoreStep::Sync, &self.path))?;
        self.synced_len += self.buf.len() as u64;
        self.buf.clear();
        Ok(())
    }

    /// Returns the length of the durable part of the segment, in bytes.
    pub(crate) fn len(&self) -> u64 {
        self.synced_len
    }
}

/// Returns the path of a segment.
pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{NAME_PREFIX}{number:016x}"))
}

/// Returns the number of a segment from its file name, or `None` for other files.
pub(crate) fn number(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(NAME_PREFIX)?, 16).ok()
}

/// The size of a segment without records, in bytes.
pub(crate) const EMPTY_SEGMENT_BYTES: u64 = HEADER_BYTES as u64 + 8;
