//! Every way of damaging an answer is noticed, and no whole answer is blamed.

use {
    load::{KeyAnswer, KeyBook, Usage, Verdict, judge, skew},
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

    /// A whole answer is whole, whatever the engine had cached.
    #[test]
    fn a_whole_answer_is_whole(content in ".{0,40}", stream: bool, cached: u32) {
        let answer = answer(&content, "r1", stream);
        let body = answer.body(cached);
        prop_assert_eq!(judge(&answer, "r1", &body), Verdict::Whole);
        let usage = Usage::find(&body).unwrap();
        prop_assert_eq!(usage.cached, u64::from(cached));
    }

    /// A part cut out is lost, wherever it was.
    #[test]
    fn a_missing_part_is_lost(stream: bool, at in 0..2_000usize, len in 1..400usize) {
        let answer = answer("x", "r1", stream);
        let body = answer.body(0);
        let from = at % body.len();
        let to = (from + len).min(body.len());
        let damaged = format!("{}{}", &body[..from], &body[to..]);
        prop_assert_ne!(judge(&answer, "r1", &damaged), Verdict::Whole);
        prop_assert_ne!(judge(&answer, "r1", &body[..from]), Verdict::Whole);
    }

    /// A part that came twice is doubled.
    #[test]
    fn a_repeated_part_is_doubled(stream: bool, at in 0..2_000usize, len in 1..400usize) {
        let answer = answer("x", "r1", stream);
        let body = answer.body(0);
        let from = at % body.len();
        let to = (from + len).min(body.len());
        let damaged = format!("{}{}", &body[..to], &body[from..]);
        prop_assert_eq!(judge(&answer, "r1", &damaged), Verdict::Doubled);
    }

    /// Another caller's answer is foreign, under its own request id or under this one.
    #[test]
    fn another_answer_is_foreign(stream: bool, content in "[a-z]{2,200}") {
        let answer_of_this = answer("x", "r1", stream);
        let other = answer(&content, "r2", stream).body(0);
        prop_assert_eq!(judge(&answer_of_this, "r1", &other), Verdict::Foreign);
        let mixed = answer(&format!("{content}{content}"), "r1", stream);
        let same_length = mixed.body(0).len() == answer_of_this.body(0).len();
        let verdict = judge(&answer_of_this, "r1", &mixed.body(0));
        prop_assert!(verdict == Verdict::Foreign || (!same_length && verdict != Verdict::Whole));
    }

    /// The judge takes any text.
    #[test]
    fn any_body_is_judged(body in ".{0,200}") {
        judge(&answer("x", "r1", true), "r1", &body);
        judge(&answer("x", "r1", true), "r1", &format!("\"cached_tokens\":{body}"));
        Usage::find(&format!("\"usage\":{body}"));
    }
}

#[test]
fn keys_are_judged_by_how_often_they_ran() {
    let mut book = KeyBook::default();
    let body = |it: &str| KeyAnswer::Body(it.to_owned());
    book.note("fine", body("a"));
    book.note("fine", body("a"));
    book.note("twice", body("a"));
    book.note("gone", body("a"));
    book.note("lied", KeyAnswer::NotRun);
    book.note("open", KeyAnswer::Unknown);
    book.note("differs", body("a"));
    book.note("differs", body("b"));
    let runs = [("fine", 1), ("twice", 2), ("lied", 1), ("open", 1), ("differs", 1)];
    let runs: BTreeMap<String, u64> = runs.map(|(key, runs)| (key.to_owned(), runs)).into();
    let verdict = book.judge(&runs);
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
