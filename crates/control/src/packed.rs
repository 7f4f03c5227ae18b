//! Documents as they are replicated: compressed, as control hosts have slow links and a document is mostly names.

use {
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Result, Write},
};

/// Compresses a document.
pub(crate) fn pack(document: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    encoder.finish()
}

/// Returns the document that was compressed.
pub(crate) fn unpack(packed: &[u8]) -> Result<Vec<u8>> {
    let mut document = Vec::new();
    DeflateDecoder::new(packed).read_to_end(&mut document)?;
    Ok(document)
}
