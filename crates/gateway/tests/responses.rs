//! Responses to clients for each way in which an endpoint can succeed or fail.

mod common;

use {
    common::{Behavior, Endpoint, Fixture, ReceivedRequest, Response, event, layout, wait_until},
    rstest::rstest,
    std::time::Duration,
    tokio::time::sleep,
};

/// Starts a gateway with one endpoint of the service `plain` per list of behaviors.
async fn start_plain<const N: usize>(behaviors: [Vec<Behavior>; N]) -> (Fixture, Vec<Endpoint>) {
    start_service("plain", behaviors).await
}

async fn start_service<const N: usize>(
    service: &str,
    behaviors: [Vec<Behavior>; N],
) -> (Fixture, Vec<Endpoint>) {
    let mut endpoints = Vec::new();
    for behavior in behaviors {
        endpoints.push(Endpoint::start(behavior).await);
    }
    let numbered = endpoints.iter().enumerate();
    let listing: Vec<_> =
        numbered.map(|(at, it)| it.listing_entry(service, &format!("e{at}"))).collect();
    (Fixture::start(&layout(1), &listing).await, endpoints)
}

fn request_count(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|it| it.received().len()).sum()
}

#[tokio::test]
async fn only_system_headers_of_a_forwarded_request_change() {
    let (fixture, endpoints) = start_plain([vec![]]).await;
    let response = fixture
        .client()
        .header("x-own: kept")
        .header("team: forged")
        .header("connection: x-dropped")
        .header("x-dropped: 1")
        .body("the body")
        .call("/write/a?b=c")
        .await;
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert_eq!(response.header("endpoint-signature"), Some("s"));
    let received = endpoints[0].received().remove(0);
    assert!(received.head.starts_with("POST /write/a?b=c HTTP/1.1"), "{}", received.head);
    assert_eq!(received.body, b"the body");
    assert_eq!(received.header("x-own"), Some("kept"));
    assert_eq!(received.header("attempt-id"), Some("a1"));
    assert_eq!(received.header("team"), Some("one"));
    assert_eq!(received.header("endpoint-id"), Some("e0"));
    assert_eq!((received.header("team-key"), received.header("x-dropped")), (None, None));
    let left: u64 =
        received.header("deadline-ms").and_then(|it| it.parse().ok()).expect("no deadline header");
    assert!((3_000..=4_000).contains(&left), "{left}");
}

#[rstest]
#[case::no_route("/none/", Some(common::TEAM_KEY), 404)]
#[case::no_key("/read/", None, 401)]
#[case::unknown_key("/read/", Some("other"), 401)]
#[tokio::test]
async fn unrouted_or_unauthenticated_request_is_rejected(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] status: u16,
) {
    let (fixture, endpoints) = start_plain([vec![]]).await;
    let response = fixture.client().key(key).call(path).await;
    assert_eq!(response.status, status);
    assert_eq!(request_count(&endpoints), 0);
}

#[tokio::test]
async fn body_over_the_limit_is_rejected() {
    let (fixture, endpoints) = start_plain([vec![]]).await;
    let response = fixture.client().body(&"x".repeat(10_001)).call("/write/").await;
    assert_eq!((response.status, request_count(&endpoints)), (413, 0));
}

#[tokio::test]
async fn request_without_a_configuration_gets_retry_after() {
    let fixture = Fixture::start_unconfigured(&[]).await;
    let response = fixture.client().call("/read/").await;
    assert_eq!(response.status, 503);
    let seconds: f64 = response
        .header("retry-after")
        .and_then(|it| it.parse().ok())
        .expect("no Retry-After header");
    assert!((0.3..=2.0).contains(&seconds), "{seconds}");
}

/// An idempotent request is retried on another endpoint after any kind of failure.
#[rstest]
#[case::fails(Behavior::Fail(500))]
#[case::closes(Behavior::Close)]
#[case::no_response(Behavior::NoResponse)]
#[case::cut_short(Behavior::Truncated)]
#[case::garbage(Behavior::Garbage)]
#[case::other_request(Behavior::OtherRequest)]
#[case::unsigned(Behavior::Unsigned)]
#[case::encoded(Behavior::Encoded)]
#[case::full(Behavior::NotRun(503))]
#[case::another_endpoint(Behavior::NotRun(421))]
#[tokio::test]
async fn idempotent_request_is_retried_on_another_endpoint(#[case] behavior: Behavior) {
    let (fixture, endpoints) = start_plain([vec![behavior.clone()], vec![behavior]]).await;
    // Each endpoint misbehaves once.
    let responses = [fixture.client().call("/read/").await, fixture.client().call("/read/").await];
    let complete = responses.iter().filter(|it| it.status == 200 && it.body == "whole").count();
    assert!(complete >= 1, "{responses:?}");
    assert!(request_count(&endpoints) >= 3);
}

