//! Measures what the decisions about one request cost at its entry router.

#![allow(clippy::disallowed_methods, reason = "a benchmark reads clocks")]

use {
    bytes::Bytes,
    model::{AttemptNo, EndpointId, Epoch, Time},
    retry::{Attempts, Event, Reply, RequestSpec, RetryBudget, RetryLimits},
    std::{hint::black_box, time::Instant},
};

const REQUESTS: u32 = 200_000;

/// Parts of an answer: 3.6 million tokens a second over 15,000 requests a second.
const PARTS: u32 = 240;

fn main() {
    let budget = RetryBudget::new(100, 100);
    let part = Bytes::from_static(b"data: token\n\n");
    let (mut starts, mut parts) = (0, 0);
    for _ in 0..REQUESTS {
        let began = Instant::now();
        let candidates = (0..8).map(EndpointId).collect();
        let spec =
            RequestSpec { idempotent: true, resumable: true, deadline: Time::NEVER, candidates };
        let (mut attempts, actions) =
            Attempts::start(Time(1), spec, RetryLimits::default(), Epoch(1), &budget);
        black_box(actions);
        let mut tell = |reply| {
            let event = Event::Reply { attempt: AttemptNo(1), reply };
            black_box(attempts.handle(Time(1), event, &budget));
        };
        tell(Reply::Head { status: 200 });
        starts += began.elapsed().as_nanos();
        let began = Instant::now();
        let mut offset = 0;
        for _ in 0..PARTS {
            tell(Reply::Chunk { offset, bytes: part.clone() });
            offset += part.len() as u64;
        }
        tell(Reply::End { length: offset });
        parts += began.elapsed().as_nanos();
        assert!(attempts.is_over());
    }
    let (start, part) = (starts / u128::from(REQUESTS), parts / u128::from(REQUESTS * PARTS));
    println!("{REQUESTS} requests: {start} ns to start and begin an answer, {part} ns a part");
    println!("{} bytes a request", size_of::<Attempts>());
}
