//! Leaving endpoints and routers that shut down in order.

use {
    crate::{
        calls::join_all,
        harness::{Fleet, assert_complete},
    },
    std::time::{Duration, Instant},
};

/// A leaving endpoint gets nothing new after this.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_receives_nothing_new_after_the_limit() {
    let fleet = Fleet::start(3, 4).await;
    let intent = fleet.intent(&["draftmodel-1", "draftmodel-2"]);
    fleet.apply_intent("drain", &intent).await;
    let confirmed = Instant::now();
    let mut rounds_without_draining = 0;
    // Ten rounds in a row without the leaving endpoints, through every router, before the limit is over.
    while rounds_without_draining < 10 {
        assert!(confirmed.elapsed() < DRAIN_LIMIT, "leaving endpoints still receive work");
        let calls = (0..12).map(|it| {
            let fleet = &fleet;
            async move {
                let chat = format!("chat-{it}");
                let got = fleet.chat(it % 3, &chat, "hello", 3).await;
                assert_complete(&got, "hello", 3);
                got.endpoint
            }
        });
        let ran = join_all(calls).await;
        let is_draining = |it: &String| it == "draftmodel-1" || it == "draftmodel-2";
        rounds_without_draining =
            if ran.iter().any(is_draining) { 0 } else { rounds_without_draining + 1 };
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_nothing_off() {
    let mut fleet = Fleet::start(3, 4).await;
    let stopped = fleet.routers[0].shutdown();
    let fleet = &fleet;
    // Long answers through the leaving router, and through the others by way of what it owns.
    let calls = (0..24).map(|it| async move {
        let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
        let got = fleet.chat(it % 3, &chat, &text, 300).await;
        assert_complete(&got, &text, 300);
    });
    join_all(calls).await;
    stopped.await.unwrap();
    let after = fleet.chat(1, "after", "after", 3).await;
    assert_complete(&after, "after", 3);
}
