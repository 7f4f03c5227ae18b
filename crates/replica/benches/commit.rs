//! Commit rate and latency, restart time, fail-over time and bytes on disk, with real files and loopback sockets.
//!
//! `cargo bench -p replica` prints a table; each figure is from that one run. All replicas share the machine's disk.
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
const RUN: Duration = Duration::from_secs(3);
const FAIL_OVERS: usize = 8;

#[tokio::main]
async fn main() {
    println!("commands of {COMMAND_BYTES} bytes, every answer after fsync on a majority");
    println!("{:<34}{:>12}{:>12}{:>12}", "commit", "per second", "p50 us", "p99 us");
    for (replicas, batching, clients) in [
        (3, true, 1),
        (3, true, 16),
        (3, true, 256),
        (3, false, 16),
        (3, false, 256),
        (1, true, 256),
    ] {
        commits(replicas, batching, clients).await;
    }
    println!();
    for (changes, snapshot) in [(500, u64::MAX), (50_000, u64::MAX), (50_000, 1 << 20)] {
        restart(changes, snapshot).await;
    }
    fail_over().await;
}

async fn commits(replicas: usize, batching: bool, clients: usize) {
    let group = Group::open_with(replicas, u64::MAX, batching, (100, 1_000)).await;
    let replica = group.get(group.whole().await);
    let end = Instant::now() + RUN;
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
    let rate = histogram.len() as f64 / RUN.as_secs_f64();
    let (p50, p99) = (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99));
    println!("{name:<40}{rate:>10.0}{p50:>10}{p99:>10}");
}

/// Measures from opening the folder until the replica leads with all changes applied.
async fn restart(changes: usize, snapshot: u64) {
    let group = Group::open_with(1, snapshot, true, (100, 1_000)).await;
    let replica = group.get(0);
    for _ in 0..changes / 500 {
        let wave: Vec<_> = (0..500)
            .map(|_| {
                let replica = replica.clone();
                tokio::spawn(async move { replica.propose(vec![7; COMMAND_BYTES]).await })
            })
            .collect();
        for task in wave {
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
    let kind = if snapshot == u64::MAX { "log only" } else { "snapshots each MiB" };
    println!("restart after {changes} changes, {kind}: {millis:.1} ms, {bytes} bytes on disk");
}

/// Measures from the stop of a leader until another has committed a command, with the default timeouts.
async fn fail_over() {
    let group = Group::open_with(3, u64::MAX, true, (100, 1_000)).await;
    let mut millis: Vec<f64> = Vec::new();
    for _ in 0..FAIL_OVERS {
        let old = group.whole().await;
        group.stop(old).await;
        let start = Instant::now();
        let new = group.get(group.leader().await);
        new.propose(vec![7; COMMAND_BYTES]).await.expect("the new leader stays");
        millis.push(start.elapsed().as_secs_f64() * 1_000.0);
        group.open(old).await;
    }
    millis.sort_by(f64::total_cmp);
    let (least, most) = (millis[0], millis[FAIL_OVERS - 1]);
    let median = millis[FAIL_OVERS / 2];
    println!(
        "fail-over, {FAIL_OVERS} times: {least:.0} / {median:.0} / {most:.0} ms least/median/most"
    );
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("data folder");
    files.map(|it| it.expect("entry").metadata().expect("metadata").len()).sum()
}
