//! Small files that are replaced as a whole: written aside, synced, renamed, and the folder synced.

use {
    crate::{
        error::{StoreError, StoreStep},
        fs::{DiskFile, FileSystem},
    },
    std::path::Path,
};

const MAGIC: [u8; 4] = *b"JFR1";
const ASIDE: &str = "aside.tmp";

/// Replaces a file; it is durable when this returns.
pub(crate) fn replace<F>(
    fs: &F,
    folder: &Path,
    name: &str,
    payload: &[u8],
) -> Result<(), StoreError>
where
    F: FileSystem,
{
    let aside = folder.join(ASIDE);
    let path = folder.join(name);
    let at = |step| StoreError::io(step, &aside);
    let mut file = fs.create(&aside).map_err(at(StoreStep::Write))?;
    file.write(&MAGIC).map_err(at(StoreStep::Write))?;
    file.write(&crc32fast::hash(payload).to_le_bytes()).map_err(at(StoreStep::Write))?;
    file.write(payload).map_err(at(StoreStep::Write))?;
    file.sync().map_err(at(StoreStep::Sync))?;
    fs.rename(&aside, &path).map_err(StoreError::io(StoreStep::Rename, &path))?;
    fs.sync_folder(folder).map_err(StoreError::io(StoreStep::Sync, folder))
}

/// Reads a file that [`replace`] wrote; nothing if there is none.
pub(crate) fn read<F>(fs: &F, folder: &Path, name: &str) -> Result<Option<Vec<u8>>, StoreError>
where
    F: FileSystem,
{
    let path = folder.join(name);
    let bytes = fs.read(&path).map_err(StoreError::io(StoreStep::Read, &path))?;
    let Some(bytes) = bytes else { return Ok(None) };
    match decode(&bytes) {
        Some(payload) => Ok(Some(payload.to_vec())),
        None => Err(StoreError::corrupt(&path, 0, "checksum does not fit")),
    }
}

fn decode(bytes: &[u8]) -> Option<&[u8]> {
    let (crc, payload) = bytes.strip_prefix(&MAGIC)?.split_first_chunk()?;
    (crc32fast::hash(payload) == u32::from_le_bytes(*crc)).then_some(payload)
}
