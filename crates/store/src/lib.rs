//! The data folder: a segmented log, snapshots, and their synchronisation to disk.

mod error;

pub use crate::error::{StoreError, StoreStep};
