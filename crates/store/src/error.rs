//! Why a data folder cannot be used.

use {
    derive_more::{Debug, Display, Error},
    std::{
        io::Error as IoError,
        path::{Path, PathBuf},
    },
};

/// What was being done when a data folder failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
pub enum StoreStep {
    /// Taking the lock file.
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

/// A data folder cannot be used.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The file system failed.
    #[display("{step} {}: {source}", path.display())]
    Io {
        /// What was being done.
        step: StoreStep,
        /// With which file or folder.
        path: PathBuf,
        /// What the file system said.
        source: IoError,
    },
    /// Another process uses the folder.
    #[display("{} is in use by another process; stop it first", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// Something that was synced is damaged or missing.
    #[display(
        "{} is damaged at byte {offset}: {reason}; move the data folder aside and start again: the replica comes \
         back under a new id and fetches everything from the others",
        path.display()
    )]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong.
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
