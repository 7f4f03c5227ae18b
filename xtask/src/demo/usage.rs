//! CPU time and memory of a process, read from /proc.

use std::fs;

/// Unit of CPU times in /proc (`USER_HZ`), the same on all Linux machines.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KIB: f64 = 4.0;

/// Resources used by a process so far.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub(crate) struct ResourceUsage {
    /// CPU time in seconds.
    pub(crate) seconds: f64,
    /// Resident memory in MiB.
    pub(crate) memory: f64,
}

/// Returns the resources used by a process so far, or `None` if it has exited.
pub(crate) fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
    let memory = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = memory.split_whitespace().nth(1)?.parse().ok()?;
    Some(ResourceUsage {
        seconds: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND,
        memory: pages * PAGE_KIB / 1_024.0,
    })
}
