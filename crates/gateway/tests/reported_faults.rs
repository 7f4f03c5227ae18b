//! Faults that operators of other systems reported (docs/PROOFS.md, "Six faults reported by other operators").

mod common;

use {
    common::{
        Behavior, Endpoint, Fixture, Response, SIGNED, TEAM_KEY, chunk, event, layout, read_request,
    },
    directory::ListedEndpoint,
    futures_util::future::join_all,
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep, timeout},
    },
};

const KIND: &str = "content-type: text/event-stream\r\n";

/// How an endpoint marks the end of its response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// Returns the response to the attempt `a1`, a stream of three events or a short body.
fn response(framing: Framing, is_stream: bool) -> Vec<u8> {
    let body: String =
        if is_stream { (0..3).map(event).collect() } else { "a whole response".to_owned() };
    let kind = if is_stream { KIND } else { "" };
    let framing_line = match framing {
        Framing::Length => format!("content-length: {}\r\n", body.len()),
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Connection => "connection: close\r\n".to_owned(),
    };
    let mut bytes = format!("HTTP/1.1 200 X\r\nattempt-id: a1\r\n{SIGNED}{kind}{framing_line}\r\n")
        .into_bytes();
    match framing {
        Framing::Chunks => {
            let (first, rest) = body.split_at(7);
            bytes.extend([chunk(first), chunk(rest), b"0\r\n\r\n".to_vec()].concat());
        }
        Framing::Length | Framing::Connection => bytes.extend(body.into_bytes()),
    }
    bytes
}

/// Starts an endpoint whose response is cut after as many bytes as the body of the request says.
async fn start_cutting(response: Vec<u8>, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind");
    let addr = listener.local_addr().expect("no local address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move {
                let Some(request) = read_request(&mut socket).await else { return };
                let cut = String::from_utf8_lossy(&request.body).parse().unwrap_or(0);
                let _ = socket.write_all(&response[..cut]).await;
                sleep(Duration::from_millis(20)).await;
                if is_reset {
                    let _ = socket.set_zero_linger();
                }
            });
        }
    });
    addr
}

/// Returns many entries for an endpoint, so that those that failed do not keep the others from being tried.
async fn copies(service: &str, addr: SocketAddr) -> Vec<ListedEndpoint> {
    let endpoint = Endpoint::start([]).await;
    let copy = |at| {
        let entry = endpoint.listing_entry(service, &format!("e{at}"));
        ListedEndpoint { addr, slots: 500, ..entry }
    };
    (0..20).map(copy).collect()
}

/// Guards against a response that broke off and reaches the caller as complete.
///
/// A response that ends with its connection can be told from a whole one only if the connection is
/// reset, or if a stream ends inside an event.
#[rstest]
#[case::length(Framing::Length, false)]
#[case::length_reset(Framing::Length, true)]
#[case::chunks(Framing::Chunks, false)]
#[case::chunks_reset(Framing::Chunks, true)]
#[case::connection_reset(Framing::Connection, true)]
#[tokio::test]
async fn response_that_is_cut_at_any_byte_is_not_complete(
    #[case] framing: Framing,
    #[case] is_reset: bool,
    #[values(false, true)] is_stream: bool,
) {
    let whole = response(framing, is_stream);
    let addr = start_cutting(whole.clone(), is_reset).await;
    let (path, service) = if is_stream { ("/stream/", "model") } else { ("/write/", "plain") };
    let listing = copies(service, addr).await;
    let fixture = Fixture::start(&layout(1), &listing).await;
    let calls = (0..whole.len()).map(|cut| {
        let client = fixture.client().body(&format!("{cut:04}"));
        async move { (cut, client.call(path).await) }
    });
    let mut reached = 0;
    for (cut, response) in join_all(calls).await {
        let is_success = response.status == 200 && response.complete;
        assert!(!is_success, "complete after {cut} of {} bytes: {response:?}", whole.len());
        reached += usize::from(matches!(response.status, 200 | 502));
    }
    assert!(reached > whole.len() / 2, "{reached} of {} were sent to the endpoint", whole.len());
}

/// Guards against a stream that broke off and looks complete to a caller of HTTP/1.0, for whom a
/// response without a length ends with its connection. Such a caller can see a reset only.
#[rstest]
#[case::broken(Behavior::Reset(0..3), true)]
#[case::whole(Behavior::Events(0..3), false)]
#[tokio::test]
async fn broken_stream_is_reset_for_a_caller_without_chunks(
    #[case] behavior: Behavior,
    #[case] is_reset: bool,
) {
    let endpoint = Endpoint::start([behavior]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("model", "e0")]).await;
    let mut socket = TcpStream::connect(fixture.addr).await.expect("failed to connect");
    let request = format!(
        "POST /stream/ HTTP/1.0\r\nhost: h\r\nattempt-id: a1\r\ndeadline-ms: 4000\r\n\
         team-key: {TEAM_KEY}\r\ncontent-length: 1\r\n\r\nx"
    );
    socket.write_all(request.as_bytes()).await.expect("failed to send");
    let mut bytes = Vec::new();
    let read = timeout(Duration::from_secs(6), socket.read_to_end(&mut bytes)).await;
    let read = read.expect("the response did not end");
    let text = String::from_utf8_lossy(&bytes).to_lowercase();
    assert!(!text.contains("content-length"), "{text}");
    assert_eq!(read.is_err(), is_reset, "{read:?} after {text}");
    if !is_reset {
        let events: String = (0..3).map(event).collect();
        assert!(text.ends_with(&events), "{text}");
    }
}

