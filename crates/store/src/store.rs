//! The handle of a data folder.

use {
    crate::{
        error::{StoreError, StoreStep},
        frame::Kind,
        fs::FileSystem,
        recover::{self, Contents, Found},
        replace,
        segment::{self, EMPTY_BYTES, Segment},
    },
    derive_more::Debug,
    std::path::{Path, PathBuf},
};

/// The length from which a segment is followed by a new one.
const SEGMENT_BYTES: u64 = 8 << 20;

const LOCK: &str = "lock";
const META: &str = "meta";
const SNAPSHOT: &str = "snapshot";

/// A data folder that this process has locked.
///
/// Invariants: segments are numbered without gaps; all but the last are durable and whole; `latest` in the metadata
/// is never higher than the last segment whose name is durable.
#[derive(Debug)]
#[debug("Store({})", folder.display())]
pub struct Store<F>
where
    F: FileSystem,
{
    fs: F,
    folder: PathBuf,
    meta: Vec<u8>,
    latest: u64,
    /// The segments before the one being written.
    closed: Vec<Found>,
    segment: Option<Segment<F::File>>,
    limit: u64,
    _lock: F::Lock,
}

impl<F> Store<F>
where
    F: FileSystem,
{
    /// Locks a folder, making it if need be, and reads what it holds.
    ///
    /// # Errors
    ///
    /// Another process has it, or something that was synced is damaged or missing.
    pub fn open(fs: F, folder: &Path) -> Result<(Store<F>, Contents), StoreError> {
        fs.create_folder(folder).map_err(StoreError::io(StoreStep::Write, folder))?;
        let path = folder.join(LOCK);
        let lock = fs.lock(&path).map_err(StoreError::io(StoreStep::Lock, &path))?;
        let lock = lock.ok_or(StoreError::Locked { path })?;
        let (latest, meta) = match replace::read(&fs, folder, META)? {
            Some(bytes) => split(&bytes, &folder.join(META))?,
            None => (0, None),
        };
        let snapshot = match replace::read(&fs, folder, SNAPSHOT)? {
            Some(bytes) => {
                let (index, data) = split(&bytes, &folder.join(SNAPSHOT))?;
                Some((index, data.unwrap_or_default()))
            }
            None => None,
        };
        let mut contents = Contents { meta, snapshot, ..Contents::default() };
        let mut closed = recover::read_log(&fs, folder, latest, &mut contents)?;
        check(folder, &contents, !closed.is_empty())?;
        let segment = match closed.pop() {
            Some(last) => Some(Segment::reopen(&fs, folder, last.number, last.len, last.highest)?),
            None => None,
        };
        let meta = contents.meta.clone().unwrap_or_default();
        let folder = folder.to_owned();
        let limit = SEGMENT_BYTES;
        let store = Store { fs, folder, meta, latest, closed, segment, limit, _lock: lock };
        Ok((store, contents))
    }

    /// Sets the length from which a segment is followed by a new one, in bytes.
    pub fn set_segment_limit(&mut self, bytes: u64) {
        self.limit = bytes.max(EMPTY_BYTES);
    }

    /// Replaces the metadata; it is durable when this returns.
    ///
    /// # Errors
    ///
    /// The file system failed; so for all methods. What is durable is unknown then: open the folder again.
    pub fn set_meta(&mut self, meta: &[u8]) -> Result<(), StoreError> {
        self.meta = meta.to_vec();
        self.write_meta()
    }

    /// Adds a record to the log. All that was at or after its index is void.
    ///
    /// # Errors
    ///
    /// The file system failed.
    pub fn append(&mut self, index: u64, record: &[u8]) -> Result<(), StoreError> {
        self.writable()?.push(Kind::Record, index, record);
        Ok(())
    }

    /// Voids the whole log; the next record must follow `index`.
    ///
    /// # Errors
    ///
    /// The file system failed.
    pub fn reset(&mut self, index: u64) -> Result<(), StoreError> {
        self.writable()?.push(Kind::Reset, index, &[]);
        Ok(())
    }

    /// Makes all records durable.
    ///
    /// # Errors
    ///
    /// The file system failed.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.segment.as_mut().map_or(Ok(()), Segment::sync)
    }

    /// Replaces the snapshot; it is durable when this returns. The log is left as it is.
    ///
    /// # Errors
    ///
    /// The file system failed.
    pub fn set_snapshot(&mut self, index: u64, data: &[u8]) -> Result<(), StoreError> {
        replace::replace(&self.fs, &self.folder, SNAPSHOT, &join(index, data))
    }

    /// Removes the segments whose records all lie before an index; the record at the index stays.
    ///
    /// # Errors
    ///
    /// The file system failed.
    pub fn compact(&mut self, index: u64) -> Result<(), StoreError> {
        while self.closed.first().is_some_and(|it| it.highest < index) {
            let path = segment::path(&self.folder, self.closed[0].number);
            self.fs.remove(&path).map_err(StoreError::io(StoreStep::Rename, &path))?;
            // One at a time, so that a crash leaves no gap between segments.
            self.sync_folder()?;
            self.closed.remove(0);
        }
        Ok(())
    }

    /// The segment to write to; makes the first one, or the next one when the last is long enough.
    fn writable(&mut self) -> Result<&mut Segment<F::File>, StoreError> {
        let full = self.segment.take_if(|it| it.len() >= self.limit);
        if let Some(mut full) = full {
            full.sync()?;
            let (number, highest, len) = (full.number, full.highest, full.len());
            self.closed.push(Found { number, highest, len });
        }
        if self.segment.is_none() {
            let segment = self.create()?;
            self.segment = Some(segment);
        }
        // The line before has set it.
        self.segment
            .as_mut()
            .ok_or_else(|| StoreError::corrupt(&self.folder, 0, "no segment is open for writing"))
    }

    fn create(&mut self) -> Result<Segment<F::File>, StoreError> {
        let last = self.closed.last().copied();
        let (number, before) = last.map_or((self.latest + 1, 0), |it| (it.number + 1, it.len));
        let segment = Segment::create(&self.fs, &self.folder, number, before)?;
        self.sync_folder()?;
        self.latest = number;
        self.write_meta()?;
        Ok(segment)
    }

    fn write_meta(&self) -> Result<(), StoreError> {
        replace::replace(&self.fs, &self.folder, META, &join(self.latest, &self.meta))
    }

    fn sync_folder(&self) -> Result<(), StoreError> {
        self.fs.sync_folder(&self.folder).map_err(StoreError::io(StoreStep::Sync, &self.folder))
    }
}

/// Checks that what was found belongs together.
fn check(folder: &Path, contents: &Contents, has_log: bool) -> Result<(), StoreError> {
    let used = has_log || contents.snapshot.is_some();
    if contents.meta.is_none() && used {
        return Err(StoreError::corrupt(&folder.join(META), 0, "file is missing"));
    }
    let covered = contents.snapshot.as_ref().map_or(0, |it| it.0);
    let first = contents.records.first().map(|it| it.0);
    if first.is_some_and(|it| it > covered + 1) || contents.base.is_some_and(|it| it > covered) {
        let reason = "file is missing or older than the log";
        return Err(StoreError::corrupt(&folder.join(SNAPSHOT), 0, reason));
    }
    Ok(())
}

fn join(number: u64, data: &[u8]) -> Vec<u8> {
    [&number.to_le_bytes(), data].concat()
}

fn split(bytes: &[u8], path: &Path) -> Result<(u64, Option<Vec<u8>>), StoreError> {
    let Some((number, data)) = bytes.split_first_chunk() else {
        return Err(StoreError::corrupt(path, 0, "file is too short"));
    };
    Ok((u64::from_le_bytes(*number), Some(data.to_vec())))
}
