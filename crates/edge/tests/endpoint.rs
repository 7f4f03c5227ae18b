//! Exchanges with an endpoint whose connections fail in every way that the system must survive.

use {
    bytes::Bytes,
    edge::{
        EndpointClient, EndpointError, EndpointErrorKind, EndpointEvent, EndpointLimits,
        EndpointRequest,
    },
    http::{HeaderMap, Method},
    model::{AttemptNo, Outcome, RequestId, ServiceKind},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::{Instant, sleep, timeout},
    },
};

const BODY: &[u8] = b"the whole answer to this request";

/// How long a head may take.
const HEAD_MS: u64 = 200;

/// A limit that no test waits for.
const NEVER_MS: u64 = 20_000;

/// What the scripted endpoint does with one connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Step {
    /// Answers requests whole until the other end closes.
    Serve,
    /// Answers one request whole, then closes the connection.
    ServeOnce,
    /// Takes the request and sends this much of the body, then nothing, keeping the connection open.
    Silent(usize),
    /// Takes the request and says nothing at all.
    Mute,
    /// Answers requests whole, after longer than the limit on heads and less than twice that.
    Slow,
    /// Takes the request and sends this much of the body, then closes.
    Cut(usize),
    /// Takes the request and closes.
    Close,
    /// Refuses the request and says that it did not run.
    NotRun,
}

/// What the endpoint saw: the start line of a request and its resume offset.
type Seen = (String, usize);

/// Serves the steps, one a connection, then stops listening; reports each request.
async fn scripted(steps: Vec<Step>) -> (SocketAddr, mpsc::UnboundedReceiver<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (seen, report) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut held = Vec::new();
        for step in steps {
            let Ok((socket, _)) = listener.accept().await else { return };
            let seen = seen.clone();
            held.push(tokio::spawn(play(socket, step, seen)));
        }
        drop(listener);
        for it in held {
            let _ = it.await;
        }
    });
    (addr, report)
}

async fn play(mut socket: TcpStream, step: Step, seen: mpsc::UnboundedSender<Seen>) {
    loop {
        let Some((line, offset)) = read_request(&mut socket).await else { return };
        let _ = seen.send((line.clone(), offset));
        if line.starts_with("DELETE") {
            let _ = socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await;
            continue;
        }
        let rest = &BODY[offset.min(BODY.len())..];
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", rest.len());
        let part = match step {
            Step::Silent(part) | Step::Cut(part) => part,
            Step::Mute => return std::future::pending().await,
            Step::Close => return,
            Step::NotRun => {
                let head =
                    "HTTP/1.1 404 Not Found\r\nx-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
                let _ = socket.write_all(head.as_bytes()).await;
                continue;
            }
            Step::Slow => {
                sleep(Duration::from_millis(HEAD_MS * 3 / 2)).await;
                rest.len()
            }
            Step::Serve | Step::ServeOnce => rest.len(),
        };
        let _ = socket.write_all(head.as_bytes()).await;
        let _ = socket.write_all(&rest[..part]).await;
        match step {
            Step::Silent(_) => return std::future::pending().await,
            Step::Serve | Step::Slow => {}
            _ => return,
        }
    }
}

async fn read_request(socket: &mut TcpStream) -> Option<Seen> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(socket.read_u8().await.ok()?);
    }
    let text = String::from_utf8(text).ok()?.to_lowercase();
    let field = |name: &str| {
        let line = text.lines().find(|it| it.starts_with(name))?;
        line.split(':').nth(1)?.trim().parse::<usize>().ok()
    };
    let mut body = vec![0; field("content-length").unwrap_or(0)];
    socket.read_exact(&mut body).await.ok()?;
    let line = text.lines().next()?.to_uppercase();
    Some((line, field("x-resume-offset").unwrap_or(0)))
}

/// The next request that the endpoint sees.
async fn next(seen: &mut mpsc::UnboundedReceiver<Seen>) -> String {
    let line = timeout(Duration::from_secs(5), seen.recv()).await;
    line.expect("the endpoint sees nothing more").expect("the endpoint is gone").0
}

