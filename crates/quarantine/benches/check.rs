//! Measures what the quarantine costs a request: a check on its arrival, one before it is sent, and the
//! record of its answer.

#![allow(clippy::disallowed_methods, reason = "a benchmark measures wall-clock time")]

use {
    model::{MILLISECOND, SECOND, Time},
    quarantine::{Quarantine, Subject},
    std::{hint::black_box, time::Instant},
};

const REQUESTS: u64 = 20_000;

fn subjects(id: u64, parts: u64) -> Vec<Subject> {
    let own = [Subject::Request(id), Subject::Part(id << 16)];
    own.into_iter().chain((1..parts).map(|it| Subject::Part(it * 0x9e37_79b9))).collect()
}

fn main() {
    for has_verdict in [false, true] {
        for parts in [3, 10, 64, 1_300, 2_700] {
            let mut quarantine = Quarantine::new(([127, 0, 0, 1], 1).into());
            for crash in (1..=3).filter(|_| has_verdict) {
                let now = Time(SECOND + crash * 200 * MILLISECOND);
                quarantine.record_crash(now, &[Subject::Part(0xbad)], crash, now);
            }
            let requests = REQUESTS.min(20_000_000 / parts);
            let all: Vec<_> = (0..16).map(|it| subjects(it, parts)).collect();
            let started = Instant::now();
            for request in 0..requests {
                let now = Time(10 * SECOND + request * MILLISECOND);
                let subjects = &all[request as usize % all.len()];
                black_box(quarantine.check(now, subjects));
                black_box(quarantine.admit(now, subjects));
                quarantine.record_answer(now, subjects);
            }
            let nanos = started.elapsed().as_nanos() / u128::from(requests);
            println!("{parts} parts, verdict {has_verdict}: {nanos} ns a request");
        }
    }
}
