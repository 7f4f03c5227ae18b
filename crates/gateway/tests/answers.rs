//! What callers and endpoints see: sound answers, and every way in which an endpoint can fail to give one.

mod common;

use {
    common::{Answer, Bench, Endpoint, Got, Script, event, layout, until},
    rstest::rstest,
    std::time::Duration,
    tokio::time::sleep,
};

/// A gateway before endpoints that follow these scripts, all of the service `plain`.
async fn plain<const N: usize>(scripts: [Vec<Script>; N]) -> (Bench, Vec<Endpoint>) {
    of_service("plain", scripts).await
}

async fn of_service<const N: usize>(
    service: &str,
    scripts: [Vec<Script>; N],
) -> (Bench, Vec<Endpoint>) {
    let mut endpoints = Vec::new();
    for script in scripts {
        endpoints.push(Endpoint::start(script).await);
    }
    let numbered = endpoints.iter().enumerate();
    let listed: Vec<_> = numbered.map(|(at, it)| it.listed(service, &format!("e{at}"))).collect();
    (Bench::start(&layout(1), &listed).await, endpoints)
}

fn requests(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|it| it.got().len()).sum()
}

#[tokio::test]
async fn a_request_reaches_its_endpoint_unchanged_but_for_the_systems_headers() {
    let (bench, endpoints) = plain([vec![]]).await;
    let answer = bench
        .caller()
        .header("x-own: kept")
        .header("team: forged")
        .header("connection: x-dropped")
        .header("x-dropped: 1")
        .body("the body")
        .call("/write/a?b=c")
        .await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    assert_eq!(answer.header("endpoint-signature"), Some("s"));
    let got = endpoints[0].got().remove(0);
    assert!(got.head.starts_with("POST /write/a?b=c HTTP/1.1"), "{}", got.head);
    assert_eq!(got.body, b"the body");
    assert_eq!(got.header("x-own"), Some("kept"));
    assert_eq!(got.header("attempt-id"), Some("a1"));
    assert_eq!(got.header("team"), Some("one"));
    assert_eq!(got.header("endpoint-id"), Some("e0"));
    assert_eq!((got.header("team-key"), got.header("x-dropped")), (None, None));
    let left: u64 = got.header("deadline-ms").and_then(|it| it.parse().ok()).expect("a deadline");
    assert!((3_000..=4_000).contains(&left), "{left}");
}

#[rstest]
#[case::no_route("/none/", Some(common::KEY), 404)]
#[case::no_key("/read/", None, 401)]
#[case::unknown_key("/read/", Some("other"), 401)]
#[tokio::test]
async fn what_the_configuration_does_not_allow_is_refused(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] status: u16,
) {
    let (bench, endpoints) = plain([vec![]]).await;
    let answer = bench.caller().key(key).call(path).await;
    assert_eq!(answer.status, status);
    assert_eq!(requests(&endpoints), 0);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let (bench, endpoints) = plain([vec![]]).await;
    let answer = bench.caller().body(&"x".repeat(10_001)).call("/write/").await;
    assert_eq!((answer.status, requests(&endpoints)), (413, 0));
}

#[tokio::test]
async fn without_a_configuration_a_request_may_come_back() {
    let bench = Bench::start_empty(&[]).await;
    let answer = bench.caller().call("/read/").await;
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").and_then(|it| it.parse().ok()).expect("a time");
    assert!((0.3..=2.0).contains(&seconds), "{seconds}");
}

/// An idempotent request is answered by another endpoint, whatever the first one does.
#[rstest]
#[case::fails(Script::Fail(500))]
#[case::closes(Script::Close)]
#[case::silent(Script::Silent)]
#[case::cut_short(Script::Truncated)]
#[case::garbage(Script::Garbage)]
#[case::foreign(Script::Foreign)]
#[case::unsigned(Script::Unsigned)]
#[case::encoded(Script::Encoded)]
#[case::full(Script::NotRun(503))]
#[case::another_endpoint(Script::NotRun(421))]
#[tokio::test]
async fn an_idempotent_request_goes_to_another_endpoint(#[case] script: Script) {
    let (bench, endpoints) = plain([vec![script.clone()], vec![script]]).await;
    // Each endpoint misbehaves once.
    let answers = [bench.caller().call("/read/").await, bench.caller().call("/read/").await];
    let whole = answers.iter().filter(|it| it.status == 200 && it.body == "whole").count();
    assert!(whole >= 1, "{answers:?}");
    assert!(requests(&endpoints) >= 3);
}

/// A non-idempotent request that may have run is not sent again, and its answer does not say that it has not run.
#[rstest]
#[case::closes(Script::Close)]
#[case::cut_short(Script::Truncated)]
#[case::garbage(Script::Garbage)]
#[case::foreign(Script::Foreign)]
#[case::unsigned(Script::Unsigned)]
#[case::encoded(Script::Encoded)]
#[case::unproved_refusal(Script::Fail(503))]
#[tokio::test]
async fn a_non_idempotent_request_runs_once(#[case] script: Script) {
    let (bench, endpoints) = plain([vec![script.clone()], vec![script]]).await;
    let answer = bench.caller().body("x").call("/write/").await;
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.header("endpoint-signature"), None);
    assert_eq!(requests(&endpoints), 1);
}

#[tokio::test]
async fn a_non_idempotent_request_that_did_not_run_goes_to_another_endpoint() {
    let (bench, endpoints) = plain([vec![Script::NotRun(503)], vec![Script::NotRun(421)]]).await;
    let answer = bench.caller().body("x").call("/write/").await;
    let again = bench.caller().body("x").call("/write/").await;
    assert!(answer.status == 200 || again.status == 200, "{answer:?} {again:?}");
    assert!(requests(&endpoints) >= 3);
}

