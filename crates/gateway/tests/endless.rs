//! Endpoints that send bytes without end.

mod common;

use {
    common::{Behavior, Endpoint, Fixture, Response, SIGNED, chunk, event, layout, wait_until},
    rstest::rstest,
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout},
};

/// How long a request may take to fail or to be served by another endpoint, in milliseconds. It is
/// well below the deadline of 4,000.
const FAILED_BY_MS: u128 = 2_000;

/// How long a request to a sound endpoint may take, in milliseconds.
const SERVED_BY_MS: u128 = 1_000;

/// The most that an endpoint may send before the gateway closes the connection, in bytes. It
/// includes the buffers of both sockets.
const MAX_PUSHED_BYTES: usize = 32 << 20;

/// Returns a response that starts with the given text and continues without end.
fn endless(start: &str, part: &str) -> Behavior {
    Behavior::Endless { start: start.into(), part: part.into(), pause: Duration::ZERO }
}

/// Returns a response with a valid head and these headers, whose body has no end.
fn endless_body(status: u16, headers: &str, start: &str, part: &str) -> Behavior {
    let head = format!("HTTP/1.1 {status} X\r\nattempt-id: {{id}}\r\n{SIGNED}{headers}\r\n");
    endless(&format!("{head}\r\n{start}"), part)
}

/// Returns an event stream that starts with this text, and repeats a chunk with the other one
/// without end.
fn endless_stream(start: &str, part: &str, pause: Duration) -> Behavior {
    let chunk = |text| String::from_utf8_lossy(&chunk(text)).into_owned();
    let start = if start.is_empty() { String::new() } else { chunk(start) };
    let head = format!("HTTP/1.1 200 X\r\nattempt-id: {{id}}\r\n{SIGNED}{EVENTS}\r\n\r\n{start}");
    Behavior::Endless { start: head.into(), part: chunk(part).into(), pause }
}

const CHUNKED: &str = "transfer-encoding: chunked";
const EVENTS: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked";

async fn start_plain(first: Behavior) -> (Fixture, [Endpoint; 2]) {
    let endpoints = [Endpoint::start(vec![first; 50]).await, Endpoint::start([]).await];
    let listing =
        [endpoints[0].listing_entry("plain", "e0"), endpoints[1].listing_entry("plain", "e1")];
    (Fixture::start(&layout(1), &listing).await, endpoints)
}

/// Sends requests until one of them has reached the first endpoint, and returns its response.
async fn call_first(fixture: &Fixture, first: &Endpoint, path: &str) -> Response {
    for _ in 0..50 {
        let response = fixture.client().body("x").call(path).await;
        if !first.received().is_empty() {
            return response;
        }
    }
    panic!("no request reached the first endpoint");
}

async fn assert_closed(endpoint: &Endpoint) {
    let closed = timeout(Duration::from_secs(1), wait_until(|| endpoint.active() == 0)).await;
    assert!(closed.is_ok(), "the connection is still open");
    assert!(endpoint.pushed() < MAX_PUSHED_BYTES, "{} bytes sent", endpoint.pushed());
}

#[rstest]
#[case::header_lines(endless("HTTP/1.1 200 X\r\n", "x: y\r\n"))]
#[case::header_value(endless("HTTP/1.1 200 X\r\nx: ", "y"))]
#[case::status_line(endless("HTTP/1.1 200 ", "y"))]
#[case::blank_lines(endless("", "\r\n"))]
#[case::zeros(endless("", "\0"))]
#[case::interim_responses(endless("", "HTTP/1.1 100 X\r\n\r\n"))]
#[case::early_hints(endless("", "HTTP/1.1 103 X\r\nlink: a\r\n\r\n"))]
#[case::body_without_length(endless_body(200, "x: y", "", "y"))]
#[case::body_of_failure(endless_body(500, "x: y", "", "y"))]
#[case::declared_length(endless_body(200, "content-length: 99999999999", "", "y"))]
#[case::chunks(endless_body(200, CHUNKED, "", "4\r\nyyyy\r\n"))]
#[case::chunk_size_digits(endless_body(200, CHUNKED, "", "0"))]
#[case::chunk_size_spaces(endless_body(200, CHUNKED, "1", " "))]
#[case::chunk_extension(endless_body(200, CHUNKED, "1;", "y"))]
#[case::trailers(endless_body(200, CHUNKED, "1\r\ny\r\n0\r\n", "x: y\r\n"))]
#[tokio::test]
async fn endless_response_does_not_hold_its_request(#[case] behavior: Behavior) {
    let (fixture, endpoints) = start_plain(behavior).await;
    let response = call_first(&fixture, &endpoints[0], "/write/").await;
    assert_eq!((response.status, response.complete), (502, true), "{response:?}");
    assert!(response.elapsed.as_millis() < FAILED_BY_MS, "{:?}", response.elapsed);
    assert_eq!(endpoints[0].received().len(), 1);
    assert_closed(&endpoints[0]).await;
}

