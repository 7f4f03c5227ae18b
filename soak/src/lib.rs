//! A randomized soak: the real programs run as separate processes on one machine, and faults reach them from outside.
//!
//! A [`Plan`] is drawn from a seed: signals that stop, pause, kill and restart processes, connections that a proxy on
//! loopback delays, silences and resets, emptied disks and torn logs, endpoints that crash, misbehave, leave and are
//! replaced, races of operators. [`play`] carries it out while callers call over connections that they keep open, and
//! checks what callers and endpoints see against what the system promises: a request runs as it was sent, once if it
//! may run only once, never after it was refused; an answer is whole and its own; a stream has each event once and in
//! order; a request ends by its deadline and stops when its caller leaves; an acknowledged configuration is in force in
//! time, never back and never lost; and soon after the last fault everything is served again. Promises with a time
//! bound are checked only at parts that no fault touches ([`Calm`]).

#![allow(clippy::disallowed_methods, reason = "the soak starts processes and reads clocks")]

mod caller;
mod calm;
mod endpoint;
mod endpoints;
mod fleet;
mod operator;
mod plan;
mod process;
mod proxy;
mod record;
mod run;
mod site;

pub use crate::{
    calm::{CONTACT, Calm, Cause},
    plan::{Fault, Harm, Mood, Part, Plan, Size, Step},
    process::binaries,
    record::{Arrival, Counts, End, Kind, Record, Sent, Tally, answer_of, event_of, signature_of},
    run::{Verdict, play},
    site::TEAM,
};
