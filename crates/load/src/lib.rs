//! The load and experiment tool: plays returning chats, surges and resends, and checks every byte of every answer.
//!
//! It counts answers that are whole, lost, doubled or another caller's, watches the load of the stand-in engines and
//! the control traffic of the routers, and writes what it saw as text, JSON and a plot.

#![allow(clippy::disallowed_methods, reason = "the load tool measures time")]

mod call;
mod counts;
mod flags;
mod keys;
mod plot;
mod report;
mod run;
mod usage;
mod verdict;
mod watch;
mod workload;

pub use crate::{
    counts::{Counts, Latencies},
    flags::JfLoad,
    keys::{KeyAnswer, KeyBook, KeyVerdict},
    report::{Report, Skew, ratio, skew},
    run::run,
    usage::Usage,
    verdict::{Verdict, judge},
    workload::{ChatTurn, KeyedCall, Shape, Step, Workload},
};
