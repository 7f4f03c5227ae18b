//! Types shared by all crates: typed ids, times, outcomes, and the configuration in force.
//!
//! This crate makes no decisions. The decision crates receive these types in events and return them
//! in actions, and the wire and disk formats encode them with `serde`, so a change to a type here
//! changes both formats.

mod config;
mod hash;
mod id;
mod outcome;
mod roster;
mod time;
mod work;

pub use crate::{
    config::{
        Change, Config, ConfigError, Delta, Endpoint, EndpointState, Fencing, Image, Limits,
        Service, ServiceKind, Team,
    },
    hash::{chat_key, hash64, hash64_parts, mix, mix2},
    id::{
        AttemptNo, ChatKey, Digest, Domain, EndpointId, Epoch, FencingToken, HostName, Name,
        OperationId, ReplicaId, RequestId, Revision, RouterId, ServiceId, TeamId, Term,
    },
    outcome::{Outcome, Reason, Refusal},
    roster::{Roster, RouterEntry, RouterState},
    time::{MILLISECOND, SECOND, Time},
    work::Work,
};
