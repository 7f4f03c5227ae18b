//! Requests that crash engines, engines that crash, and connections that stall.

use {
    crate::{
        calls::join_all,
        harness::{Fleet, assert_complete},
    },
    standin::Fault,
    std::collections::BTreeSet,
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
