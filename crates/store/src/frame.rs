//! The frames that a segment of the log consists of.
//!
//! Layout, little-endian: magic (4 bytes), length of the payload (4), CRC-32 of what follows (4), how much of the file
//! was synced when the frame was written (8), index (8), kind (1), payload.

use derive_more::Debug;

const MAGIC: [u8; 4] = *b"JFL1";
const CRC_START: usize = 8;
const BODY_START: usize = 12;

/// The bytes of a frame without payload.
pub(crate) const HEAD_BYTES: usize = 29;

/// What a frame means.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Kind {
    /// Opens a segment; the index is the segment's number, the payload the length of the segment before it.
    Open,
    /// A record of the log; it voids all that was at or after its index.
    Record,
    /// Voids the whole log; the next record follows this index.
    Reset,
}

/// A frame within a segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Frame<'a> {
    pub(crate) kind: Kind,
    pub(crate) index: u64,
    pub(crate) synced: u64,
    pub(crate) payload: &'a [u8],
}

impl Frame<'_> {
    pub(crate) fn encode(&self, buf: &mut Vec<u8>) {
        let start = buf.len();
        buf.extend_from_slice(&MAGIC);
        buf.extend_from_slice(&(self.payload.len() as u32).to_le_bytes());
        buf.extend_from_slice(&[0; 4]);
        buf.extend_from_slice(&self.synced.to_le_bytes());
        buf.extend_from_slice(&self.index.to_le_bytes());
        buf.push(self.kind as u8);
        buf.extend_from_slice(self.payload);
        let crc = crc32fast::hash(&buf[start + BODY_START..]);
        buf[start + CRC_START..start + BODY_START].copy_from_slice(&crc.to_le_bytes());
    }

    /// How many bytes it takes.
    pub(crate) fn len(&self) -> usize {
        HEAD_BYTES + self.payload.len()
    }
}

/// Returns the frame at the front of `bytes`, or nothing if it is damaged or cut.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame<'_>> {
    let rest = bytes.strip_prefix(&MAGIC)?;
    let (len, rest) = rest.split_first_chunk()?;
    let (crc, body) = rest.split_first_chunk()?;
    let body = body.get(..HEAD_BYTES - BODY_START + u32::from_le_bytes(*len) as usize)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*crc) {
        return None;
    }
    let (synced, rest) = body.split_first_chunk()?;
    let (index, rest) = rest.split_first_chunk()?;
    let (kind, payload) = rest.split_first()?;
    let kind = match kind {
        0 => Kind::Open,
        1 => Kind::Record,
        2 => Kind::Reset,
        _ => return None,
    };
    let (synced, index) = (u64::from_le_bytes(*synced), u64::from_le_bytes(*index));
    Some(Frame { kind, index, synced, payload })
}

/// Whether a whole frame after `offset` says that the file was synced beyond `offset`.
pub(crate) fn is_synced(bytes: &[u8], offset: usize) -> bool {
    let starts = offset + 1..bytes.len().saturating_sub(HEAD_BYTES - 1);
    let mut later = starts.filter(|it| bytes[*it..].starts_with(&MAGIC));
    later.any(|it| decode(&bytes[it..]).is_some_and(|frame| frame.synced > offset as u64))
}
