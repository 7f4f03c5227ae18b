//! Crash-safe storage of a replica in a data folder: a segmented log, a snapshot and metadata.
//!
//! All access goes through the [`FileSystem`] trait, so that tests run the same code on a simulated
//! disk that loses unsynced writes. The rules:
//!
//! - A record is durable when [`Store::sync`] has returned. The metadata and the snapshot are
//!   durable when the call that replaced them has returned: each is written to a temporary file,
//!   which is synced and renamed, and then the folder is synced.
//! - Each frame of the log contains its length, its checksum, and how much of the file was synced
//!   when it was written. A damaged frame is a torn write and is truncated, unless a later frame
//!   states that the file was synced beyond it. Any other damage is an error, because acknowledged
//!   records would otherwise be lost silently.
//! - A lock file prevents two processes from using the same folder.

mod atomic_file;
mod error;
mod frame;
mod fs;
mod recover;
mod segment;
mod store;

pub use crate::{
    error::{StoreError, StoreStep},
    fs::{DiskFile, FileSystem, OsFileSystem},
    recover::Contents,
    store::Store,
};