#[tokio::test]
async fn an_endpoints_own_failure_is_passed_on_with_its_signature() {
    let (bench, _endpoints) = plain([vec![Script::Fail(500)]]).await;
    let answer = bench.caller().body("x").call("/write/").await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "whole"));
    assert_eq!(answer.header("endpoint-signature"), Some("s"));
}

#[rstest]
#[case::extra(Script::Extra)]
#[case::unframed(Script::Unframed)]
#[tokio::test]
async fn odd_framing_reaches_no_other_request(#[case] script: Script) {
    let (bench, _endpoints) = plain([vec![script.clone(), script]]).await;
    for _ in 0..4 {
        let answer = bench.caller().call("/read/").await;
        assert_eq!((answer.status, answer.body.as_str(), answer.whole), (200, "whole", true));
    }
}

#[tokio::test]
async fn an_early_refusal_proves_that_the_request_did_not_run() {
    let (bench, _endpoints) = plain([vec![Script::Early], vec![Script::Early]]).await;
    let mut statuses = Vec::new();
    for _ in 0..2 {
        statuses.push(bench.caller().body(&"x".repeat(9_000)).call("/write/").await.status);
    }
    assert!(statuses.contains(&200), "{statuses:?}");
}

#[tokio::test]
async fn a_request_without_an_answer_ends_at_its_deadline() {
    let (bench, endpoints) = plain([vec![Script::Silent]]).await;
    let answer = bench.caller().body("x").deadline(600).call("/write/").await;
    assert_eq!(answer.status, 504);
    assert!((500..1_100).contains(&answer.after.as_millis()), "{:?}", answer.after);
    until(|| endpoints[0].working() == 0).await;
}

#[tokio::test]
async fn an_unreachable_endpoint_costs_no_request() {
    let (bench, endpoints) = plain([vec![], vec![]]).await;
    let mut listed = vec![endpoints[0].listed("plain", "e0"), endpoints[1].listed("plain", "gone")];
    // Nothing listens there.
    listed[1].addr = ([127, 0, 0, 1], 1).into();
    bench.list(&listed);
    sleep(Duration::from_millis(200)).await;
    for _ in 0..4 {
        assert_eq!(bench.caller().body("x").call("/write/").await.status, 200);
    }
}

#[tokio::test]
async fn an_endpoint_stops_when_the_caller_leaves() {
    let (bench, endpoints) = plain([vec![Script::Silent]]).await;
    let socket = bench.caller().body("x").send("/write/").await;
    until(|| endpoints[0].working() == 1).await;
    drop(socket);
    until(|| endpoints[0].working() == 0).await;
}

#[tokio::test]
async fn a_stream_is_passed_on_event_by_event() {
    let (bench, _endpoints) = of_service("model", [vec![Script::Events(0..5)]]).await;
    let answer = bench.caller().body("x").call("/stream/").await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, events(0..5));
}

/// Returns what a caller gets whose stream begins at an endpoint with the script `first` and goes on at another one with
/// the script `rest`, and what that one was asked for.
async fn resumed(first: Script, rest: Script) -> (Answer, Vec<Got>) {
    let breaks = Endpoint::start([first]).await;
    let goes_on = Endpoint::start([]).await;
    let listed = [breaks.listed("model", "e0"), goes_on.listed("model", "e1")];
    let bench = Bench::start(&layout(1), &listed).await;
    // Which endpoint is first depends on the prompt; one of these begins at the one that breaks.
    for chat in 0..50 {
        let before = goes_on.got().len();
        goes_on.follow([rest.clone()]);
        let parts = format!("prompt-parts: {chat:x}:5000,ff{chat:x}:10");
        let answer = bench.caller().header(&parts).body("x").call("/resume/").await;
        if !breaks.got().is_empty() {
            return (answer, goes_on.got().split_off(before));
        }
    }
    panic!("no request began at the endpoint that breaks");
}

fn events(numbers: std::ops::Range<u64>) -> String {
    numbers.map(event).collect()
}

#[rstest]
#[case::broken(Script::Broken(0..3))]
#[case::stalled(Script::Stalled(0..3))]
#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_endpoint(#[case] first: Script) {
    let (answer, got) = resumed(first, Script::Events(3..6)).await;
    assert_eq!(got.len(), 1);
    assert_eq!(got[0].header("last-event-id"), Some("2"));
    assert_eq!((answer.body, answer.whole), (events(0..6), true));
}

#[tokio::test]
async fn events_that_the_caller_has_are_not_repeated() {
    let (answer, _) = resumed(Script::Broken(0..3), Script::Events(1..6)).await;
    assert_eq!((answer.body, answer.whole), (events(0..6), true));
}

#[tokio::test]
async fn a_resumed_stream_with_a_gap_is_cut_off() {
    let (answer, _) = resumed(Script::Broken(0..3), Script::Events(4..6)).await;
    assert_eq!((answer.body, answer.whole), (events(0..3), false));
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_starts_over() {
    let (answer, got) = resumed(Script::Broken(0..0), Script::Events(0..2)).await;
    assert_eq!(got[0].header("last-event-id"), None);
    assert_eq!((answer.body, answer.whole), (events(0..2), true));
}

#[rstest]
#[case::broken(Script::Broken(0..3))]
#[case::torn(Script::Torn(0..3))]
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_does_not_look_complete(#[case] script: Script) {
    let (bench, endpoints) = of_service("model", [vec![script.clone()], vec![script]]).await;
    let answer = bench.caller().body("x").call("/stream/").await;
    assert_eq!((answer.status, answer.whole), (200, false));
    assert_eq!(answer.body, events(0..3));
    assert_eq!(requests(&endpoints), 1);
}
