//! Leaving endpoints and routers that shut down in order.

use {
    crate::{
        bench::{Fleet, assert_whole},
        calls::futures_of,
    },
    std::time::{Duration, Instant},
};

/// A leaving endpoint gets nothing new after this.
const LIMIT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_receives_nothing_new_after_the_limit() {
    let fleet = Fleet::open(3, 4).await;
    let intent = fleet.intent(&["draftmodel-1", "draftmodel-2"]);
    fleet.confirm("drain", &intent).await;
    let confirmed = Instant::now();
    let mut clean = 0;
    // Ten rounds in a row without the leaving endpoints, through every router, before the limit is over.
    while clean < 10 {
        assert!(confirmed.elapsed() < LIMIT, "leaving endpoints still receive work");
        let calls = (0..12).map(|it| {
            let fleet = &fleet;
            async move {
                let chat = format!("chat-{it}");
                let got = fleet.chat(it % 3, &chat, "hello", 3).await;
                assert_whole(&got, "hello", 3);
                got.endpoint
            }
        });
        let ran = futures_of(calls).await;
        let leaving = |it: &String| it == "draftmodel-1" || it == "draftmodel-2";
        clean = if ran.iter().any(leaving) { 0 } else { clean + 1 };
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_nothing_off() {
    let mut fleet = Fleet::open(3, 4).await;
    let stopped = fleet.routers[0].shutdown();
    let fleet = &fleet;
    // Long answers through the leaving router, and through the others by way of what it owns.
    let calls = (0..24).map(|it| async move {
        let (chat, text) = (format!("chat-{it}"), format!("question {it}"));
        let got = fleet.chat(it % 3, &chat, &text, 300).await;
        assert_whole(&got, &text, 300);
    });
    futures_of(calls).await;
    stopped.await.unwrap();
    let after = fleet.chat(1, "after", "after", 3).await;
    assert_whole(&after, "after", 3);
}