/// Guards against a late second copy of a response that reaches the next caller.
#[tokio::test]
async fn late_second_copy_of_a_response_reaches_no_other_caller() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind");
    let addr = listener.local_addr().expect("no local address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut last = Vec::new();
                // The copy comes when the next request on the connection has arrived, or soon.
                loop {
                    let request = timeout(Duration::from_millis(50), read_request(&mut socket));
                    let Ok(Some(request)) = request.await else { break };
                    let _ = socket.write_all(&last).await;
                    let body = String::from_utf8_lossy(&request.body).into_owned();
                    let head = format!("HTTP/1.1 200 X\r\nattempt-id: a1\r\n{SIGNED}");
                    last =
                        format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes();
                    let _ = socket.write_all(&last).await;
                }
                let _ = socket.write_all(&last).await;
            });
        }
    });
    let mut entry = Endpoint::start([]).await.listing_entry("plain", "e0");
    entry.addr = addr;
    let fixture = Fixture::start(&layout(1), &[entry]).await;
    for number in 0..40 {
        let body = format!("request-{number}");
        let response = fixture.client().body(&body).call("/write/").await;
        assert_eq!((response.status, response.body), (200, body));
        sleep(Duration::from_millis(number * 3 % 60)).await;
    }
}

/// Guards against slow sound streams that are cut, and stalled ones that are kept alive by a byte
/// now and then.
#[tokio::test]
async fn slow_stream_is_completed_beside_one_that_trickles_until_its_deadline() {
    let text = response(Framing::Chunks, true);
    let head_bytes = text.windows(4).position(|it| it == b"\r\n\r\n").expect("no head") + 4;
    let head = text[..head_bytes].to_vec();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind");
    let addr = listener.local_addr().expect("no local address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let head = head.clone();
            tokio::spawn(async move {
                let Some(request) = read_request(&mut socket).await else { return };
                let _ = socket.write_all(&head).await;
                let is_sound = request.body == b"sound";
                let (pause_ms, parts) = if is_sound {
                    (1_500, (0..3).map(|it| chunk(&event(it))).collect::<Vec<_>>())
                } else {
                    (300, [vec![chunk(&event(0)), chunk("data: ")], vec![chunk("y"); 60]].concat())
                };
                for part in parts {
                    if socket.write_all(&part).await.is_err() {
                        return;
                    }
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                let _ = socket.write_all(b"0\r\n\r\n").await;
            });
        }
    });
    let mut entry = Endpoint::start([]).await.listing_entry("model", "e0");
    entry.addr = addr;
    let mut layout = layout(1);
    layout.routes.iter_mut().for_each(|it| it.timeout_ms = 8_000);
    let fixture = Fixture::start(&layout, &[entry]).await;
    let client = fixture.client().deadline(6_000);
    let started = Instant::now();
    for path in ["/stream/", "/resume/"] {
        let (sound, trickle) = (client.clone().body("sound"), client.clone().body("trickle"));
        let (sound, trickle) = tokio::join!(sound.call(path), trickle.call(path));
        let events: String = (0..3).map(event).collect();
        assert_eq!((sound.complete, sound.body), (true, events), "{path}");
        assert_eq!((trickle.complete, trickle.body), (false, event(0)), "{path}");
        assert!(trickle.elapsed < Duration::from_millis(6_500), "{path}: {:?}", trickle.elapsed);
    }
    assert!(started.elapsed() < Duration::from_secs(14));
}

/// Guards against an earlier refusal that an endpoint writes once more while it runs another request.
#[rstest]
#[case::without_an_id("not-run: 1\r\n")]
#[case::of_another_request("not-run: 1\r\nattempt-id: a0\r\n")]
#[tokio::test]
async fn refusal_of_another_request_does_not_prove_that_this_one_did_not_run(
    #[case] lines: &'static str,
    #[values(400, 408, 421, 429, 503)] status: u16,
    #[values("/write/", "/stream/")] path: &str,
) {
    let refusal = Behavior::Refuse(status, lines);
    let endpoints = [Endpoint::start([refusal.clone()]).await, Endpoint::start([refusal]).await];
    let service = if path == "/write/" { "plain" } else { "model" };
    let listing = [("e0", &endpoints[0]), ("e1", &endpoints[1])];
    let listing = listing.map(|(id, it)| it.listing_entry(service, id));
    let fixture = Fixture::start(&layout(1), &listing).await;
    let response = fixture.client().body("x").call(path).await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(endpoints.iter().map(|it| it.received().len()).sum::<usize>(), 1);
}

