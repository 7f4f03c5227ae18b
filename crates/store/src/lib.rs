//! The data folder of one replica: a segmented log, a snapshot and metadata, kept across crashes.
//!
//! Everything goes through the [`FileSystem`] trait, so that tests run the same code over a disk that forgets what was
//! not synced. The rules:
//!
//! - A record is durable when [`Store::sync`] has returned; the metadata and the snapshot when the call that replaced
//!   them has returned. Both are written aside, synced, renamed, and the folder is synced.
//! - Each frame of the log carries its length, its checksum and how much of the file was synced when it was written.
//!   A damaged frame after which nothing claims to be synced is a torn write and is cut off; any other damage is
//!   refused, because what was acknowledged would be lost in silence.
//! - A lock file keeps two processes out of one folder.

mod error;
mod frame;
mod fs;
mod recover;
mod replace;
mod segment;
mod store;

pub use crate::{
    error::{StoreError, StoreStep},
    fs::{DiskFile, FileSystem, OsFileSystem},
    recover::Contents,
    store::Store,
};
