//! Compressed values. The hosts of the control replicas have slow links, and the content consists
//! mostly of names, which compress well.

use {
    bincode::{
        config::standard,
        serde::{decode_from_slice, encode_to_vec},
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::io::{Read, Write},
};

/// The limit on the length of a decompressed value, in bytes.
const MAX_DECOMPRESSED_BYTES: u64 = 64 << 20;

/// The limit on what a decoder counts, in bytes. Without one, `bincode` allocates whatever length a string claims to
/// have, which aborts the process. It counts a number with its size in memory, up to 8 bytes for an encoded one.
const MAX_COUNTED_BYTES: usize = 8 * MAX_DECOMPRESSED_BYTES as usize;

/// The compressed form of a byte string or of an encoded value.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[debug("Compressed({} bytes)", _0.len())]
pub struct Compressed(Bytes);

/// A value could not be compressed or decompressed.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("compressed value: {reason}")]
pub struct CompressionError {
    /// The cause, for display.
    pub reason: String,
}

fn error<E>(err: E) -> CompressionError
where
    E: std::fmt::Display,
{
    CompressionError { reason: err.to_string() }
}

impl Compressed {
    /// Compresses bytes.
    ///
    /// # Errors
    ///
    /// Compression failed.
    pub fn compress(bytes: &[u8]) -> Result<Compressed, CompressionError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(bytes).map_err(error)?;
        encoder.finish().map(|it| Compressed(it.into())).map_err(error)
    }

    /// Wraps bytes that are already compressed.
    pub fn from_compressed<B>(bytes: B) -> Compressed
    where
        B: Into<Bytes>,
    {
        Compressed(bytes.into())
    }

    /// Returns the compressed bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the decompressed bytes.
    ///
    /// # Errors
    ///
    /// The decompressed bytes are too long, or the compressed bytes are malformed.
    pub fn decompress(&self) -> Result<Vec<u8>, CompressionError> {
        let mut bytes = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.0[..]).take(MAX_DECOMPRESSED_BYTES);
        decoder.read_to_end(&mut bytes).map_err(error)?;
        if bytes.len() as u64 == MAX_DECOMPRESSED_BYTES {
            Err(error("decompressed value is too long"))
        } else {
            Ok(bytes)
        }
    }

    /// Encodes and compresses a value.
    ///
    /// # Errors
    ///
    /// The value cannot be encoded.
    pub fn encode<T>(value: &T) -> Result<Compressed, CompressionError>
    where
        T: Serialize,
    {
        Compressed::compress(&encode_to_vec(value, standard()).map_err(error)?)
    }

    /// Decompresses and decodes a value.
    ///
    /// # Errors
    ///
    /// The decompressed bytes are too long, the compressed bytes are malformed, or they do not
    /// encode a `T`.
    pub fn decode<T>(&self) -> Result<T, CompressionError>
    where
        T: DeserializeOwned,
    {
        let bytes = self.decompress()?;
        let config = standard().with_limit::<MAX_COUNTED_BYTES>();
        decode_from_slice(&bytes, config).map(|it| it.0).map_err(error)
    }
}
