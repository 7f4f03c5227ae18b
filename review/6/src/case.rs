//! A core machine is exchanged: the new one first, which has had its time to catch up, then the old one is removed without
//! SIGTERM. Two seconds later another machine loses its disk, which is one loss at a time. No configuration is read or
//! acknowledged any more.

#[path = "../../common-2/src/harness.rs"]
mod harness;

use harness::*;
use std::{
    fs,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

/// The sheet's `catch_up_s` and `recover_s`, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
const RECOVER_MS: u64 = 12_000;

/// How long the new machine has run when the old one is removed: its time to catch up and two seconds more.
const NEW_FIRST_MS: u64 = CATCH_UP_MS + 2_000;

/// How long after the removal another machine loses its disk, and how long it is down.
const SECOND_LOSS_MS: u64 = 2_000;
const DOWN_MS: u64 = 1_000;

/// For how long the operator asks after `recover_s`, in milliseconds.
const ASK_MS: u64 = 30_000;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Asks each replica for the configuration. Returns the first that answers with one.
fn read(site: &Site, replicas: &[usize]) -> Option<(usize, String)> {
    replicas.iter().find_map(|n| {
        let got = get_config(site.publish_addr(*n), Duration::from_secs(1));
        let text = got.as_ref().map_or_else(ToString::to_string, |it| it.first.clone());
        site.record.write(&format!("operator: read at core-{n}: {text}"));
        got.ok().filter(|it| it.status() == 200).map(|it| (*n, it.text()))
    })
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    guard();
    let second_loss_ms = std::env::var("SECOND_LOSS_MS").ok().and_then(|it| it.parse().ok()).unwrap_or(SECOND_LOSS_MS);
    // Addresses and ports are set aside for a fourth machine, which starts later.
    let mut site = Site::start_some(&PathBuf::from(&args[2]), 4, 3, 1, 260);
    let record = site.record.clone();
    let document = config(7, &[route("r", "/p/", "idempotent", "s", 2, 3_000, 100, false)], &[service("s")], "");
    site.publish_at(&document, 0);
    sleep_ms(2_000);

    record.write("core-3 is added with an empty disk, at a new address");
    site.start_core(3);
    sleep_ms(NEW_FIRST_MS);
    let all = [0, 1, 2, 3];
    if read(&site, &all[3..]).is_none_or(|it| it.1 != document) {
        cannot_run("the new machine did not serve the configuration in its time to catch up");
    }
    let mut present = vec![0, 1, 2, 3];
    if has_trouble() {
        site.cores[0].kill();
        present.remove(0);
        record.write("core-0 is removed for good, without SIGTERM");
        sleep_ms(second_loss_ms);
        site.cores[1].kill();
        let data = site.data(1);
        fs::remove_dir_all(&data).unwrap_or_else(|it| cannot_run(&format!("data: {it}")));
        record.write("core-1 goes down and loses its disk");
        sleep_ms(DOWN_MS);
        site.start_core_again(1);
        record.write("core-1 is back at its address, with an empty disk");
    }
    sleep_ms(CATCH_UP_MS + RECOVER_MS);
    record.write("recover_s is over; nothing is disturbed any more");
    let deadline = Instant::now() + Duration::from_millis(ASK_MS);
    let (mut reads, mut found) = (0, None);
    while found.is_none() && Instant::now() < deadline {
        reads += 1;
        found = read(&site, &present);
        sleep_ms(1_000);
    }
    let next = config(8, &[route("r", "/p/", "idempotent", "s", 2, 3_000, 200, false)], &[service("s")], "");
    let changed = present.iter().any(|n| put_config(site.publish_addr(*n), &next).is_ok_and(|it| it.status() == 200));
    let is_same = found.as_ref().is_some_and(|it| it.1 == document);
    let text = format!(
        "the acknowledged configuration was {} after {reads} rounds of reads at {} machines; a change was {}",
        match (&found, is_same) {
            (None, _) => "not read back",
            (_, true) => "read back",
            (_, false) => "read back with other content",
        },
        present.len(),
        if changed { "acknowledged" } else { "not acknowledged" }
    );
    record.write(&text);
    println!("{text}");
    site.end(!is_same)
}
