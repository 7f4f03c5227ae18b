//! Measures commit rate and latency, restart time, failover time and disk usage, with real files and loopback sockets.
//!
//! `cargo bench -p replica` prints a table with the figures of a single run. All replicas share the disk of the host.
#![allow(clippy::disallowed_methods, reason = "measures time")]
#![allow(dead_code, reason = "shares the test group, of which it needs a part")]

#[path = "../tests/group/mod.rs"]
mod group;

use {
    group::Group,
    hdrhistogram::Histogram,
    std::{
        fs,
        path::Path,
        time::{Duration, Instant},
    },
};

const COMMAND_BYTES: usize = 200;
const RUN_TIME: Duration = Duration::from_secs(3);
const FAILOVERS: usize = 8;

#[tokio::main]
async fn main() {
    println!("commands of {COMMAND_BYTES} bytes, each acknowledged after fsync on a majority");
    println!("{:<34}{:>12}{:>12}{:>12}", "commit", "per second", "p50 us", "p99 us");
    for (replicas, batching, clients) in [
        (3, true, 1),
        (3, true, 16),
        (3, true, 256),
        (3, false, 16),
        (3, false, 256),
        (1, true, 256),
    ] {
        measure_commits(replicas, batching, clients).await;
    }
    println!();
    for (changes, snapshot_log_bytes) in [(500, u64::MAX), (50_000, u64::MAX), (50_000, 1 << 20)] {
        measure_restart(changes, snapshot_log_bytes).await;
    }
    measure_failover().await;
}

async fn measure_commits(replicas: usize, batching: bool, clients: usize) {
    let group = Group::open_with(replicas, u64::MAX, batching, (100, 1_000)).await;
    let replica = group.replica(group.wait_for_all_voters().await);
    let end = Instant::now() + RUN_TIME;
    let tasks: Vec<_> = (0..clients)
        .map(|_| {
            let replica = replica.clone();
            tokio::spawn(async move {
                let mut micros = Vec::new();
                while Instant::now() < end {
                    let start = Instant::now();
                    replica.propose(vec![7; COMMAND_BYTES]).await.expect("the leader stays");
                    micros.push(start.elapsed().as_micros() as u64);
                }
                micros
            })
        })
        .collect();
    let mut histogram = Histogram::<u64>::new(3).expect("three digits");
    for task in tasks {
        for micros in task.await.expect("client") {
            histogram.record(micros).expect("in range");
        }
    }
    let name = format!(
        "{replicas} replicas, batching {}, {clients} clients",
        if batching { "on" } else { "off" }
    );
    let rate = histogram.len() as f64 / RUN_TIME.as_secs_f64();
    let (p50, p99) = (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99));
    println!("{name:<40}{rate:>10.0}{p50:>10}{p99:>10}");
}

/// Measures the time from opening the data folder until the replica leads with all changes applied.
async fn measure_restart(changes: usize, snapshot_log_bytes: u64) {
    let group = Group::open_with(1, snapshot_log_bytes, true, (100, 1_000)).await;
    let replica = group.replica(0);
    for _ in 0..changes / 500 {
        let batch: Vec<_> = (0..500)
            .map(|_| {
                let replica = replica.clone();
                tokio::spawn(async move { replica.propose(vec![7; COMMAND_BYTES]).await })
            })
            .collect();
        for task in batch {
            task.await.expect("client").expect("committed");
        }
    }
    drop(replica);
    group.stop(0).await;
    let bytes = folder_bytes(&group.folders[0].path().join("data"));
    let start = Instant::now();
    let replica = group.open(0).await;
    let millis = start.elapsed().as_secs_f64() * 1_000.0;
    assert_eq!(replica.with(|it| it.0.len()), changes);
    let kind = if snapshot_log_bytes == u64::MAX { "log only" } else { "snapshots each MiB" };
    println!("restart after {changes} changes, {kind}: {millis:.1} ms, {bytes} bytes on disk");
}

/// Measures the time from the stop of a leader until another one has committed a command, with the default timeouts.
async fn measure_failover() {
    let group = Group::open_with(3, u64::MAX, true, (100, 1_000)).await;
    let mut millis: Vec<f64> = Vec::new();
    for _ in 0..FAILOVERS {
        let old = group.wait_for_all_voters().await;
        group.stop(old).await;
        let start = Instant::now();
        let new = group.replica(group.wait_for_leader().await);
        new.propose(vec![7; COMMAND_BYTES]).await.expect("the new leader stays");
        millis.push(start.elapsed().as_secs_f64() * 1_000.0);
        group.open(old).await;
    }
    millis.sort_by(f64::total_cmp);
    let (min, max) = (millis[0], millis[FAILOVERS - 1]);
    let median = millis[FAILOVERS / 2];
    println!("failover, {FAILOVERS} times: {min:.0} / {median:.0} / {max:.0} ms min/median/max");
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("data folder");
    files.map(|it| it.expect("entry").metadata().expect("metadata").len()).sum()
}
