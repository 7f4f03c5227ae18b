//! Files that are replaced atomically: the content is written to a temporary file, which is synced
//! and renamed, and then the folder is synced.

use {
    crate::{
        error::{StoreError, StoreStep},
        fs::{DiskFile, FileSystem},
    },
    std::path::Path,
};

/// The first bytes of each file, before the checksum and the payload.
const MAGIC: [u8; 4] = *b"JFR1";
const TEMP_FILE: &str = "aside.tmp";

/// Replaces a file. The new content is durable when this function returns.
pub(crate) fn replace<F>(
    fs: &F,
    folder: &Path,
    name: &str,
    payload: &[u8],
) -> Result<(), StoreError>
where
    F: FileSystem,
{
    let crc = crc32fast::hash(payload).to_le_bytes();
    replace_raw(fs, &folder.join(name), folder, &[&MAGIC, &crc, payload])
}

/// Replaces the file at `path` in `folder`, without a checksum of its own.
pub(crate) fn replace_raw<F>(
    fs: &F,
    path: &Path,
    folder: &Path,
    parts: &[&[u8]],
) -> Result<(), StoreError>
where
    F: FileSystem,
{
    let temp_path = folder.join(TEMP_FILE);
    let io_error = |step| StoreError::io(step, &temp_path);
    let mut file = fs.create(&temp_path).map_err(io_error(StoreStep::Write))?;
    for part in parts {
        file.write(part).map_err(io_error(StoreStep::Write))?;
    }
    file.sync().map_err(io_error(StoreStep::Sync))?;
    fs.rename(&temp_path, path).map_err(StoreError::io(StoreStep::Rename, path))?;
    fs.sync_folder(folder).map_err(StoreError::io(StoreStep::Sync, folder))
}

/// Reads a file that [`replace`] wrote. Returns `None` if it does not exist.
pub(crate) fn read<F>(fs: &F, folder: &Path, name: &str) -> Result<Option<Vec<u8>>, StoreError>
where
    F: FileSystem,
{
    let path = folder.join(name);
    let bytes = fs.read(&path).map_err(StoreError::io(StoreStep::Read, &path))?;
    let Some(bytes) = bytes else { return Ok(None) };
    match decode(&bytes) {
        Some(payload) => Ok(Some(payload.to_vec())),
        None => Err(StoreError::corrupt(&path, 0, "checksum mismatch")),
    }
}

fn decode(bytes: &[u8]) -> Option<&[u8]> {
    let (crc, payload) = bytes.strip_prefix(&MAGIC)?.split_first_chunk()?;
    (crc32fast::hash(payload) == u32::from_le_bytes(*crc)).then_some(payload)
}
