//! Reads the log of a data folder after a restart.

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

/// The contents of a data folder.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Contents {
    /// The metadata; `None` in a new folder.
    pub meta: Option<Vec<u8>>,
    /// The index of the snapshot, and the snapshot.
    #[debug("{:?}", snapshot.as_ref().map(|it| it.0))]
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// The index that the log was reset to, if the records continue from there.
    pub base: Option<u64>,
    /// The records with their indexes, without gaps.
    #[debug("{} records", records.len())]
    pub records: Vec<(u64, Vec<u8>)>,
}

/// A segment that has been read or written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentInfo {
    pub(crate) number: u64,
    /// The highest index of a record or reset in the segment.
    pub(crate) max_index: u64,
    /// The total length of its intact frames, in bytes.
    pub(crate) len: u64,
}

/// Reads all segments into `contents`. `latest` is the number of the last segment known to have
/// been created.
pub(crate) fn read_log<F>(
    fs: &F,
    folder: &Path,
    latest: u64,
    contents: &mut Contents,
) -> Result<Vec<SegmentInfo>, StoreError>
where
    F: FileSystem,
{
    let names = fs.list(folder).map_err(StoreError::io(StoreStep::List, folder))?;
    let mut numbers: Vec<_> = names.iter().filter_map(|it| segment::number(it)).collect();
    numbers.sort_unstable();
    let mut segments: Vec<SegmentInfo> = Vec::new();
    for (position, number) in numbers.iter().copied().enumerate() {
        let is_last = position + 1 == numbers.len();
        let previous = segments.last().copied();
        if let Some(segment) = read_segment(fs, folder, number, previous, is_last, contents)? {
            segments.push(segment);
        }
    }
    if segments.last().map_or(0, |it| it.number) < latest {
        let path = segment::path(folder, latest);
        return Err(StoreError::corrupt(&path, 0, "segment is missing or has no intact frame"));
    }
    Ok(segments)
}

/// Reads a segment into `contents`. Returns `None` if it is the last one and the process ended
/// before its first frame was complete.
fn read_segment<F>(
    fs: &F,
    folder: &Path,
    number: u64,
    previous: Option<SegmentInfo>,
    is_last: bool,
    contents: &mut Contents,
) -> Result<Option<SegmentInfo>, StoreError>
where
    F: FileSystem,
{
    let path = segment::path(folder, number);
    let bytes = fs.read(&path).map_err(StoreError::io(StoreStep::Read, &path))?;
    let bytes = bytes.unwrap_or_default();
    let mut info = SegmentInfo { number, max_index: 0, len: 0 };
    while let Some(frame) = frame::decode(&bytes[info.len as usize..]) {
        let valid = match frame.kind {
            Kind::Open => info.len == 0 && follows_previous(&frame, number, previous),
            Kind::Record | Kind::Reset => info.len > 0 && apply_frame(&frame, contents),
        };
        if !valid {
            return Err(StoreError::corrupt(&path, info.len, "frame does not continue the log"));
        }
        if !matches!(frame.kind, Kind::Open) {
            info.max_index = info.max_index.max(frame.index);
        }
        info.len += frame.len() as u64;
    }
    let complete = info.len == bytes.len() as u64;
    if !complete && (!is_last || frame::is_synced_beyond(&bytes, info.len as usize)) {
        return Err(StoreError::corrupt(&path, info.len, "checksum mismatch"));
    }
    if info.len == 0 && !is_last {
        return Err(StoreError::corrupt(&path, 0, "segment is empty"));
    }
    Ok((info.len > 0).then_some(info))
}

/// Returns whether a segment follows the previous one, and that one is as long as it was when the
/// segment was created.
fn follows_previous(frame: &Frame<'_>, number: u64, previous: Option<SegmentInfo>) -> bool {
    let Ok(len) = frame.payload.try_into().map(u64::from_le_bytes) else { return false };
    frame.index == number && previous.is_none_or(|it| it.number + 1 == number && it.len == len)
}

/// Applies a frame to the log. Returns whether it continues the existing records.
fn apply_frame(frame: &Frame<'_>, contents: &mut Contents) -> bool {
    let records = &mut contents.records;
    if matches!(frame.kind, Kind::Reset) {
        records.clear();
        contents.base = Some(frame.index);
        return true;
    }
    if let Some((first, _)) = records.first() {
        records.truncate(frame.index.saturating_sub(*first) as usize);
    }
    let expected = match (records.last(), contents.base) {
        (Some((last, _)), _) => *last + 1,
        (None, Some(base)) if frame.index <= base => {
            contents.base = None;
            frame.index
        }
        (None, Some(base)) => base + 1,
        (None, None) => frame.index,
    };
    records.push((frame.index, frame.payload.to_vec()));
    frame.index == expected
}
