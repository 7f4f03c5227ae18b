//! Errors of a data folder.

use {
    derive_more::{Debug, Display, Error},
    std::{
        io::Error as IoError,
        path::{Path, PathBuf},
    },
};

/// The operation that failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum StoreStep {
    /// Locking the lock file.
    #[display("lock")]
    Lock,
    /// Listing the folder.
    #[display("list")]
    List,
    /// Reading a file.
    #[display("read")]
    Read,
    /// Writing a file.
    #[display("write")]
    Write,
    /// Syncing a file or the folder.
    #[display("sync")]
    Sync,
    /// Renaming or removing a file.
    #[display("rename")]
    Rename,
}

/// A data folder cannot be opened, read or written.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// A file system operation failed.
    #[display("{step} {}: {source}", path.display())]
    Io {
        /// The operation.
        step: StoreStep,
        /// The file or folder.
        path: PathBuf,
        /// The underlying error.
        source: IoError,
    },
    /// Another process uses the folder.
    #[display("{} is in use by another process; stop it first", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// Data that had been synced is damaged or missing.
    #[display(
        "{} is damaged at byte {offset}: {reason}; move the data folder aside and restart: the \
         replica rejoins under a new id and fetches all data from the others",
        path.display()
    )]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// The position of the damage in the file, in bytes.
        offset: u64,
        /// A description of the damage.
        reason: &'static str,
    },
}

impl StoreError {
    pub(crate) fn io(step: StoreStep, path: &Path) -> impl FnOnce(IoError) -> StoreError {
        move |source| StoreError::Io { step, path: path.to_owned(), source }
    }

    pub(crate) fn corrupt(path: &Path, offset: u64, reason: &'static str) -> StoreError {
        StoreError::Corrupt { path: path.to_owned(), offset, reason }
    }
}