#[rstest]
#[case::idempotent("/read/")]
#[case::non_idempotent("/write/")]
#[case::resumable("/resume/")]
#[tokio::test]
async fn request_that_reaches_its_deadline_before_it_is_sent_is_answered_as_not_run(
    #[case] path: &str,
) {
    let service = if path == "/resume/" { "model" } else { "plain" };
    let (fixture, endpoints) = start_service(service, [vec![], vec![]]).await;
    let response = fixture.client().body("x").deadline(0).call(path).await;
    assert_eq!((response.status, request_count(&endpoints)), (503, 0));
}

/// A non-idempotent request that may have run is not retried, and its response does not claim that
/// it did not run.
#[rstest]
#[case::closes(Behavior::Close)]
#[case::cut_short(Behavior::Truncated)]
#[case::garbage(Behavior::Garbage)]
#[case::other_request(Behavior::OtherRequest)]
#[case::unsigned(Behavior::Unsigned)]
#[case::encoded(Behavior::Encoded)]
#[case::unproven_rejection(Behavior::Fail(503))]
#[case::unproven_rate_limit(Behavior::Fail(429))]
#[case::unproven_timeout(Behavior::Fail(408))]
#[tokio::test]
async fn non_idempotent_request_is_not_retried(#[case] behavior: Behavior) {
    let (fixture, endpoints) = start_plain([vec![behavior.clone()], vec![behavior]]).await;
    let response = fixture.client().body("x").call("/write/").await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(response.header("endpoint-signature"), None);
    assert_eq!(request_count(&endpoints), 1);
}

#[tokio::test]
async fn non_idempotent_request_that_did_not_run_is_retried_on_another_endpoint() {
    let (fixture, endpoints) =
        start_plain([vec![Behavior::NotRun(503)], vec![Behavior::NotRun(421)]]).await;
    let response = fixture.client().body("x").call("/write/").await;
    let again = fixture.client().body("x").call("/write/").await;
    assert!(response.status == 200 || again.status == 200, "{response:?} {again:?}");
    assert!(request_count(&endpoints) >= 3);
}

#[tokio::test]
async fn server_error_of_an_endpoint_is_forwarded_with_its_signature() {
    let (fixture, _endpoints) = start_plain([vec![Behavior::Fail(500)]]).await;
    let response = fixture.client().body("x").call("/write/").await;
    assert_eq!((response.status, response.body.as_str()), (500, "whole"));
    assert_eq!(response.header("endpoint-signature"), Some("s"));
}

#[rstest]
#[case::extra_response(Behavior::ExtraResponse)]
#[case::unframed(Behavior::Unframed)]
#[tokio::test]
async fn invalid_framing_does_not_affect_other_requests(#[case] behavior: Behavior) {
    let (fixture, _endpoints) = start_plain([vec![behavior.clone(), behavior]]).await;
    for _ in 0..4 {
        let response = fixture.client().call("/read/").await;
        assert_eq!(
            (response.status, response.body.as_str(), response.complete),
            (200, "whole", true)
        );
    }
}

#[tokio::test]
async fn early_rejection_counts_as_not_run() {
    let (fixture, _endpoints) = start_plain([vec![Behavior::Reject], vec![Behavior::Reject]]).await;
    let mut statuses = Vec::new();
    for _ in 0..2 {
        statuses.push(fixture.client().body(&"x".repeat(9_000)).call("/write/").await.status);
    }
    assert!(statuses.contains(&200), "{statuses:?}");
}

#[tokio::test]
async fn request_without_a_response_ends_at_its_deadline() {
    let (fixture, endpoints) = start_plain([vec![Behavior::NoResponse]]).await;
    let response = fixture.client().body("x").deadline(600).call("/write/").await;
    assert_eq!(response.status, 504);
    assert!((500..1_100).contains(&response.elapsed.as_millis()), "{:?}", response.elapsed);
    wait_until(|| endpoints[0].active() == 0).await;
}

#[tokio::test]
async fn unreachable_endpoint_fails_no_request() {
    let (fixture, endpoints) = start_plain([vec![], vec![]]).await;
    let mut listing = vec![
        endpoints[0].listing_entry("plain", "e0"),
        endpoints[1].listing_entry("plain", "gone"),
    ];
    // Nothing listens on this port.
    listing[1].addr = ([127, 0, 0, 1], 1).into();
    fixture.set_endpoints(&listing);
    sleep(Duration::from_millis(200)).await;
    for _ in 0..4 {
        assert_eq!(fixture.client().body("x").call("/write/").await.status, 200);
    }
}

