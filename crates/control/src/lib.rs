//! A control replica: the replicated state behind an admin API for operators and feeds for routers.
//!
//! [`State`] is the whole replicated state; [`State::execute`] applies each [`Command`] to it. Nothing is acknowledged
//! before it is committed. The rest of the crate consists of sockets, timers and the last reports of the routers. Only
//! the leader keeps these reports; a new leader collects them again.
//!
//! Lock order: the replicated state before the router reports. No lock is held across an `await`.

#![allow(
    clippy::disallowed_methods,
    reason = "this process reads the clocks on behalf of its state machines"
)]

mod admin;
mod bulk_limiter;
mod cold_list;
mod command;
mod control;
mod discovery;
mod documents;
mod evacuation_state;
mod evacuations;
mod feed;
mod host_list;
mod leader_calls;
mod ledger_calls;
mod membership;
mod metrics;
mod operators;
mod orders;
mod origins;
mod quarantine;
mod replicated_log;
mod response;
mod roster_history;
mod router_registry;
mod router_reports;
mod routing_configs;
mod section;
mod state;
mod state_versions;
mod status;
mod tasks;
mod topic;
mod watch_service;

pub use crate::{
    bulk_limiter::{BulkGrant, BulkLimiter, BulkPermit},
    cold_list::ColdList,
    command::{Command, Output},
    control::{Control, Sockets},
    documents::{Document, DocumentSlot},
    evacuation_state::{
        Evacuation, EvacuationOrder, EvacuationOutcome, EvacuationRecord, EvacuationState,
    },
    evacuations::{EvacuationError, EvacuationResult, EvacuationStore, OrderRequest, all_speak},
    leader_calls::{LeaderCall, LeaderReply},
    routing_configs::{JsonFormat, PublishError, RoutingConfigFormat, RoutingConfigStore},
    state::State,
};
