//! The replicated log as a state machine without I/O.
//!
//! [`Raft::step`] takes the present instant and one [`Event`] and returns [`Action`]s: messages to send, writes for the
//! disk, committed entries to apply. The rules are those published for Raft (elections with pre-vote, commitment only
//! of entries of the leader's own term, membership changed by one voter at a time), with these additions:
//!
//! - A message that states what is on disk is held back until [`Event::Synced`] covers it.
//! - A leader holds a lease that counts from when the acknowledged heartbeats were *sent*, shortened by a margin for
//!   drifting clocks. Replicas refuse votes for a whole election timeout after each heartbeat and after a restart, so
//!   nobody else can lead before the lease has ended.
//! - Ids belong to data folders, so an empty disk is always a new replica. It joins without a vote, and gets one by an
//!   entry that a leader adds only once the new replica has on disk everything that is committed.

mod config;
mod disk;
mod election;
mod entry;
mod event;
mod follower;
mod leader;
mod lease;
mod log;
mod membership;
mod message;
mod raft;
mod snapshot;
mod status;

pub use crate::{
    config::{Config, ConfigError},
    entry::{Entry, HardState, Member, Membership, Payload, Snapshot},
    event::{Action, Actions, Event, Write},
    message::{Envelope, Message},
    raft::{DurableState, Raft},
};
