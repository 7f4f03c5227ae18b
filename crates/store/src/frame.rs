//! The frames of a segment of the log.
//!
//! Layout, in little-endian order: magic (4 bytes), length of the payload (4), CRC-32 of the rest
//! of the frame (4), length of the file that was synced when the frame was written (8), index (8),
//! kind (1), payload.

use derive_more::Debug;

const MAGIC: [u8; 4] = *b"JFL1";
const CRC_START: usize = 8;
const BODY_START: usize = 12;

/// The size of a frame without its payload, in bytes.
pub(crate) const HEADER_BYTES: usize = 29;

/// The kind of a frame.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Kind {
    /// The first frame of a segment. The index is the number of the segment, the payload is the
    /// length of the previous segment.
    Open,
    /// A record of the log. It replaces all earlier records at or after its index.
    Record,
    /// Removes all records of the log. The next record follows this index.
    Reset,
}

/// A frame within a segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Frame<'a> {
    pub(crate) kind: Kind,
    pub(crate) index: u64,
    pub(crate) synced_len: u64,
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let start = buf.len();
        buf.extend_from_slice(&MAGIC);
        buf.extend_from_slice(&(self.payload.len() as u32).to_le_bytes());
        buf.extend_from_slice(&[0; 4]);
        buf.extend_from_slice(&self.synced_len.to_le_bytes());
        buf.extend_from_slice(&self.index.to_le_bytes());
        buf.push(self.kind as u8);
        buf.extend_from_slice(self.payload);
        let crc = crc32fast::hash(&buf[start + BODY_START..]);
        buf[start + CRC_START..start + BODY_START].copy_from_slice(&crc.to_le_bytes());
    }

    /// Returns the size of the frame in bytes.
    pub(crate) fn len(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Decodes the first frame of `bytes`. Returns `None` if it is damaged or incomplete.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame<'_>> {
    let rest = bytes.strip_prefix(&MAGIC)?;
    let (len, rest) = rest.split_first_chunk()?;
    let (crc, body) = rest.split_first_chunk()?;
    let body = body.get(..HEADER_BYTES - BODY_START + u32::from_le_bytes(*len) as usize)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*crc) {
        return None;
    }
    let (synced_len, rest) = body.split_first_chunk()?;
    let (index, rest) = rest.split_first_chunk()?;
    let (kind, payload) = rest.split_first()?;
    let kind = match kind {
        0 => Kind::Open,
        1 => Kind::Record,
        2 => Kind::Reset,
        _ => return None,
    };
    let (synced_len, index) = (u64::from_le_bytes(*synced_len), u64::from_le_bytes(*index));
    Some(Frame { kind, index, synced_len, payload })
}

/// Returns whether an intact frame after `offset` states that the file was synced beyond `offset`.
pub(crate) fn is_synced_beyond(bytes: &[u8], offset: usize) -> bool {
    let starts = offset + 1..bytes.len().saturating_sub(HEADER_BYTES - 1);
    let mut later_frames = starts.filter(|it| bytes[*it..].starts_with(&MAGIC));
    later_frames
        .any(|it| decode(&bytes[it..]).is_some_and(|frame| frame.synced_len > offset as u64))
}
