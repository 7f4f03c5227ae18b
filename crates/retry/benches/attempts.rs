//! Measures the cost of driving one request at its entry router, without I/O.

#![allow(clippy::disallowed_methods, reason = "a benchmark measures wall-clock time")]

use {
    bytes::Bytes,
    model::{AttemptNo, EndpointId, Epoch, Time},
    retry::{Attempts, Event, Reply, RequestSpec, RetryBudget, RetryLimits},
    std::{hint::black_box, time::Instant},
};

const REQUESTS: u32 = 200_000;

/// Chunks per response: 3.6 million tokens per second over 15,000 requests per second.
const CHUNKS: u32 = 240;

fn main() {
    let budget = RetryBudget::new(100, 100);
    let bytes = Bytes::from_static(b"data: token\n\n");
    let (mut start_nanos, mut chunk_nanos) = (0, 0);
    for _ in 0..REQUESTS {
        let started = Instant::now();
        let candidates = (0..8).map(EndpointId).collect();
        let spec =
            RequestSpec { idempotent: true, resumable: true, deadline: Time::NEVER, candidates };
        let (mut attempts, actions) =
            Attempts::start(Time(1), spec, RetryLimits::default(), Epoch(1), &budget);
        black_box(actions);
        let mut reply_with = |reply| {
            let event = Event::Reply { attempt: AttemptNo(1), reply };
            black_box(attempts.handle(Time(1), event, &budget));
        };
        reply_with(Reply::Head { status: 200 });
        start_nanos += started.elapsed().as_nanos();
        let started = Instant::now();
        let mut offset = 0;
        for _ in 0..CHUNKS {
            reply_with(Reply::Chunk { offset, bytes: bytes.clone() });
            offset += bytes.len() as u64;
        }
        reply_with(Reply::End { length: offset });
        chunk_nanos += started.elapsed().as_nanos();
        assert!(attempts.is_over());
    }
    let (start, chunk) =
        (start_nanos / u128::from(REQUESTS), chunk_nanos / u128::from(REQUESTS * CHUNKS));
    println!("{REQUESTS} requests: {start} ns up to the head, {chunk} ns per chunk");
    println!("{} bytes per request", size_of::<Attempts>());
}
