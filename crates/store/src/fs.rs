//! The file system operations that the store uses.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{Error as IoError, ErrorKind, Result as IoResult, Write as _},
    path::Path,
};

/// The file system. It is a trait so that tests can simulate crashes and failures.
pub trait FileSystem: Send + 'static {
    /// A file that is open for writing.
    type File: DiskFile;
    /// A lock that is released on drop.
    type Lock: Send;

    /// Creates a folder and its missing parents, and syncs its parent.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn create_folder(&self, folder: &Path) -> IoResult<()>;

    /// Locks a lock file, and creates it if it does not exist. Returns `None` if another process
    /// holds the lock.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn lock(&self, path: &Path) -> IoResult<Option<Self::Lock>>;

    /// Returns the names of the files in a folder.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn list(&self, folder: &Path) -> IoResult<Vec<String>>;

    /// Reads a complete file. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn read(&self, path: &Path) -> IoResult<Option<Vec<u8>>>;

    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn create(&self, path: &Path) -> IoResult<Self::File>;

    /// Opens a file for appending.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn open_append(&self, path: &Path) -> IoResult<Self::File>;

    /// Renames a file, replacing the target if it exists.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn rename(&self, from: &Path, to: &Path) -> IoResult<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn remove(&self, path: &Path) -> IoResult<()>;

    /// Makes the names of the files in a folder durable.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn sync_folder(&self, folder: &Path) -> IoResult<()>;
}

/// A file that is open for writing.
pub trait DiskFile: Send {
    /// Appends bytes to the file.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn write(&mut self, bytes: &[u8]) -> IoResult<()>;

    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn truncate(&mut self, len: u64) -> IoResult<()>;

    /// Makes all written bytes durable.
    ///
    /// # Errors
    ///
    /// The operation failed.
    fn sync(&mut self) -> IoResult<()>;
}

/// The file system of the operating system.
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
