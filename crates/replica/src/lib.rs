//! One replica of the replicated state: the consensus of `quorum` driven over the disk of `store` and the streams of
//! `wire`.
//!
//! [`Replica::open`] returns a running handle. A command that [`Replica::propose`] answered is on the disks of a
//! majority and was applied here; one that ended in [`ProposeError::Unknown`] may or may not be. Replicas find each
//! other by address: ids are drawn at random when a data folder is empty, so that a replica that lost its disk comes
//! back as another one, which joins without a vote and gets one once it holds everything.
#![allow(clippy::disallowed_methods, reason = "this crate drives consensus by the clock")]

mod config;
mod error;
mod handle;
mod journal;
mod machine;

pub use crate::{
    config::{ConfigError, ReplicaConfig},
    error::{OpenError, ProposeError},
    handle::{LeaderView, Progress, Replica},
    journal::Journal,
    machine::{Machine, RestoreError},
};
