//! Processor time and memory of a process, as the kernel tells them.

use std::fs;

/// Ticks a second in /proc, the same on all Linux machines.
const TICKS: f64 = 100.0;
const PAGE_KIB: f64 = 4.0;

/// What a process has used so far.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct Used {
    /// Processor seconds.
    pub(crate) seconds: f64,
    /// Resident memory in MiB.
    pub(crate) memory: f64,
}

/// Returns what a process has used so far; nothing if it has ended.
pub(crate) fn used(pid: u32) -> Option<Used> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    let memory = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = memory.split_whitespace().nth(1)?.parse().ok()?;
    Some(Used { seconds: (ticks(11)? + ticks(12)?) / TICKS, memory: pages * PAGE_KIB / 1_024.0 })
}
