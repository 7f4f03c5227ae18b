//! Property tests of batches and prompt caches.

use {
    proptest::{collection::vec, prelude::*},
    standin::{
        Batch, BatchLimits, ChatRequest, Completion, Job, JobId, Message, PrefixCache, StepEvent,
        prefix_chain,
    },
    std::collections::BTreeMap,
};

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

fn chat(contents: &[u8], tokens: u32, stream: bool) -> ChatRequest {
    let message =
        |it: &u8| Message { role: "user".to_owned(), content: "word ".repeat(usize::from(*it)) };
    let messages = contents.iter().map(message).collect();
    ChatRequest { model: "m".to_owned(), messages, max_tokens: Some(tokens), stream }
}

fn job(chat: &ChatRequest, request: &str, priority: u8, offset: u64) -> Job {
    Job {
        request: request.to_owned(),
        attempt: 1,
        priority,
        completion: Completion::new(chat, request),
        chain: prefix_chain("m", &chat.messages),
        offset,
        poison: false,
    }
}

/// Runs a batch until it is idle and returns the bytes of each job.
fn run_to_completion(
    batch: &mut Batch,
    cache: &mut PrefixCache,
    jobs: usize,
) -> BTreeMap<JobId, String> {
    let mut bodies: BTreeMap<JobId, String> = BTreeMap::new();
    for _ in 0..100_000 {
        for emission in batch.step(cache) {
            match emission {
                StepEvent::Bytes { job, bytes } => *bodies.entry(job).or_default() += &bytes,
                StepEvent::Done { job, .. } => drop(bodies.entry(job).or_default()),
                StepEvent::Crash => panic!("no job is poisoned"),
            }
        }
        assert!(batch.active() <= jobs);
        if batch.is_idle() {
            return bodies;
        }
    }
    panic!("the batch did not finish within 100000 steps");
}

proptest! {
    #![proptest_config(config())]

    /// Every job receives its complete response from its offset on, whichever jobs run concurrently.
    #[test]
    fn every_job_receives_its_response(
        requests in vec((vec(0..9u8, 1..4), 1..20u32, any::<bool>(), 0..9u8, 0..3_000u64), 1..8),
        jobs in 1..4usize,
        prefill in 1..40u32,
        capacity in 0..200u64,
    ) {
        let (mut batch, mut cache) = (Batch::new(BatchLimits { jobs, prefill }), PrefixCache::new(capacity));
        let mut expected = BTreeMap::new();
        for (at, (contents, tokens, stream, priority, offset)) in requests.iter().enumerate() {
            let chat = chat(contents, *tokens, *stream);
            let job = job(&chat, &at.to_string(), *priority, *offset);
            let body = job.completion.body(0);
            let rest = body.get((*offset as usize).min(body.len())..).unwrap_or("").to_owned();
            expected.insert(batch.submit(job), rest);
        }
        let bodies = run_to_completion(&mut batch, &mut cache, jobs);
        prop_assert_eq!(bodies.len(), expected.len());
        for (job, rest) in expected {
            // Only the number of cached tokens may differ.
            let digits = |it: &str| it.rsplit_once("cached_tokens\":").map_or(it.to_owned(), |it| it.0.to_owned());
            prop_assert_eq!(bodies[&job].len(), rest.len());
            if rest.contains("cached_tokens\":") {
                prop_assert_eq!(digits(&bodies[&job]), digits(&rest));
            }
        }
        prop_assert!(cache.used() <= capacity);
    }

    /// The cached part of a chain is always a prefix of it and never exceeds the capacity.
    #[test]
    fn cache_stores_whole_prefixes_within_capacity(
        chats in vec(vec(0..4u8, 1..6), 1..30),
        capacity in 0..40u64,
    ) {
        let mut cache = PrefixCache::new(capacity);
        for contents in &chats {
            let chain = prefix_chain("m", &chat(contents, 1, false).messages);
            cache.store(&chain);
            prop_assert!(cache.used() <= capacity);
            let sums: Vec<u32> = (0..=chain.len()).map(|it| chain[..it].iter().map(|it| it.1).sum()).collect();
            prop_assert!(sums.contains(&cache.cached(&chain)));
            let total: u64 = chain.iter().map(|it| u64::from(it.1)).sum();
            prop_assert!(total > capacity || u64::from(cache.cached(&chain)) == total);
        }
    }
}
