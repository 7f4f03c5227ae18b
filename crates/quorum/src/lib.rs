//! Raft consensus as a state machine that performs no I/O.
//!
//! [`Raft::step`] takes the current time and one [`Event`] and returns [`Action`]s: messages to send, writes to
//! persist, committed entries to apply. It implements Raft as published (elections with pre-vote, commitment by count
//! only of entries of the leader's own term, changes of one voter at a time by joint consensus), with these additions:
//!
//! - A message that depends on durable state is held back until [`Event::Synced`] covers the writes before it.
//! - A leader holds a lease that runs from the time at which the acknowledged heartbeats were *sent* and is shortened
//!   by a margin for clock drift. Replicas deny votes for a whole election timeout after each heartbeat and after a
//!   restart, so no other replica can become leader before the lease expires.
//! - A replica id belongs to a data folder, so a replica with an empty disk is always a new one. It joins as a
//!   non-voter. The leader makes it a voter only once all committed entries are on the new replica's disk.
//! - Half of an even number of voters are a quorum if another voter is known to have lost its disk.

mod config;
mod disk;
mod election;
mod entry;
mod event;
mod follower;
mod leader;
mod lease;
mod leave;
mod log;
mod lost;
mod members;
mod message;
mod raft;
mod snapshot;
mod status;

pub use crate::{
    config::{Config, ConfigError},
    entry::{Entry, HardState, Member, MemberRole, Membership, Payload, Snapshot},
    event::{Action, Actions, Event, Write},
    members::{MemberChange, ReplaceReason, WaitReason},
    message::{Envelope, Message},
    raft::{DurableState, Raft},
};
