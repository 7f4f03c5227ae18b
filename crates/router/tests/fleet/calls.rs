//! Calls without failures, and calls that are refused.

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

/// Time within which the owners of endpoints settle after the start.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_runs_on_one_engine_through_every_router() {
    let fleet = Fleet::start(4, 6).await;
    // While owners still change after the start, a chat may spill. Afterwards it stays on one engine.
    let start = Instant::now();
    loop {
        let mut ran = BTreeSet::new();
        for router in 0..4 {
            let result = fleet.chat(router, "walkthrough-7", "what is missing?", 12).await;
            assert_complete(&result, "what is missing?", 12);
            ran.insert(result.endpoint);
        }
        if ran.len() == 1 {
            return;
        }
        assert!(start.elapsed() < SETTLE_TIMEOUT, "{ran:?}");
    }
}

/// A router that was just started has no configuration and knows no token. It must refuse a valid token as unavailable,
/// which the caller retries, and not as unauthorized.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_a_configuration_does_not_reject_the_token() {
    let mut fleet = Fleet::start(1, 1).await;
    // Nothing listens at this address, so the router never receives a configuration.
    let unused_addr = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    fleet.routers.push(start_router(1, unused_addr));
    let result = fleet.chat(1, "early", "hello", 2).await;
    assert_eq!((result.status, result.outcome.as_str()), (503, "not-run"), "{result:?}");
    assert!(result.body.as_ref().is_ok_and(|it| it.contains("unavailable")), "{result:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_an_idempotency_key_runs_once() {
    let fleet = Fleet::start(3, 2).await;
    let sent = (0..12).map(|it| fleet.store_evidence(it % 3, "finding-1", "no fire door"));
    let mut completed = 0;
    for result in join_all(sent).await {
        match result.status {
            200 => completed += 1,
            409 => assert_eq!(result.outcome, "unknown", "{result:?}"),
            _ => panic!("{result:?}"),
        }
    }
    assert!(completed > 0);
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
async fn an_invalid_request_is_refused_and_did_not_run(
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
    let result = fleet.send(0, request).await;
    assert_eq!((result.status, result.outcome.as_str()), (status, "not-run"), "{result:?}");
    assert!(result.body.unwrap().contains("\"outcome\":\"not-run\""));
}

/// Runs futures concurrently and returns their outputs in order.
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
