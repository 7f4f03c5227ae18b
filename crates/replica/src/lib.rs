//! A replica of a replicated state machine: runs the Raft consensus of `quorum` on the storage of `store` and the
//! streams of `wire`.
//!
//! [`Replica::open`] starts a replica and returns a handle to it. A command for which [`Replica::propose`] returned a
//! reply is on the disks of a majority and has been applied here; one that ended in [`ProposeError::Unknown`] may or
//! may not be committed. Replicas find each other by address. An empty data folder gets a random id, so that a replica
//! that lost its disk comes back as a new one, which joins as a non-voter and becomes a voter once it has all
//! committed entries. The initial members of a group that is bootstrapped from seeds derive their ids from their
//! addresses instead.
//!
//! The driver task owns the consensus and handles requests, messages and disk results one at a time; only this task
//! changes the state machine. A blocking thread owns the data folder and syncs all waiting writes at once. One task
//! per peer sends messages.
#![allow(clippy::disallowed_methods, reason = "this crate drives consensus by the clock")]

mod bootstrap;
mod config;
mod disk;
mod driver;
mod error;
mod handle;
mod journal;
mod link;
mod machine;
mod protocols;
mod reopen;
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
