//! Ordinary calls, and calls that are refused.

use {
    crate::harness::{Fleet, TOKEN, assert_complete, start_router},
    edge::full,
    http::Request,
    rstest::rstest,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Owners have settled after this.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_runs_on_one_engine_through_every_router() {
    let fleet = Fleet::start(4, 6).await;
    // While owners change after the start, a chat may be spilled; then it stays on one engine.
    let start = Instant::now();
    loop {
        let mut ran = BTreeSet::new();
        for router in 0..4 {
            let got = fleet.chat(router, "walkthrough-7", "what is missing?", 12).await;
            assert_complete(&got, "what is missing?", 12);
            ran.insert(got.endpoint);
        }
        if ran.len() == 1 {
            return;
        }
        assert!(start.elapsed() < SETTLE_TIMEOUT, "{ran:?}");
    }
}

/// A router that was just started knows no token yet, so it cannot call one wrong.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_a_configuration_does_not_call_a_token_wrong() {
    let mut fleet = Fleet::start(1, 1).await;
    // Nothing listens there, so this router never gets a configuration.
    let nowhere = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.routers.push(start_router(1, nowhere));
    let got = fleet.chat(1, "early", "hello", 2).await;
    assert_eq!((got.status, got.outcome.as_str()), (503, "not-run"), "{got:?}");
    assert!(got.body.as_ref().is_ok_and(|it| it.contains("unavailable")), "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_call_runs_once_however_often_it_is_sent() {
    let fleet = Fleet::start(3, 2).await;
    let sent = (0..12).map(|it| fleet.store_evidence(it % 3, "finding-1", "no fire door"));
    let mut whole = 0;
    for got in join_all(sent).await {
        match got.status {
            200 => whole += 1,
            409 => assert_eq!(got.outcome, "unknown", "{got:?}"),
            _ => panic!("{got:?}"),
        }
    }
    assert!(whole > 0);
    assert_eq!(fleet.run_count("finding-1").await, 1);
    let again = fleet.store_evidence(1, "finding-1", "no fire door").await;
    assert_eq!(again.status, 200);
    let other = fleet.store_evidence(2, "finding-1", "another finding").await;
    assert_eq!((other.status, other.outcome.as_str()), (400, "not-run"));
    assert_eq!(fleet.run_count("finding-1").await, 1);
}

#[rstest]
#[case::no_token("", "/v1/chat/completions", r#"{"model":"draft","messages":[]}"#, 401)]
#[case::bad_token("nobody", "/v1/chat/completions", r#"{"model":"draft","messages":[]}"#, 401)]
#[case::bad_json(TOKEN, "/v1/chat/completions", "{", 400)]
#[case::unknown_model(TOKEN, "/v1/chat/completions", r#"{"model":"none","messages":[]}"#, 404)]
#[case::unknown_path(TOKEN, "/v2/other", "", 404)]
#[case::unknown_service(TOKEN, "/s/none/x", "", 404)]
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_request_is_refused_and_did_not_run(
    #[case] token: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
) {
    let fleet = Fleet::start(1, 1).await;
    let request = Request::post(path)
        .header("authorization", format!("Bearer {token}"))
        .body(full(body.to_owned()))
        .unwrap();
    let got = fleet.send(0, request).await;
    assert_eq!((got.status, got.outcome.as_str()), (status, "not-run"), "{got:?}");
    assert!(got.body.unwrap().contains("\"outcome\":\"not-run\""));
}

/// Runs futures at once.
pub(crate) async fn join_all<F>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output>
where
    F: Future,
{
    let mut pinned: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut done: Vec<Option<F::Output>> = pinned.iter().map(|_| None).collect();
    std::future::poll_fn(|cx| {
        for (future, slot) in pinned.iter_mut().zip(&mut done) {
            if slot.is_none()
                && let std::task::Poll::Ready(output) = future.as_mut().poll(cx)
            {
                *slot = Some(output);
            }
        }
        if done.iter().all(Option::is_some) {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    done.into_iter().flatten().collect()
}
