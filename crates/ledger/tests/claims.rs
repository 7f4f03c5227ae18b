//! The life of one claim.

use {
    ledger::{AnswerBody, Call, ClaimKey, Ledger, MAX_BODY_BYTES, RecordedAnswer, Reply, Step},
    model::{Digest, RequestId, RouterId, ServiceId, TeamId},
    std::sync::Arc,
};

const KEEP_MS: u64 = 1_000;

fn call(router: u32, id: u128, step: Step) -> Call {
    let key = ClaimKey::new(TeamId(1), ServiceId(1), b"evidence-1");
    Call { key, router: RouterId(router), id: RequestId(id), step }
}

fn claim(router: u32, id: u128, body: &[u8]) -> Call {
    call(router, id, Step::Claim { request: Digest::of(body) })
}

fn done(answer: &RecordedAnswer) -> Step {
    Step::Done { answer: Arc::new(answer.clone()) }
}

#[test]
fn another_request_under_the_same_key_is_told_apart() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), Reply::Granted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 2, b"b")), Reply::Mismatch);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 3, b"a")), Reply::InProgress);
}

#[test]
fn a_released_key_can_be_claimed_anew_but_not_by_a_late_copy_of_the_call() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), Reply::Granted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, Step::Release)), Reply::Noted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), Reply::NotHolder);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 2, b"a")), Reply::Granted);
}

#[test]
fn a_release_that_overtakes_its_claim_bars_it() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, Step::Release)), Reply::Noted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), Reply::NotHolder);
}

#[test]
fn a_lost_router_leaves_unknown_for_good() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), Reply::Granted);
    ledger.lose(RouterId(1));
    let late = RecordedAnswer::new(200, [], "late".into());
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, done(&late))), Reply::Unknown);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, Step::Release)), Reply::Unknown);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 2, b"a")), Reply::Unknown);
}

#[test]
fn a_claim_that_outlives_its_deadline_is_unknown_before_it_is_dropped() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), Reply::Granted);
    assert_eq!(ledger.apply(KEEP_MS, KEEP_MS, true, &claim(2, 2, b"a")), Reply::Unknown);
    assert_eq!(ledger.apply(2 * KEEP_MS - 1, KEEP_MS, true, &claim(2, 3, b"a")), Reply::Unknown);
    assert_eq!(ledger.apply(2 * KEEP_MS, KEEP_MS, true, &claim(2, 4, b"a")), Reply::Granted);
}

#[test]
fn a_clock_that_goes_back_brings_no_expired_claim_back() {
    let mut ledger = Ledger::default();
    let answer = RecordedAnswer::new(200, [], "stored".into());
    ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a"));
    ledger.apply(0, KEEP_MS, true, &call(1, 1, done(&answer)));
    ledger.apply(KEEP_MS - 1, KEEP_MS, true, &claim(2, 2, b"b"));
    let recorded = ledger.apply(0, KEEP_MS, true, &claim(2, 3, b"a"));
    assert_eq!(recorded, Reply::Recorded(Arc::new(answer)));
}

#[test]
fn a_long_body_is_kept_as_a_digest() {
    let body = vec![7; MAX_BODY_BYTES + 1];
    let answer = RecordedAnswer::new(200, [], body.clone().into());
    let expected = AnswerBody::Digest { digest: Digest::of(&body), length: body.len() as u64 };
    assert_eq!(answer.body, expected);
    let mut ledger = Ledger::default();
    ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a"));
    let whole = RecordedAnswer { body: AnswerBody::Whole(body.into()), ..answer };
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, done(&whole))), Reply::TooLarge);
}

#[test]
fn a_full_ledger_keeps_digests_of_new_answers_and_never_forgets_that_they_ran() {
    let mut ledger = Ledger::default();
    let body = vec![7; MAX_BODY_BYTES];
    let answer = RecordedAnswer::new(200, [], body.clone().into());
    let digest = AnswerBody::Digest { digest: Digest::of(&body), length: body.len() as u64 };
    let mut whole = 0;
    // 16 KiB for each of 16,384 keys is twice what the ledger keeps of bodies.
    for number in 0..16_384u32 {
        let key = ClaimKey::new(TeamId(1), ServiceId(1), &number.to_le_bytes());
        let keyed = |call: Call| Call { key, ..call };
        let id = number.into();
        ledger.apply(0, KEEP_MS, true, &keyed(claim(1, id, b"a")));
        let noted = ledger.apply(0, KEEP_MS, true, &keyed(call(1, id, done(&answer))));
        assert_eq!(noted, Reply::Noted);
        let resent = ledger.apply(0, KEEP_MS, true, &keyed(claim(2, id, b"a")));
        let Reply::Recorded(recorded) = resent else { panic!("{resent:?}") };
        assert!(recorded.body == answer.body || recorded.body == digest);
        whole += usize::from(recorded.body == answer.body);
    }
    assert!((7_000..=8_192).contains(&whole), "{whole} whole answers");
}