fn request(idempotent: bool) -> EndpointRequest {
    EndpointRequest {
        request: RequestId(7),
        attempt: AttemptNo(1),
        priority: 3,
        offset: 0,
        idempotent,
        deadline: Instant::now() + Duration::from_millis(NEVER_MS),
        method: Method::POST,
        path: "/v1/chat/completions".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"question"),
    }
}

fn limits() -> EndpointLimits {
    EndpointLimits { head_ms: HEAD_MS, progress_ms: 200, ..EndpointLimits::default() }
}

/// Runs one attempt; returns the body and how it ended.
async fn run(
    client: &EndpointClient,
    request: EndpointRequest,
) -> (Vec<u8>, Option<EndpointError>) {
    let mut stream = client.send(request);
    let (mut body, mut heads) = (Vec::new(), 0);
    loop {
        match stream.next().await {
            Ok(EndpointEvent::Head { status, .. }) => {
                heads += 1;
                assert_eq!((status, heads), (200, 1));
            }
            Ok(EndpointEvent::Chunk { offset, bytes }) => {
                assert_eq!(offset, body.len() as u64);
                body.extend_from_slice(&bytes);
            }
            Ok(EndpointEvent::End { length }) => {
                assert_eq!(length, body.len() as u64);
                return (body, None);
            }
            Err(err) => return (body, Some(err)),
        }
    }
}

#[rstest]
#[case::silent_in_the_body(Step::Silent(5))]
#[case::silent_before_the_head(Step::Mute)]
#[case::reset_in_the_body(Step::Cut(9))]
#[case::reset_before_the_head(Step::Close)]
#[tokio::test]
async fn a_failed_connection_is_replaced_and_the_answer_goes_on(#[case] step: Step) {
    // The second connection takes the cancellation and then the rest of the answer.
    let (addr, _seen) = scripted(vec![step, Step::Serve, Step::Serve]).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    let (body, err) = run(&client, request(true)).await;
    assert!(err.is_none(), "{err:?}");
    assert_eq!(body, BODY);
}

#[tokio::test]
async fn a_resumed_answer_is_asked_from_the_last_offset() {
    let (addr, mut seen) = scripted(vec![Step::Silent(5), Step::Serve, Step::Serve]).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    assert_eq!(run(&client, request(true)).await.0, BODY);
    assert_eq!(seen.recv().await.unwrap().1, 0);
    let (line, _) = seen.recv().await.unwrap();
    let cancelled = format!("DELETE /V1/REQUESTS/{}?ATTEMPT=1", RequestId(7));
    assert!(line.starts_with(&cancelled), "{line}");
    assert_eq!(seen.recv().await.unwrap().1, 5);
}

#[tokio::test]
async fn a_slow_endpoint_is_given_longer_on_each_new_connection() {
    let steps = vec![Step::Slow, Step::Serve, Step::Slow, Step::Serve, Step::Slow];
    let (addr, _seen) = scripted(steps).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    let (body, err) = run(&client, request(true)).await;
    assert!(err.is_none(), "{err:?}");
    assert_eq!(body, BODY);
}

#[tokio::test]
async fn a_connection_closed_while_idle_is_replaced_unnoticed() {
    let (addr, mut seen) = scripted(vec![Step::ServeOnce, Step::Serve]).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    assert_eq!(run(&client, request(true)).await.0, BODY);
    assert_eq!(run(&client, request(true)).await.0, BODY);
    // Neither a cancellation nor a second try of one request was seen.
    drop(client);
    let mut lines = Vec::new();
    while let Some((line, _)) = seen.recv().await {
        lines.push(line);
    }
    assert_eq!(lines.len(), 2, "{lines:?}");
}

#[rstest]
#[case::idempotent(true)]
#[case::non_idempotent(false)]
#[tokio::test]
async fn an_endpoint_that_takes_no_connection_leaves_the_request_not_run(#[case] idempotent: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    let err = run(&client, request(idempotent)).await.1.unwrap();
    assert_eq!(
        (err.kind, err.outcome, err.crashed()),
        (EndpointErrorKind::Unreachable, Outcome::NotRun, false)
    );
}

