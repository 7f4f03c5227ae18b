//! The handle to a data folder.

use {
    crate::{
        atomic_file,
        error::{StoreError, StoreStep},
        frame::Kind,
        fs::FileSystem,
        recover::{self, Contents, SegmentInfo},
        segment::{self, EMPTY_SEGMENT_BYTES, Segment},
    },
    derive_more::Debug,
    std::path::{Path, PathBuf},
};

/// The length at which a segment is closed and a new one is created, in bytes.
const DEFAULT_SEGMENT_LIMIT: u64 = 8 << 20;

const LOCK_FILE: &str = "lock";
const META_FILE: &str = "meta";
const SNAPSHOT_FILE: &str = "snapshot";

/// A data folder that is locked by this process.
///
/// Invariants: segments are numbered without gaps. All segments but the last are durable and
/// complete. `latest` in the metadata file is never higher than the number of the last segment
/// whose file name is durable.
#[derive(Debug)]
#[debug("Store({})", folder.display())]
pub struct Store<F>
where
    F: FileSystem,
{
    fs: F,
    folder: PathBuf,
    meta: Vec<u8>,
    /// The number of the last segment, as stored in the metadata file.
    latest: u64,
    /// The segments before the one that is being written.
    closed: Vec<SegmentInfo>,
    segment: Option<Segment<F::File>>,
    segment_limit: u64,
    _lock: F::Lock,
}

