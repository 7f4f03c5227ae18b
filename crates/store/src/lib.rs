//! The data folder: a segmented log, snapshots, and their synchronisation to disk.
