//! The file system as the store uses it.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{Error as IoError, ErrorKind, Result as IoResult, Write as _},
    path::Path,
};

/// A file system. (An edge of the process, hence a trait.)
pub trait FileSystem: Send + 'static {
    /// A file that is open for writing.
    type File: DiskFile;
    /// Keeps other processes out while it lives.
    type Lock: Send;

    /// Makes a folder and those above it, and syncs the one above it.
    ///
    /// # Errors
    ///
    /// As the file system says; so for all methods.
    fn create_folder(&self, folder: &Path) -> IoResult<()>;

    /// Takes a lock file; nothing if another process has it.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn lock(&self, path: &Path) -> IoResult<Option<Self::Lock>>;

    /// Lists the names of the files of a folder.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn list(&self, folder: &Path) -> IoResult<Vec<String>>;

    /// Reads a whole file; nothing if there is none.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn read(&self, path: &Path) -> IoResult<Option<Vec<u8>>>;

    /// Makes an empty file, in place of one that may be there.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn create(&self, path: &Path) -> IoResult<Self::File>;

    /// Opens a file for writing at its end.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn open_append(&self, path: &Path) -> IoResult<Self::File>;

    /// Renames a file, in place of one that may be there.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn rename(&self, from: &Path, to: &Path) -> IoResult<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn remove(&self, path: &Path) -> IoResult<()>;

    /// Makes the names in a folder durable.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn sync_folder(&self, folder: &Path) -> IoResult<()>;
}

/// A file that is open for writing.
pub trait DiskFile: Send {
    /// Writes at the end.
    ///
    /// # Errors
    ///
    /// As the file system says; so for all methods.
    fn write(&mut self, bytes: &[u8]) -> IoResult<()>;

    /// Cuts the file to a length.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn truncate(&mut self, len: u64) -> IoResult<()>;

    /// Makes what was written durable.
    ///
    /// # Errors
    ///
    /// As the file system says.
    fn sync(&mut self) -> IoResult<()>;
}

/// The file system of the host.
#[derive(Clone, Copy, Default, Debug)]
pub struct OsFileSystem;

impl FileSystem for OsFileSystem {
    type File = File;
    type Lock = File;

    fn create_folder(&self, folder: &Path) -> IoResult<()> {
        fs::create_dir_all(folder)?;
        folder.parent().filter(|it| it.is_dir()).map_or(Ok(()), |it| self.sync_folder(it))
    }

    fn lock(&self, path: &Path) -> IoResult<Option<File>> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(err)) => Err(err),
        }
    }

    fn list(&self, folder: &Path) -> IoResult<Vec<String>> {
        let name = |it: fs::DirEntry| {
            let invalid = |_| IoError::new(ErrorKind::InvalidData, "file name is not UTF-8");
            it.file_name().into_string().map_err(invalid)
        };
        fs::read_dir(folder)?.map(|it| name(it?)).collect()
    }

    fn read(&self, path: &Path) -> IoResult<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(err) if err.kind() == ErrorKind::NotFound => Ok(None),
            Err(err) => Err(err),
        }
    }

    fn create(&self, path: &Path) -> IoResult<File> {
        File::create(path)
    }

    fn open_append(&self, path: &Path) -> IoResult<File> {
        OpenOptions::new().append(true).open(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> IoResult<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> IoResult<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> IoResult<()> {
        File::open(folder)?.sync_all()
    }
}

impl DiskFile for File {
    fn write(&mut self, bytes: &[u8]) -> IoResult<()> {
        self.write_all(bytes)
    }

    fn truncate(&mut self, len: u64) -> IoResult<()> {
        self.set_len(len)
    }

    fn sync(&mut self) -> IoResult<()> {
        self.sync_data()
    }
}
