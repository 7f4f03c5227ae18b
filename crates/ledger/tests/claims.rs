//! The life of one claim.

use {
    ledger::{
        AnswerBody, ClaimKey, ClaimStep, Ledger, LedgerCall, LedgerReply, MAX_BODY_BYTES,
        RecordedAnswer,
    },
    model::{Digest, RequestId, RouterId, ServiceId, TeamId},
    std::sync::Arc,
};

const KEEP_MS: u64 = 1_000;

fn call(router: u32, id: u128, step: ClaimStep) -> LedgerCall {
    let key = ClaimKey::new(TeamId(1), ServiceId(1), b"evidence-1");
    LedgerCall { key, router: RouterId(router), id: RequestId(id), step }
}

fn claim(router: u32, id: u128, body: &[u8]) -> LedgerCall {
    call(router, id, ClaimStep::Claim { request: Digest::of(body) })
}

fn done(answer: &RecordedAnswer) -> ClaimStep {
    ClaimStep::Done { answer: Arc::new(answer.clone()) }
}

#[test]
fn another_request_under_the_same_key_is_told_apart() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 2, b"b")), LedgerReply::Mismatch);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 3, b"a")), LedgerReply::InProgress);
}

#[test]
fn a_released_key_can_be_claimed_anew_but_not_by_a_late_copy_of_the_call() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, ClaimStep::Release)), LedgerReply::Noted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), LedgerReply::NotHolder);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 2, b"a")), LedgerReply::Granted);
}

#[test]
fn a_release_that_overtakes_its_claim_bars_it() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, ClaimStep::Release)), LedgerReply::Noted);
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), LedgerReply::NotHolder);
}

#[test]
fn a_lost_router_leaves_unknown_for_good() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    ledger.mark_router_lost(RouterId(1));
    let late = RecordedAnswer::new(200, [], "late".into());
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, done(&late))), LedgerReply::Unknown);
    assert_eq!(
        ledger.apply(0, KEEP_MS, true, &call(1, 1, ClaimStep::Release)),
        LedgerReply::Unknown
    );
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(2, 2, b"a")), LedgerReply::Unknown);
}

#[test]
fn a_claim_that_outlives_its_deadline_is_unknown_before_it_is_dropped() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    assert_eq!(ledger.apply(KEEP_MS, KEEP_MS, true, &claim(2, 2, b"a")), LedgerReply::Unknown);
    assert_eq!(
        ledger.apply(2 * KEEP_MS - 1, KEEP_MS, true, &claim(2, 3, b"a")),
        LedgerReply::Unknown
    );
    assert_eq!(ledger.apply(2 * KEEP_MS, KEEP_MS, true, &claim(2, 4, b"a")), LedgerReply::Granted);
}

#[test]
fn a_clock_that_goes_back_brings_no_expired_claim_back() {
    let mut ledger = Ledger::default();
    let answer = RecordedAnswer::new(200, [], "stored".into());
    ledger.apply(0, KEEP_MS, true, &claim(1, 1, b"a"));
    ledger.apply(0, KEEP_MS, true, &call(1, 1, done(&answer)));
    ledger.apply(KEEP_MS - 1, KEEP_MS, true, &claim(2, 2, b"b"));
    let recorded = ledger.apply(0, KEEP_MS, true, &claim(2, 3, b"a"));
    assert_eq!(recorded, LedgerReply::Recorded(Arc::new(answer)));
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
    assert_eq!(ledger.apply(0, KEEP_MS, true, &call(1, 1, done(&whole))), LedgerReply::TooLarge);
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
        let keyed = |call: LedgerCall| LedgerCall { key, ..call };
        let id = number.into();
        ledger.apply(0, KEEP_MS, true, &keyed(claim(1, id, b"a")));
        let noted = ledger.apply(0, KEEP_MS, true, &keyed(call(1, id, done(&answer))));
        assert_eq!(noted, LedgerReply::Noted);
        let resent = ledger.apply(0, KEEP_MS, true, &keyed(claim(2, id, b"a")));
        let LedgerReply::Recorded(recorded) = resent else { panic!("{resent:?}") };
        assert!(recorded.body == answer.body || recorded.body == digest);
        whole += usize::from(recorded.body == answer.body);
    }
    assert!((7_000..=8_192).contains(&whole), "{whole} whole answers");
}
