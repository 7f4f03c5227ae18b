//! One replica of the replicated state: the consensus of `quorum` driven over the disk of `store` and the streams of
//! `wire`.
//!
//! [`Replica::open`] returns a running handle. A command that [`Replica::propose`] answered is on the disks of a
//! majority and was applied here; one that ended in [`ProposeError::Unknown`] may or may not be. Replicas find each
//! other by address: ids are drawn at random when a data folder is empty, so that a replica that lost its disk comes
//! back as another one, which joins without a vote and gets one once it holds everything.
//!
//! One task owns the consensus and takes calls, messages and disk answers in turn; it alone changes the machine. One
//! blocking thread owns the data folder and syncs everything that waits for it at once. One task a peer sends.
#![allow(clippy::disallowed_methods, reason = "this crate drives consensus by the clock")]

mod config;
mod disk;
mod driver;
mod error;
mod found;
mod handle;
mod journal;
mod link;
mod machine;
mod serve;
mod shared;

pub use crate::{
    config::{ConfigError, ReplicaConfig, VOTER_TIMEOUT_MS},
    error::{OpenError, ProposeError},
    handle::Replica,
    journal::Journal,
    machine::{RestoreError, StateMachine},
    shared::{LeaderLease, ReplicaStatus},
};
