//! Measures a decision on a request with 1,100 endpoints and 1,000 waiting requests:
//! `cargo bench -p dispatch --bench decision`.

use {
    directory::ListedEndpoint,
    dispatch::{DispatchRequest, Dispatcher, Prompt, PromptPart, SubmitResult},
    model::{Domain, MILLISECOND, SECOND, Time},
    smallvec::SmallVec,
    std::time::{Duration, Instant},
};

const ENDPOINTS: usize = 1_100;
const WAITING: usize = 1_000;
const DECISIONS: u32 = 20_000;

fn request(now: Time, at: u64) -> DispatchRequest {
    let parts = [
        PromptPart { id: at % 100, tokens: 2_000 },
        PromptPart { id: 1_000_000 + at, tokens: 300 + (at % 7) as u32 * 100 },
    ];
    let prompt = Prompt { parts: parts.into_iter().collect(), tokens: 3_500 };
    DispatchRequest {
        service: "model".into(),
        prompt: Some(prompt),
        priority: (at % 3) as u8,
        wait_until: now + 2 * SECOND,
        excluded: SmallVec::new(),
        build: None,
        regions: None,
        team: (at % 500) as u32,
        deadline: Some(now + 60 * SECOND),
    }
}

fn main() {
    let listing: Vec<_> = (0..ENDPOINTS)
        .map(|at| ListedEndpoint {
            id: format!("model-{at}").into(),
            service: "model".into(),
            addr: ([10, 0, (at >> 8) as u8, at as u8], 1_000).into(),
            domain: Domain(format!("d{}", at % 5).as_str().into()),
            slots: 2,
            draining: false,
            started_at_ms: None,
            build: None,
        })
        .collect();
    let mut dispatcher = Dispatcher::new(Domain("d0".into()), 1);
    dispatcher.set_kv_capacity(&"model".into(), Some(600_000));
    dispatcher.update_endpoints(&listing);
    let mut now = Time(SECOND);
    let (mut at, mut waiting) = (0, Vec::new());
    while waiting.len() < WAITING {
        at += 1;
        match dispatcher.submit(now, request(now, at)) {
            SubmitResult::Queued(id) => waiting.push(id),
            SubmitResult::Started(_) => {}
            SubmitResult::Refused(it) => panic!("refused: {it:?}"),
        }
    }
    let (mut total, mut counts) = (Duration::ZERO, [0_u32; 3]);
    for _ in 0..DECISIONS {
        at += 1;
        now = now + MILLISECOND / 20;
        let ask = request(now, at);
        let from = Instant::now();
        let result = dispatcher.submit(now, ask);
        let refused = dispatcher.expire(now);
        total += from.elapsed();
        counts[0] += u32::from(matches!(result, SubmitResult::Queued(_)));
        counts[1] += u32::from(matches!(result, SubmitResult::Refused(_)));
        counts[2] += refused.len() as u32;
    }
    println!(
        "{:.2} us a decision; {} queued, {} refused, {} displaced or expired",
        total.as_secs_f64() * 1e6 / f64::from(DECISIONS),
        counts[0],
        counts[1],
        counts[2]
    );
}
