//! Requests that crash engines, engines that crash, and connections that stall.

use {
    crate::{
        calls::join_all,
        harness::{CallResult, Fleet, TOKEN, assert_complete},
    },
    http::Request,
    standin::Fault,
    std::{collections::BTreeSet, time::Duration},
    tokio::time::sleep,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_crashes_at_most_two_engines_and_other_requests_are_answered() {
    let fleet = Fleet::start(3, 6).await;
    let other_requests = (0..24).map(|it| {
        let fleet = &fleet;
        async move {
            let (chat, text) = (format!("bystander-{it}"), format!("question {it}"));
            let result = fleet.chat(it % 3, &chat, &text, 150).await;
            assert_complete(&result, &text, 150);
        }
    });
    let poison_requests = async {
        for resend in 0..6 {
            let result = fleet.chat(resend % 3, "poisoned", "POISON-PILL please", 4).await;
            assert!(result.status != 200 || result.body.is_err(), "{result:?}");
        }
    };
    tokio::join!(join_all(other_requests), poison_requests);
    let crashed: u64 = fleet.engines.iter().map(|it| it.crashes()).sum();
    assert!((1..=2).contains(&crashed), "{crashed} engines crashed");
    let last = fleet.chat(0, "poisoned", "POISON-PILL please", 4).await;
    assert_eq!((last.status, last.outcome.as_str()), (422, "not-run"), "{last:?}");
}

async fn call_store(fleet: &Fleet, method: &str) -> CallResult {
    let request = Request::builder().method(method).uri("/s/auditstore/evidence/crash");
    let request = request.header("authorization", format!("Bearer {TOKEN}"));
    fleet.send(0, request.body(edge::empty()).unwrap()).await
}

/// A call to a plain service was refused while one with another method and the same path was
/// quarantined, as both had one fingerprint.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_call_does_not_block_one_with_another_method() {
    let fleet = Fleet::start(1, 1).await;
    let slow = Fault::Slow { factor: 100, for_ms: 10_000 };
    fleet.stores.iter().for_each(|it| it.fault(slow));
    let crash_stores = async {
        // Each time while an attempt is running.
        for _ in 0..6 {
            sleep(Duration::from_millis(300)).await;
            fleet.stores.iter().for_each(|it| it.fault(Fault::Crash { for_ms: 50 }));
        }
    };
    tokio::join!(call_store(&fleet, "GET"), crash_stores);
    let again = call_store(&fleet, "GET").await;
    assert_eq!(again.status, 422, "the call is not quarantined: {again:?}");
    fleet.stores.iter().for_each(|it| it.fault(Fault::Heal));
    let other = call_store(&fleet, "PUT").await;
    assert_eq!(other.status, 200, "{other:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_when_engines_crash() {
    let fleet = Fleet::start(3, 6).await;
    let calls = (0..30).map(|it| {
        let fleet = &fleet;
        async move {
            let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
            let result = fleet.chat(it % 3, &chat, &text, 120).await;
            assert_complete(&result, &text, 120);
            result.endpoint
        }
    });
    let crash_engines = async {
        // Once this answer is complete, the answers to the other chats are being streamed.
        assert_eq!(fleet.chat(0, "pace", "pace", 20).await.status, 200);
        fleet.engines[0].fault(Fault::Crash { for_ms: 500 });
        fleet.engines[1].fault(Fault::Crash { for_ms: 500 });
    };
    let (ran, ()) = tokio::join!(join_all(calls), crash_engines);
    let engines: BTreeSet<_> = ran.iter().collect();
    assert!(engines.len() > 1, "{engines:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_when_connections_stall() {
    let fleet = Fleet::start(2, 3).await;
    let calls = (0..9).map(|it| {
        let fleet = &fleet;
        async move {
            let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
            let result = fleet.chat(it % 2, &chat, &text, 100).await;
            assert_complete(&result, &text, 100);
        }
    });
    let stall_connections = async {
        assert_eq!(fleet.chat(0, "pace", "pace", 20).await.status, 200);
        fleet.engines.iter().for_each(|it| it.fault(Fault::Silent));
    };
    tokio::join!(join_all(calls), stall_connections);
}