#[rstest]
#[case::header_lines(endless("HTTP/1.1 200 X\r\n", "x: y\r\n"))]
#[case::interim_responses(endless("", "HTTP/1.1 100 X\r\n\r\n"))]
#[case::chunks(endless_body(200, CHUNKED, "", "4\r\nyyyy\r\n"))]
#[case::chunk_size_digits(endless_body(200, CHUNKED, "", "0"))]
#[case::body_of_failure(endless_body(500, "x: y", "", "y"))]
#[tokio::test]
async fn idempotent_request_with_an_endless_response_is_served_elsewhere(
    #[case] behavior: Behavior,
) {
    let (fixture, endpoints) = start_plain(behavior).await;
    let response = call_first(&fixture, &endpoints[0], "/read/").await;
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert!(response.elapsed.as_millis() < FAILED_BY_MS, "{:?}", response.elapsed);
    assert_closed(&endpoints[0]).await;
}

#[tokio::test]
async fn bytes_without_end_after_a_complete_response_are_not_read() {
    let (fixture, endpoints) =
        start_plain(endless_body(200, "content-length: 5", "whole", "HTTP/1.1 200 X\r\n")).await;
    let response = call_first(&fixture, &endpoints[0], "/write/").await;
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    assert_closed(&endpoints[0]).await;
}

/// Starts a stream on an endpoint with this behavior, and returns what its client receives. A sound
/// endpoint of the same service has the events 3 to 5.
async fn start_stream(first: Behavior, path: &str, deadline_ms: u64) -> (Response, Endpoint) {
    let first = Endpoint::start(vec![first; 50]).await;
    let second = Endpoint::start([]).await;
    let listing = [first.listing_entry("model", "e0"), second.listing_entry("model", "e1")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    for chat in 0..50 {
        second.set_behaviors([Behavior::Events(3..6)]);
        let parts = format!("prompt-parts: {chat:x}:5000,ff{chat:x}:10");
        let client = fixture.client().header(&parts).body("x").deadline(deadline_ms);
        let response = client.call(path).await;
        if !first.received().is_empty() {
            return (response, first);
        }
    }
    panic!("no request started on the first endpoint");
}

fn events(numbers: std::ops::Range<u64>) -> String {
    numbers.map(event).collect()
}

/// The size of a chunk that is larger than the gateway's read buffer, in bytes.
const LARGE_CHUNK_BYTES: usize = 256 << 10;

const NO_PAUSE: Duration = Duration::ZERO;
const SHORT_PAUSE: Duration = Duration::from_millis(20);

#[rstest]
#[case::comments(":\n\n", SHORT_PAUSE)]
#[case::blank_lines("\n\n", SHORT_PAUSE)]
#[case::unknown_fields("y:\n\n", SHORT_PAUSE)]
#[case::repeated_event("id: 2\ndata: word-2\n\n", SHORT_PAUSE)]
#[case::comments_at_once(":\n\n", NO_PAUSE)]
#[case::unfinished_event("data: ", NO_PAUSE)]
#[case::unfinished_slow_event("data: ", SHORT_PAUSE)]
#[case::repeated_event_at_once("id: 2\ndata: word-2\n\n", NO_PAUSE)]
#[tokio::test]
async fn resumable_stream_without_progress_continues_on_another_endpoint(
    #[case] part: &str,
    #[case] pause: Duration,
) {
    let behavior = endless_stream(&events(0..3), part, pause);
    let (response, endpoint) = start_stream(behavior, "/resume/", 4_000).await;
    assert_eq!((response.body, response.complete), (events(0..6), true));
    assert!(response.elapsed.as_millis() < FAILED_BY_MS, "{:?}", response.elapsed);
    assert_closed(&endpoint).await;
}

#[rstest]
#[case::comments(endless_stream("", ":\n\n", SHORT_PAUSE))]
#[case::endless_events(Behavior::EndlessEvents)]
#[case::unnumbered_events(endless_stream("", "data: y\n\n", NO_PAUSE))]
#[tokio::test]
async fn endless_stream_ends_at_its_deadline(#[case] behavior: Behavior) {
    let (response, endpoint) = start_stream(behavior, "/stream/", 1_000).await;
    assert!(!response.complete || response.status != 200, "{}", response.status);
    assert!(response.elapsed.as_millis() < 1_500, "{:?}", response.elapsed);
    let closed = timeout(Duration::from_secs(1), wait_until(|| endpoint.active() == 0)).await;
    assert!(closed.is_ok(), "the connection is still open");
}

#[rstest]
#[case::blank_lines("\n\n")]
#[case::blank_lines_in_large_chunks(&"\n".repeat(LARGE_CHUNK_BYTES))]
#[case::comments_in_large_chunks(&":\n\n".repeat(LARGE_CHUNK_BYTES / 3))]
#[case::repeated_event("id: 2\ndata: word-2\n\n")]
#[case::unfinished_event("data: ")]
#[tokio::test]
async fn endless_stream_does_not_delay_other_requests(#[case] part: &str) {
    let flood = Endpoint::start(vec![endless_stream(&events(0..3), part, NO_PAUSE); 50]).await;
    let sound = Endpoint::start([]).await;
    let listing = [flood.listing_entry("model", "e0"), sound.listing_entry("plain", "e1")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    let _streams = [
        fixture.client().body("x").send("/stream/").await,
        fixture.client().body("x").send("/resume/").await,
    ];
    wait_until(|| !flood.received().is_empty()).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        let response = fixture.client().body("x").call("/write/").await;
        assert_eq!(response.status, 200);
        assert!(response.elapsed.as_millis() < SERVED_BY_MS, "{:?}", response.elapsed);
        sleep(Duration::from_millis(20)).await;
    }
}
