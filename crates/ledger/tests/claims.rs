//! The states of a claim.

use {
    ledger::{
        AnswerBody, ClaimKey, ClaimStep, Ledger, LedgerCall, LedgerReply, MAX_BODY_BYTES,
        RecordedAnswer,
    },
    model::{Digest, RequestId, RouterId, ServiceId, TeamId},
    std::sync::Arc,
};

const RETENTION_MS: u64 = 1_000;

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
fn another_request_with_the_same_key_is_a_mismatch() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(2, 2, b"b")), LedgerReply::Mismatch);
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(2, 3, b"a")), LedgerReply::InProgress);
}

#[test]
fn a_released_key_can_be_claimed_again_but_not_by_a_delayed_copy_of_the_call() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    assert_eq!(
        ledger.apply(0, RETENTION_MS, true, &call(1, 1, ClaimStep::Release)),
        LedgerReply::Noted
    );
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a")), LedgerReply::NotHolder);
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(2, 2, b"a")), LedgerReply::Granted);
}

#[test]
fn a_release_that_arrives_before_its_claim_prevents_the_grant() {
    let mut ledger = Ledger::default();
    assert_eq!(
        ledger.apply(0, RETENTION_MS, true, &call(1, 1, ClaimStep::Release)),
        LedgerReply::Noted
    );
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a")), LedgerReply::NotHolder);
}

#[test]
fn claims_of_a_lost_router_stay_unknown() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    ledger.mark_router_lost(RouterId(1));
    let late = RecordedAnswer::new(200, [], "late".into());
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &call(1, 1, done(&late))), LedgerReply::Unknown);
    assert_eq!(
        ledger.apply(0, RETENTION_MS, true, &call(1, 1, ClaimStep::Release)),
        LedgerReply::Unknown
    );
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(2, 2, b"a")), LedgerReply::Unknown);
}

#[test]
fn an_expired_claim_is_unknown_for_another_period_before_it_is_dropped() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a")), LedgerReply::Granted);
    assert_eq!(
        ledger.apply(RETENTION_MS, RETENTION_MS, true, &claim(2, 2, b"a")),
        LedgerReply::Unknown
    );
    assert_eq!(
        ledger.apply(2 * RETENTION_MS - 1, RETENTION_MS, true, &claim(2, 3, b"a")),
        LedgerReply::Unknown
    );
    assert_eq!(
        ledger.apply(2 * RETENTION_MS, RETENTION_MS, true, &claim(2, 4, b"a")),
        LedgerReply::Granted
    );
}

#[test]
fn a_clock_that_goes_back_does_not_affect_recorded_answers() {
    let mut ledger = Ledger::default();
    let answer = RecordedAnswer::new(200, [], "stored".into());
    ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a"));
    ledger.apply(0, RETENTION_MS, true, &call(1, 1, done(&answer)));
    ledger.apply(RETENTION_MS - 1, RETENTION_MS, true, &claim(2, 2, b"b"));
    let recorded = ledger.apply(0, RETENTION_MS, true, &claim(2, 3, b"a"));
    assert_eq!(recorded, LedgerReply::Recorded(Arc::new(answer)));
}

#[test]
fn a_long_body_is_stored_as_a_digest() {
    let body = vec![7; MAX_BODY_BYTES + 1];
    let answer = RecordedAnswer::new(200, [], body.clone().into());
    let expected = AnswerBody::Digest { digest: Digest::of(&body), length: body.len() as u64 };
    assert_eq!(answer.body, expected);
    let mut ledger = Ledger::default();
    ledger.apply(0, RETENTION_MS, true, &claim(1, 1, b"a"));
    let full = RecordedAnswer { body: AnswerBody::Whole(body.into()), ..answer };
    assert_eq!(
        ledger.apply(0, RETENTION_MS, true, &call(1, 1, done(&full))),
        LedgerReply::TooLarge
    );
}

#[test]
fn a_full_ledger_stores_digests_of_new_answers_and_remembers_that_they_ran() {
    let mut ledger = Ledger::default();
    let body = vec![7; MAX_BODY_BYTES];
    let answer = RecordedAnswer::new(200, [], body.clone().into());
    let digest = AnswerBody::Digest { digest: Digest::of(&body), length: body.len() as u64 };
    let mut full = 0;
    // 16 KiB for each of 16,384 keys is twice the limit on stored bodies.
    for number in 0..16_384u32 {
        let key = ClaimKey::new(TeamId(1), ServiceId(1), &number.to_le_bytes());
        let with_key = |call: LedgerCall| LedgerCall { key, ..call };
        let id = number.into();
        ledger.apply(0, RETENTION_MS, true, &with_key(claim(1, id, b"a")));
        let noted = ledger.apply(0, RETENTION_MS, true, &with_key(call(1, id, done(&answer))));
        assert_eq!(noted, LedgerReply::Noted);
        let resent = ledger.apply(0, RETENTION_MS, true, &with_key(claim(2, id, b"a")));
        let LedgerReply::Recorded(recorded) = resent else { panic!("{resent:?}") };
        assert!(recorded.body == answer.body || recorded.body == digest);
        full += usize::from(recorded.body == answer.body);
    }
    assert!((7_000..=8_192).contains(&full), "{full} answers were stored in full");
}