#[tokio::test]
async fn endpoint_connection_closes_when_the_client_disconnects() {
    let (fixture, endpoints) = start_plain([vec![Behavior::NoResponse]]).await;
    let socket = fixture.client().body("x").send("/write/").await;
    wait_until(|| endpoints[0].active() == 1).await;
    drop(socket);
    wait_until(|| endpoints[0].active() == 0).await;
}

#[tokio::test]
async fn stream_is_forwarded_event_by_event() {
    let (fixture, _endpoints) = start_service("model", [vec![Behavior::Events(0..5)]]).await;
    let response = fixture.client().body("x").call("/stream/").await;
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.body, events(0..5));
}

/// Starts a stream on an endpoint that behaves like `first` and resumes it on one that behaves like
/// `rest`. Returns the client's response and the requests that the second endpoint received.
async fn resume_stream(first: Behavior, rest: Behavior) -> (Response, Vec<ReceivedRequest>) {
    let first_endpoint = Endpoint::start([first]).await;
    let second_endpoint = Endpoint::start([]).await;
    let listing =
        [first_endpoint.listing_entry("model", "e0"), second_endpoint.listing_entry("model", "e1")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    // The prompt determines the endpoint. Try prompts until one starts on the first endpoint.
    for chat in 0..50 {
        let before = second_endpoint.received().len();
        second_endpoint.set_behaviors([rest.clone()]);
        let parts = format!("prompt-parts: {chat:x}:5000,ff{chat:x}:10");
        let response = fixture.client().header(&parts).body("x").call("/resume/").await;
        if !first_endpoint.received().is_empty() {
            return (response, second_endpoint.received().split_off(before));
        }
    }
    panic!("no request started on the first endpoint");
}

fn events(numbers: std::ops::Range<u64>) -> String {
    numbers.map(event).collect()
}

#[rstest]
#[case::reset(Behavior::Reset(0..3))]
#[case::stalled(Behavior::Stalled(0..3))]
#[tokio::test]
async fn resumable_stream_continues_on_another_endpoint(#[case] first: Behavior) {
    let (response, received) = resume_stream(first, Behavior::Events(3..6)).await;
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].header("last-event-id"), Some("2"));
    assert_eq!((response.body, response.complete), (events(0..6), true));
}

#[tokio::test]
async fn resumed_stream_skips_events_already_forwarded() {
    let (response, _) = resume_stream(Behavior::Reset(0..3), Behavior::Events(1..6)).await;
    assert_eq!((response.body, response.complete), (events(0..6), true));
}

#[tokio::test]
async fn resumed_stream_with_missing_events_is_aborted() {
    let (response, _) = resume_stream(Behavior::Reset(0..3), Behavior::Events(4..6)).await;
    assert_eq!((response.body, response.complete), (events(0..3), false));
}

#[tokio::test]
async fn stream_that_breaks_before_its_first_event_restarts() {
    let (response, received) = resume_stream(Behavior::Reset(0..0), Behavior::Events(0..2)).await;
    assert_eq!(received[0].header("last-event-id"), None);
    assert_eq!((response.body, response.complete), (events(0..2), true));
}

#[rstest]
#[case::reset(Behavior::Reset(0..3))]
#[case::partial_event(Behavior::PartialEvent(0..3))]
#[tokio::test]
async fn broken_non_resumable_stream_is_not_terminated_cleanly(#[case] behavior: Behavior) {
    let (fixture, endpoints) =
        start_service("model", [vec![behavior.clone()], vec![behavior]]).await;
    let response = fixture.client().body("x").call("/stream/").await;
    assert_eq!((response.status, response.complete), (200, false));
    assert_eq!(response.body, events(0..3));
    assert_eq!(request_count(&endpoints), 1);
}

/// A stream without a length or chunks ends with its connection.
#[rstest]
#[case::whole(Behavior::UnframedEvents(0..6), 0)]
#[case::ends_inside_an_event(Behavior::UnframedPartialEvent(0..3), 1)]
#[case::ends_before_its_first_event(Behavior::UnframedEvents(0..0), 1)]
#[tokio::test]
async fn stream_that_ends_with_its_connection_is_completed(
    #[case] first: Behavior,
    #[case] resumptions: usize,
) {
    let (response, received) = resume_stream(first, Behavior::Events(0..6)).await;
    let expected: String = (0..6).map(event).collect();
    assert_eq!((response.status, response.body.as_str()), (200, expected.as_str()));
    assert!(response.complete);
    assert_eq!(received.len(), resumptions);
}