/// Guards against the answer of the next endpoint in the midst of a stream that broke off.
#[rstest]
#[case::server_error(Behavior::Fail(500))]
#[case::client_error(Behavior::Fail(404))]
#[case::not_a_stream(Behavior::Respond)]
#[case::no_content(Behavior::Refuse(204, "attempt-id: a1\r\nendpoint-signature: s\r\n"))]
#[case::refusal(Behavior::NotRun(503))]
#[case::garbage(Behavior::Garbage)]
#[case::unsigned(Behavior::Unsigned)]
#[case::another_stream(Behavior::OtherRequest)]
#[case::event_without_an_id(Behavior::Text("event: error\ndata: overloaded\n\n"))]
#[case::event_without_an_id_first(Behavior::Text("data: overloaded\n\nid: 3\ndata: word-3\n\n"))]
#[case::head_as_text(Behavior::Text("HTTP/1.1 500 X\r\ncontent-length: 10\r\n\r\noverloaded"))]
#[case::head_and_event(Behavior::Text("HTTP/1.1 500 X\r\n\r\n"))]
#[tokio::test]
async fn answer_of_the_next_endpoint_is_not_joined_to_a_stream_that_broke_off(
    #[case] next: Behavior,
) {
    let response = resume(next).await;
    let events: String = (0..3).map(event).collect();
    assert_eq!((response.body, response.complete), (events, false));
}

/// Returns the response to a stream that breaks off after three events, while all other endpoints behave
/// like `next`.
async fn resume(next: Behavior) -> Response {
    let first = Endpoint::start([]).await;
    let others = [Endpoint::start([]).await, Endpoint::start([]).await];
    let listing = [("e0", &first), ("e1", &others[0]), ("e2", &others[1])];
    let listing = listing.map(|(id, it)| it.listing_entry("model", id));
    let fixture = Fixture::start(&layout(1), &listing).await;
    // The prompt determines the endpoint. Try prompts until one starts on the first endpoint.
    for chat in 0..50 {
        first.set_behaviors([Behavior::Reset(0..3)]);
        others.iter().for_each(|it| it.set_behaviors(vec![next.clone(); 2]));
        let before = first.received().len();
        let parts = format!("prompt-parts: {chat:x}:5000,ff{chat:x}:10");
        let response = fixture.client().header(&parts).body("x").call("/resume/").await;
        if first.received().len() > before && response.body.starts_with(&event(0)) {
            return response;
        }
    }
    panic!("no request started on the first endpoint");
}

/// A resumed stream may have what is no event, and nothing that is left to send.
#[rstest]
#[case::comment(": resumed\n\nid: 3\ndata: word-3\n\n", "id: 3\ndata: word-3\n\n")]
#[case::repeated("id: 2\ndata: word-2\n\nid: 3\ndata: word-3\n\n", "id: 3\ndata: word-3\n\n")]
#[case::later_comment("id: 3\ndata: word-3\n\n: end\n\n", "id: 3\ndata: word-3\n\n: end\n\n")]
#[case::only_a_comment(": end\n\n", "")]
#[tokio::test]
async fn resumed_stream_is_completed_beside_comments(
    #[case] next: &'static str,
    #[case] rest: &str,
) {
    let response = resume(Behavior::Text(next)).await;
    let events: String = (0..3).map(event).collect();
    assert_eq!((response.body, response.complete), (format!("{events}{rest}"), true));
}

/// Guards against a response that looks whole though the endpoint stopped in its head.
#[rstest]
#[tokio::test]
async fn response_whose_head_stops_halfway_is_not_forwarded(
    #[values(false, true)] is_stream: bool,
) {
    let whole = response(Framing::Connection, is_stream);
    let head_bytes = whole.windows(4).position(|it| it == b"\r\n\r\n").expect("no head") + 4;
    let addr = start_cutting(whole, false).await;
    let (path, service) = if is_stream { ("/stream/", "model") } else { ("/write/", "plain") };
    let listing = copies(service, addr).await;
    let fixture = Fixture::start(&layout(1), &listing).await;
    let calls = (0..head_bytes).map(|cut| {
        let client = fixture.client().body(&format!("{cut:04}"));
        async move { (cut, client.call(path).await) }
    });
    let mut reached = 0;
    for (cut, response) in join_all(calls).await {
        assert!(matches!(response.status, 502 | 503), "after {cut} bytes: {response:?}");
        reached += usize::from(response.status == 502);
    }
    assert!(reached > head_bytes / 2, "{reached} of {head_bytes} were sent to the endpoint");
}
