//! A load generator that sends multi-turn chats, surges and resends, and checks every byte of every
//! answer.
//!
//! It counts whole, lost, doubled and foreign answers, samples the load of the stand-in engines and
//! the control traffic of the routers, and reports the results as text, JSON and a plot.

#![allow(clippy::disallowed_methods, reason = "the load generator measures time")]

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
    counts::{Counts, LatencyHistogram},
    flags::JfLoad,
    keys::{KeyAnswer, KeyTracker, KeyVerdict},
    report::{Report, Skew, ratio, skew},
    run::run,
    usage::Usage,
    verdict::{Verdict, classify},
    workload::{ChatTurn, KeyedCall, NextRequest, Workload, WorkloadConfig},
};
