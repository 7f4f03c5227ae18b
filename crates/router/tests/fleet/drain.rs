//! Endpoints that drain, and routers that shut down gracefully.

use {
    crate::{
        calls::join_all,
        harness::{Fleet, assert_complete},
    },
    std::time::{Duration, Instant},
};

/// Time after which a draining endpoint must receive no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_receives_no_new_requests_after_the_limit() {
    let fleet = Fleet::start(3, 4).await;
    let intent = fleet.intent(&["draftmodel-1", "draftmodel-2"]);
    fleet.apply_intent("drain", &intent).await;
    let confirmed = Instant::now();
    let mut rounds_without_draining = 0;
    // Before the limit, ten consecutive rounds through every router must avoid the draining endpoints.
    while rounds_without_draining < 10 {
        assert!(confirmed.elapsed() < DRAIN_LIMIT, "draining endpoints still receive requests");
        let calls = (0..12).map(|it| {
            let fleet = &fleet;
            async move {
                let chat = format!("chat-{it}");
                let result = fleet.chat(it % 3, &chat, "hello", 3).await;
                assert_complete(&result, "hello", 3);
                result.endpoint
            }
        });
        let ran = join_all(calls).await;
        let is_draining = |it: &String| it == "draftmodel-1" || it == "draftmodel-2";
        rounds_without_draining =
            if ran.iter().any(is_draining) { 0 } else { rounds_without_draining + 1 };
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_all_requests() {
    let mut fleet = Fleet::start(3, 4).await;
    let stopped = fleet.routers[0].shutdown();
    let fleet = &fleet;
    // Sends long answers through the router that shuts down, and through others to endpoints that it owns.
    let calls = (0..24).map(|it| async move {
        let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
        let result = fleet.chat(it % 3, &chat, &text, 300).await;
        assert_complete(&result, &text, 300);
    });
    join_all(calls).await;
    stopped.await.unwrap();
    let after = fleet.chat(1, "after", "after", 3).await;
    assert_complete(&after, "after", 3);
}
