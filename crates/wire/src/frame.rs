//! Length-prefixed `bincode` frames.

use {
    bytes::{Buf, BufMut, Bytes, BytesMut},
    derive_more::{Debug, Display, Error},
    serde::{Serialize, de::DeserializeOwned},
};

/// The maximum length of a frame, in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 32 << 20;

const LENGTH_PREFIX_BYTES: usize = 4;

/// A frame that cannot be encoded or decoded.
#[derive(Debug, Display, Error)]
pub(crate) enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[display("frame of {bytes} bytes exceeds {MAX_FRAME_BYTES}")]
    TooLong { bytes: usize },
    /// The frame is not an encoding of the expected message.
    #[display("malformed frame")]
    Malformed,
    /// The stream ended inside a frame.
    #[display("stream ended inside a frame")]
    Truncated,
}

/// A message that is encoded once and can be sent on several streams.
#[derive(Clone, Debug)]
#[debug("Encoded({} bytes)", _0.len())]
pub struct Encoded(pub(crate) Bytes);

impl Encoded {
    /// Encodes a message. Returns `None` if it cannot be encoded or is longer than
    /// [`MAX_FRAME_BYTES`].
    pub fn new<M>(message: &M) -> Option<Encoded>
    where
        M: Serialize,
    {
        encode(message).ok().map(Encoded)
    }

    /// Returns the length of the encoded frame in bytes, including its length prefix.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Encodes a message and prefixes it with its length.
pub(crate) fn encode<M>(message: &M) -> Result<Bytes, FrameError>
where
    M: Serialize,
{
    let mut buf = BytesMut::with_capacity(128);
    buf.put_u32_le(0);
    let mut writer = buf.writer();
    bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
        .map_err(|_| FrameError::Malformed)?;
    let mut buf = writer.into_inner();
    let len = buf.len() - LENGTH_PREFIX_BYTES;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { bytes: len });
    }
    buf[..LENGTH_PREFIX_BYTES].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(buf.freeze())
}

/// Removes the first message from `buf` and decodes it. Returns `None` if the message is
/// incomplete.
pub(crate) fn decode<M>(buf: &mut BytesMut) -> Result<Option<M>, FrameError>
where
    M: DeserializeOwned,
{
    let Some(prefix) = buf.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let len = u32::from_le_bytes(*prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { bytes: len });
    }
    if buf.len() < LENGTH_PREFIX_BYTES + len {
        return Ok(None);
    }
    buf.advance(LENGTH_PREFIX_BYTES);
    let frame = buf.split_to(len);
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, consumed) =
        bincode::serde::decode_from_slice(&frame, config).map_err(|_| FrameError::Malformed)?;
    if consumed != len { Err(FrameError::Malformed) } else { Ok(Some(message)) }
}