#[rstest]
#[case::at_first(vec![Step::NotRun, Step::Serve, Step::Serve], Outcome::NotRun)]
#[case::after_a_silent_connection(vec![Step::Mute, Step::Serve, Step::NotRun], Outcome::Unknown)]
#[tokio::test]
async fn an_endpoint_proves_that_its_refusal_did_not_run(
    #[case] steps: Vec<Step>,
    #[case] outcome: Outcome,
) {
    let (addr, mut seen) = scripted(steps).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    let err = run(&client, request(true)).await.1.unwrap();
    assert_eq!((err.kind, err.outcome), (EndpointErrorKind::Refused, outcome));
    assert!(next(&mut seen).await.starts_with("POST"));
    if outcome == Outcome::NotRun {
        // What did not run is not cancelled: all that the endpoint sees is other requests.
        for _ in 0..10 {
            assert_eq!(run(&client, request(true)).await.0, BODY);
            assert!(next(&mut seen).await.starts_with("POST"));
        }
    }
}

#[tokio::test]
async fn an_endpoint_that_dies_is_told_from_a_connection_that_fails() {
    // Only one connection is ever taken: the new one is refused.
    let (addr, _seen) = scripted(vec![Step::Cut(4)]).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    let (body, err) = run(&client, request(true)).await;
    let err = err.unwrap();
    assert_eq!(
        (err.kind, err.outcome, err.offset),
        (EndpointErrorKind::Crashed, Outcome::Unknown, 4)
    );
    assert_eq!(body, &BODY[..4]);
}

#[tokio::test]
async fn a_second_reset_under_one_request_counts_as_a_death() {
    // Connections: the attempt, the probe, the attempt again, the probe again.
    let steps = vec![Step::Close, Step::Serve, Step::Close, Step::Serve, Step::Serve];
    let (addr, _seen) = scripted(steps).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    let err = run(&client, request(true)).await.1.unwrap();
    assert_eq!((err.kind, err.outcome), (EndpointErrorKind::Crashed, Outcome::Unknown));
}

#[rstest]
#[case::silent(Step::Mute)]
#[case::closed(Step::Close)]
#[case::cut(Step::Cut(3))]
#[tokio::test]
async fn a_non_idempotent_request_is_sent_once(#[case] step: Step) {
    let (addr, mut seen) = scripted(vec![step, Step::Serve, Step::Serve]).await;
    let client = EndpointClient::new(addr, ServiceKind::Plain, limits());
    let err = run(&client, request(false)).await.1.unwrap();
    assert_eq!((err.kind, err.outcome), (EndpointErrorKind::Connection, Outcome::Unknown));
    assert!(seen.recv().await.unwrap().0.starts_with("POST"));
    assert!(seen.try_recv().is_err());
}

#[tokio::test]
async fn a_dropped_stream_is_cancelled_at_the_endpoint() {
    let (addr, mut seen) = scripted(vec![Step::Silent(5), Step::Serve]).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, EndpointLimits::default());
    let mut stream = client.send(request(true));
    assert!(matches!(stream.next().await, Ok(EndpointEvent::Head { .. })));
    assert!(next(&mut seen).await.starts_with("POST"));
    drop(stream);
    assert!(next(&mut seen).await.starts_with("DELETE"));
}

#[tokio::test]
async fn a_silent_connection_retires_those_made_before_it() {
    // The first connection serves and goes idle; the second goes silent; then a third is made although one is idle.
    let (addr, _seen) =
        scripted(vec![Step::Serve, Step::Silent(2), Step::Serve, Step::Serve]).await;
    let client = EndpointClient::new(addr, ServiceKind::Model, limits());
    let mut first = client.send(request(true));
    assert!(matches!(first.next().await, Ok(EndpointEvent::Head { .. })));
    let (body, err) = run(&client, request(true)).await;
    assert!(err.is_none(), "{err:?}");
    assert_eq!(body, BODY);
    let before = client.idle_connections();
    while !matches!(first.next().await, Ok(EndpointEvent::End { .. })) {}
    assert_eq!(client.idle_connections(), before, "a suspected connection went back to the pool");
}
