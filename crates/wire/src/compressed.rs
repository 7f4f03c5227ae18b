//! Compressed values: hosts of control have slow links, and what is told is mostly names.

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

/// The longest value, in bytes before it is compressed.
const MAX_BYTES: u64 = 64 << 20;

/// A compressed value.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
#[debug("Compressed({} bytes)", _0.len())]
pub struct Compressed(Bytes);

/// A value that cannot be compressed or restored.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
#[display("packed value: {reason}")]
pub struct CompressionError {
    /// What is wrong with it.
    pub reason: String,
}

fn fault<E>(err: E) -> CompressionError
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
    /// The compressor failed.
    pub fn compress(bytes: &[u8]) -> Result<Compressed, CompressionError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(bytes).map_err(fault)?;
        encoder.finish().map(|it| Compressed(it.into())).map_err(fault)
    }

    /// Returns the compressed form of bytes that were compressed before.
    pub fn from_compressed<B>(bytes: B) -> Compressed
    where
        B: Into<Bytes>,
    {
        Compressed(bytes.into())
    }

    /// The compressed bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Restores the bytes.
    ///
    /// # Errors
    ///
    /// They are too long, or not what [`Compressed::compress`] made.
    pub fn decompress(&self) -> Result<Vec<u8>, CompressionError> {
        let mut bytes = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.0[..]).take(MAX_BYTES);
        decoder.read_to_end(&mut bytes).map_err(fault)?;
        if bytes.len() as u64 == MAX_BYTES { Err(fault("too long")) } else { Ok(bytes) }
    }

    /// Encodes and compresses a value.
    ///
    /// # Errors
    ///
    /// It cannot be encoded.
    pub fn encode<T>(value: &T) -> Result<Compressed, CompressionError>
    where
        T: Serialize,
    {
        Compressed::compress(&encode_to_vec(value, standard()).map_err(fault)?)
    }

    /// Restores and decodes a value.
    ///
    /// # Errors
    ///
    /// It is too long or has another type.
    pub fn decode<T>(&self) -> Result<T, CompressionError>
    where
        T: DeserializeOwned,
    {
        let bytes = self.decompress()?;
        decode_from_slice(&bytes, standard()).map(|it| it.0).map_err(fault)
    }
}
