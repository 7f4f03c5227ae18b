//! A randomized fault injection test that runs the real binaries as separate processes on one machine.
//!
//! A [`FaultPlan`] is generated from a seed. It contains signals that stop, pause, kill and restart processes, loopback
//! proxies that delay, stall and reset connections, wiped disks and torn logs, endpoints that crash, misbehave, drain
//! and are replaced, and concurrent publishes by operators. [`run_plan`] executes it while callers send requests over
//! keep-alive connections, and checks these invariants against what callers and endpoints observe:
//!
//! - A request runs unmodified, at most once if it is not idempotent, and never after it was refused.
//! - A response is complete and belongs to its request.
//! - A stream has each event exactly once and in order.
//! - A request ends by its deadline and stops running when its caller cancels it.
//! - An acknowledged configuration takes effect in time, is not rolled back and is not lost.
//! - All requests are served again soon after the last fault.
//!
//! Invariants with a time bound are checked only on components that no fault affects ([`DisturbanceLog`]).

#![allow(clippy::disallowed_methods, reason = "the test starts processes and reads clocks")]

mod caller;
mod config;
mod disturbances;
mod endpoint;
mod endpoints;
mod fleet;
mod history;
mod operator;
mod plan;
mod process;
mod proxy;
mod run;

pub use crate::{
    config::TEAM,
    disturbances::{Cause, DisturbanceLog, SETTLE_TIME},
    history::{
        Cuts, Excuse, History, Outcome, OutcomeCounts, ReceivedRequest, RequestKind, SentRequest,
        Tally, expected_event, expected_response, expected_signature,
    },
    plan::{Behavior, Component, Fault, FaultPlan, FleetSize, LinkFault, ScheduledFault},
    process::binaries,
    run::{Report, run_plan},
};