impl<F> Store<F>
where
    F: FileSystem,
{
    /// Locks a folder, creates it if it does not exist, and reads its contents.
    ///
    /// # Errors
    ///
    /// Another process uses the folder, data that had been synced is damaged or missing, or a file
    /// system operation failed.
    pub fn open(fs: F, folder: &Path) -> Result<(Store<F>, Contents), StoreError> {
        fs.create_folder(folder).map_err(StoreError::io(StoreStep::Write, folder))?;
        let path = folder.join(LOCK_FILE);
        let lock = fs.lock(&path).map_err(StoreError::io(StoreStep::Lock, &path))?;
        let lock = lock.ok_or(StoreError::Locked { path })?;
        let (latest, meta) = match atomic_file::read(&fs, folder, META_FILE)? {
            Some(bytes) => decode_numbered(&bytes, &folder.join(META_FILE))?,
            None => (0, None),
        };
        let snapshot = match atomic_file::read(&fs, folder, SNAPSHOT_FILE)? {
            Some(bytes) => {
                let (index, data) = decode_numbered(&bytes, &folder.join(SNAPSHOT_FILE))?;
                Some((index, data.unwrap_or_default()))
            }
            None => None,
        };
        let mut contents = Contents { meta, snapshot, ..Contents::default() };
        let mut closed = recover::read_log(&fs, folder, latest, &mut contents)?;
        check_consistency(folder, &contents, !closed.is_empty())?;
        let segment = match closed.pop() {
            Some(last) => {
                Some(Segment::reopen(&fs, folder, last.number, last.len, last.max_index)?)
            }
            None => None,
        };
        let meta = contents.meta.clone().unwrap_or_default();
        let folder = folder.to_owned();
        let segment_limit = DEFAULT_SEGMENT_LIMIT;
        let store = Store { fs, folder, meta, latest, closed, segment, segment_limit, _lock: lock };
        Ok((store, contents))
    }

    /// Writes the metadata and the last segment again.
    ///
    /// After a failed write or sync, the operating system may return data that it never wrote to
    /// the disk, and may report a later sync of it as successful.
    ///
    /// # Errors
    ///
    /// A file system operation failed.
    pub fn rewrite(&mut self) -> Result<(), StoreError> {
        if let Some(segment) = self.segment.take() {
            self.segment = Some(segment.rewrite(&self.fs, &self.folder)?);
        }
        self.write_meta()
    }

    /// Sets the length at which a segment is closed and a new one is created, in bytes.
    pub fn set_segment_limit(&mut self, bytes: u64) {
        self.segment_limit = bytes.max(EMPTY_SEGMENT_BYTES);
    }

    /// Replaces the metadata. The new metadata is durable when this method returns.
    ///
    /// # Errors
    ///
    /// A file system operation failed. After an error of any method it is unknown which writes are
    /// durable, and the folder must be opened again.
    pub fn set_meta(&mut self, meta: &[u8]) -> Result<(), StoreError> {
        self.meta = meta.to_vec();
        self.write_meta()
    }

    /// Appends a record to the log. It replaces all earlier records at or after its index.
    ///
    /// # Errors
    ///
    /// A file system operation failed.
    pub fn append(&mut self, index: u64, record: &[u8]) -> Result<(), StoreError> {
        self.writable_segment()?.push(Kind::Record, index, record);
        Ok(())
    }

    /// Removes all records of the log. The next record must follow `index`.
    ///
    /// # Errors
    ///
    /// A file system operation failed.
    pub fn reset(&mut self, index: u64) -> Result<(), StoreError> {
        self.writable_segment()?.push(Kind::Reset, index, &[]);
        Ok(())
    }

    /// Makes all appended records and resets durable.
    ///
    /// # Errors
    ///
    /// A file system operation failed.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.segment.as_mut().map_or(Ok(()), Segment::sync)
    }

    /// Replaces the snapshot. The new snapshot is durable when this method returns. The log is
    /// unchanged.
    ///
    /// # Errors
    ///
    /// A file system operation failed.
    pub fn set_snapshot(&mut self, index: u64, data: &[u8]) -> Result<(), StoreError> {
        atomic_file::replace(&self.fs, &self.folder, SNAPSHOT_FILE, &encode_numbered(index, data))
    }

    /// Removes the segments that contain only records before `index`. The record at `index` is
    /// kept.
    ///
    /// # Errors
    ///
    /// A file system operation failed.
    pub fn compact(&mut self, index: u64) -> Result<(), StoreError> {
        while self.closed.first().is_some_and(|it| it.max_index < index) {
            let path = segment::path(&self.folder, self.closed[0].number);
            self.fs.remove(&path).map_err(StoreError::io(StoreStep::Rename, &path))?;
            // The folder is synced after each removal, so that a crash leaves no gap between
            // segments.
            self.sync_folder()?;
            self.closed.remove(0);
        }
        Ok(())
    }

    /// Returns the segment to write to. Creates one if there is none or the last one has reached
    /// the limit.
    fn writable_segment(&mut self) -> Result<&mut Segment<F::File>, StoreError> {
        let full = self.segment.take_if(|it| it.len() >= self.segment_limit);
        if let Some(mut full) = full {
            full.sync()?;
            let (number, max_index, len) = (full.number, full.max_index, full.len());
            self.closed.push(SegmentInfo { number, max_index, len });
        }
        if self.segment.is_none() {
            let segment = self.create_segment()?;
            self.segment = Some(segment);
        }
        // The segment was created above if there was none.
        self.segment
            .as_mut()
            .ok_or_else(|| StoreError::corrupt(&self.folder, 0, "no segment is open for writing"))
    }

    fn create_segment(&mut self) -> Result<Segment<F::File>, StoreError> {
        let last = self.closed.last().copied();
        let (number, previous_len) =
            last.map_or((self.latest + 1, 0), |it| (it.number + 1, it.len));
        let segment = Segment::create(&self.fs, &self.folder, number, previous_len)?;
        self.sync_folder()?;
        self.latest = number;
        self.write_meta()?;
        Ok(segment)
    }

    fn write_meta(&self) -> Result<(), StoreError> {
        atomic_file::replace(
            &self.fs,
            &self.folder,
            META_FILE,
            &encode_numbered(self.latest, &self.meta),
        )
    }

    fn sync_folder(&self) -> Result<(), StoreError> {
        self.fs.sync_folder(&self.folder).map_err(StoreError::io(StoreStep::Sync, &self.folder))
    }
}

/// Checks that the metadata, the snapshot and the log are consistent.
fn check_consistency(folder: &Path, contents: &Contents, has_log: bool) -> Result<(), StoreError> {
    let has_data = has_log || contents.snapshot.is_some();
    if contents.meta.is_none() && has_data {
        return Err(StoreError::corrupt(&folder.join(META_FILE), 0, "file is missing"));
    }
    let snapshot_index = contents.snapshot.as_ref().map_or(0, |it| it.0);
    let first = contents.records.first().map(|it| it.0);
    if first.is_some_and(|it| it > snapshot_index + 1)
        || contents.base.is_some_and(|it| it > snapshot_index)
    {
        let reason = "file is missing or older than the log";
        return Err(StoreError::corrupt(&folder.join(SNAPSHOT_FILE), 0, reason));
    }
    Ok(())
}

fn encode_numbered(number: u64, data: &[u8]) -> Vec<u8> {
    [&number.to_le_bytes(), data].concat()
}

fn decode_numbered(bytes: &[u8], path: &Path) -> Result<(u64, Option<Vec<u8>>), StoreError> {
    let Some((number, data)) = bytes.split_first_chunk() else {
        return Err(StoreError::corrupt(path, 0, "file is too short"));
    };
    Ok((u64::from_le_bytes(*number), Some(data.to_vec())))
}
