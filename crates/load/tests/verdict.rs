//! Damaged answers are detected, and undamaged ones are classified as whole.

use {
    load::{KeyAnswer, KeyTracker, Usage, Verdict, classify, skew},
    proptest::prelude::*,
    standin::{ChatRequest, Completion, Message},
    std::collections::BTreeMap,
};

fn config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, ..ProptestConfig::default() }
}

fn answer(content: &str, request: &str, stream: bool) -> Completion {
    let message = Message { role: "user".to_owned(), content: content.to_owned() };
    let chat =
        ChatRequest { model: "m".to_owned(), messages: vec![message], max_tokens: Some(9), stream };
    Completion::new(&chat, request)
}

proptest! {
    #![proptest_config(config())]

    /// A complete answer is whole for any number of cached tokens.
    #[test]
    fn complete_answers_are_whole(content in ".{0,40}", stream: bool, cached: u32) {
        let answer = answer(&content, "r1", stream);
        let body = answer.body(cached);
        prop_assert_eq!(classify(&answer, "r1", &body), Verdict::Whole);
        let usage = Usage::find(&body).unwrap();
        prop_assert_eq!(usage.cached_tokens, u64::from(cached));
    }

    /// An answer with a part removed at any place, or cut off there, is not whole.
    #[test]
    fn answers_with_a_missing_part_are_not_whole(
        stream: bool,
        at in 0..2_000usize,
        len in 1..400usize,
    ) {
        let answer = answer("x", "r1", stream);
        let body = answer.body(0);
        let from = at % body.len();
        let to = (from + len).min(body.len());
        let damaged = format!("{}{}", &body[..from], &body[to..]);
        prop_assert_ne!(classify(&answer, "r1", &damaged), Verdict::Whole);
        prop_assert_ne!(classify(&answer, "r1", &body[..from]), Verdict::Whole);
    }

    /// An answer with a part repeated at any place is doubled.
    #[test]
    fn answers_with_a_repeated_part_are_doubled(
        stream: bool,
        at in 0..2_000usize,
        len in 1..400usize,
    ) {
        let answer = answer("x", "r1", stream);
        let body = answer.body(0);
        let from = at % body.len();
        let to = (from + len).min(body.len());
        let damaged = format!("{}{}", &body[..to], &body[from..]);
        prop_assert_eq!(classify(&answer, "r1", &damaged), Verdict::Doubled);
    }

    /// The answer to another request is foreign. An answer to another chat under the same request
    /// id is foreign if it has the same length, and otherwise never whole.
    #[test]
    fn answers_to_other_requests_are_foreign(stream: bool, content in "[a-z]{2,200}") {
        let expected = answer("x", "r1", stream);
        let other = answer(&content, "r2", stream).body(0);
        prop_assert_eq!(classify(&expected, "r1", &other), Verdict::Foreign);
        let other_chat = answer(&format!("{content}{content}"), "r1", stream);
        let same_length = other_chat.body(0).len() == expected.body(0).len();
        let verdict = classify(&expected, "r1", &other_chat.body(0));
        prop_assert!(verdict == Verdict::Foreign || (!same_length && verdict != Verdict::Whole));
    }

    /// Classifying a body and finding its usage do not panic for any text.
    #[test]
    fn any_body_is_classified(body in ".{0,200}") {
        classify(&answer("x", "r1", true), "r1", &body);
        classify(&answer("x", "r1", true), "r1", &format!("\"cached_tokens\":{body}"));
        Usage::find(&format!("\"usage\":{body}"));
    }
}

#[test]
fn key_verdict_compares_answers_with_run_counts() {
    let mut tracker = KeyTracker::default();
    let body = |it: &str| KeyAnswer::Body(it.to_owned());
    tracker.record("once", body("a"));
    tracker.record("once", body("a"));
    tracker.record("twice", body("a"));
    tracker.record("lost", body("a"));
    tracker.record("false-not-run", KeyAnswer::NotRun);
    tracker.record("unknown", KeyAnswer::Unknown);
    tracker.record("differs", body("a"));
    tracker.record("differs", body("b"));
    let runs = [("once", 1), ("twice", 2), ("false-not-run", 1), ("unknown", 1), ("differs", 1)];
    let runs: BTreeMap<String, u64> = runs.map(|(key, runs)| (key.to_owned(), runs)).into();
    let verdict = tracker.verdict(&runs);
    assert_eq!((verdict.keys, verdict.calls, verdict.answered), (6, 8, 4));
    assert_eq!((verdict.doubled, verdict.lost, verdict.unknown), (1, 1, 1));
    assert_eq!((verdict.false_not_run, verdict.differing), (1, 1));
}

#[test]
fn skew_is_max_over_mean_of_busy_samples() {
    let (idle, even, uneven) = ([0, 0, 1], [4, 4, 4], [2, 2, 8]);
    let loads: Vec<&[u64]> = vec![&idle, &even, &uneven];
    let skew = skew(&loads, &loads);
    assert_eq!((skew.samples, skew.max), (2, 2.0));
    assert_eq!((skew.mean, skew.overall), (1.5, 1.5));
}
