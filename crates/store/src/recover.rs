//! Reading a data folder after a restart.

use {
    crate::{
        error::{StoreError, StoreStep},
        frame::{self, Frame, Kind},
        fs::FileSystem,
        segment,
    },
    derive_more::Debug,
    std::path::Path,
};

/// What a data folder holds.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Contents {
    /// The metadata; nothing in a new folder.
    pub meta: Option<Vec<u8>>,
    /// The snapshot, with its index.
    #[debug("{:?}", snapshot.as_ref().map(|it| it.0))]
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// The index that the log was reset to, if the first record follows that.
    pub base: Option<u64>,
    /// The records, with their indexes, without gaps.
    #[debug("{} records", records.len())]
    pub records: Vec<(u64, Vec<u8>)>,
}

/// A segment as it was found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Found {
    pub(crate) number: u64,
    pub(crate) highest: u64,
    /// The length of its whole frames.
    pub(crate) len: u64,
}

/// Reads all segments into `contents`; `latest` is the last one that is known to have been made.
pub(crate) fn read_log<F>(
    fs: &F,
    folder: &Path,
    latest: u64,
    contents: &mut Contents,
) -> Result<Vec<Found>, StoreError>
where
    F: FileSystem,
{
    let names = fs.list(folder).map_err(StoreError::io(StoreStep::List, folder))?;
    let mut numbers: Vec<_> = names.iter().filter_map(|it| segment::number(it)).collect();
    numbers.sort_unstable();
    let mut found: Vec<Found> = Vec::new();
    for (at, number) in numbers.iter().copied().enumerate() {
        let last = at + 1 == numbers.len();
        let before = found.last().copied();
        if let Some(read) = read_segment(fs, folder, number, before, last, contents)? {
            found.push(read);
        }
    }
    if found.last().map_or(0, |it| it.number) < latest {
        let path = segment::path(folder, latest);
        return Err(StoreError::corrupt(&path, 0, "segment is missing or has no whole frame"));
    }
    Ok(found)
}

/// Reads one segment; nothing if it is the last one and was being made when the process ended.
fn read_segment<F>(
    fs: &F,
    folder: &Path,
    number: u64,
    before: Option<Found>,
    last: bool,
    contents: &mut Contents,
) -> Result<Option<Found>, StoreError>
where
    F: FileSystem,
{
    let path = segment::path(folder, number);
    let bytes = fs.read(&path).map_err(StoreError::io(StoreStep::Read, &path))?;
    let bytes = bytes.unwrap_or_default();
    let mut read = Found { number, highest: 0, len: 0 };
    while let Some(frame) = frame::decode(&bytes[read.len as usize..]) {
        let fits = match frame.kind {
            Kind::Open => read.len == 0 && opens(&frame, number, before),
            Kind::Record | Kind::Reset => read.len > 0 && take(&frame, contents),
        };
        if !fits {
            return Err(StoreError::corrupt(
                &path,
                read.len,
                "frame does not follow the one before",
            ));
        }
        if !matches!(frame.kind, Kind::Open) {
            read.highest = read.highest.max(frame.index);
        }
        read.len += frame.len() as u64;
    }
    let whole = read.len == bytes.len() as u64;
    if !whole && (!last || frame::is_synced(&bytes, read.len as usize)) {
        return Err(StoreError::corrupt(&path, read.len, "checksum does not fit"));
    }
    if read.len == 0 && !last {
        return Err(StoreError::corrupt(&path, 0, "segment is empty"));
    }
    Ok((read.len > 0).then_some(read))
}

/// Whether a segment follows the one before, which is as long as it was when this one was made.
fn opens(frame: &Frame<'_>, number: u64, before: Option<Found>) -> bool {
    let Ok(len) = frame.payload.try_into().map(u64::from_le_bytes) else { return false };
    frame.index == number && before.is_none_or(|it| it.number + 1 == number && it.len == len)
}

/// Takes a frame into the log; returns whether it follows what is there.
fn take(frame: &Frame<'_>, contents: &mut Contents) -> bool {
    let records = &mut contents.records;
    if matches!(frame.kind, Kind::Reset) {
        records.clear();
        contents.base = Some(frame.index);
        return true;
    }
    if let Some((first, _)) = records.first() {
        records.truncate(frame.index.saturating_sub(*first) as usize);
    }
    let next = match (records.last(), contents.base) {
        (Some((last, _)), _) => *last + 1,
        (None, Some(base)) if frame.index <= base => {
            contents.base = None;
            frame.index
        }
        (None, Some(base)) => base + 1,
        (None, None) => frame.index,
    };
    records.push((frame.index, frame.payload.to_vec()));
    frame.index == next
}
