//! The server responds to requests, and completes them before it shuts down.

use {
    edge::{Body, Client, Server, ServerLimits, empty, full, paced},
    http::{Request, Response},
    hyper::body::Incoming,
    std::{
        convert::Infallible,
        io::{Read, Write},
        net::TcpStream,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
    tower::service_fn,
};

async fn hello(_: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    Ok(Response::new(full("hello")))
}

#[tokio::test]
async fn a_request_is_served() {
    let loopback = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(loopback, ServerLimits::default(), service_fn(hello)).await.unwrap();
    let (status, body) =
        Client::new(5_000).call(server.addr(), "GET", "/", None, empty()).await.unwrap();
    assert_eq!((status, body.as_ref()), (200, b"hello".as_ref()));
    server.shutdown().await;
}

#[tokio::test]
async fn shutdown_waits_for_a_request_in_progress() {
    let (entered, release) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (handler_entered, handler_release) = (entered.clone(), release.clone());
    let slow = service_fn(move |_: Request<Incoming>| {
        let (entered, release) = (handler_entered.clone(), handler_release.clone());
        async move {
            entered.notify_one();
            release.notified().await;
            Ok::<_, Infallible>(Response::new(full("late")))
        }
    });
    let server =
        Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default(), slow).await.unwrap();
    let addr = server.addr();
    let call =
        tokio::spawn(async move { Client::new(5_000).call(addr, "GET", "/", None, empty()).await });
    entered.notified().await;
    let shutdown = tokio::spawn(server.shutdown());
    release.notify_one();
    assert_eq!(call.await.unwrap().unwrap().1.as_ref(), b"late");
    shutdown.await.unwrap();
}

/// Reads until an answer with the body `hello` is complete, or the connection ends.
fn read_answer(mut socket: TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1_024];
    while !bytes.ends_with(b"hello") {
        match socket.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
    String::from_utf8(bytes).unwrap()
}

#[tokio::test]
async fn requests_that_have_arrived_at_a_shutdown_are_answered() {
    let loopback = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(loopback, ServerLimits::default(), service_fn(hello)).await.unwrap();
    let addr = server.addr();
    let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut idle = TcpStream::connect(addr).unwrap();
    idle.write_all(request).unwrap();
    let reader = idle.try_clone().unwrap();
    let first = tokio::task::spawn_blocking(move || read_answer(reader)).await.unwrap();
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    // No other task runs until the shutdown is requested.
    idle.write_all(request).unwrap();
    let mut queued = TcpStream::connect(addr).unwrap();
    queued.write_all(request).unwrap();
    let shutdown = tokio::spawn(server.shutdown());
    for socket in [idle, queued] {
        let answer = tokio::task::spawn_blocking(move || read_answer(socket)).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "no answer: {answer:?}");
    }
    shutdown.await.unwrap();
}

/// A large response at full speed delays everything else on a slow link.
#[tokio::test]
async fn paced_body_is_sent_in_full_at_its_rate() {
    const BYTES: usize = 100_000;
    const BYTES_PER_MS: f64 = 200.0;
    let (taken, mut ended) = tokio::sync::mpsc::unbounded_channel();
    let service = service_fn(move |_: Request<Incoming>| {
        let taken = taken.clone();
        let body = paced(vec![7; BYTES].into(), BYTES_PER_MS, move |it| taken.send(it).unwrap());
        async move { Ok::<_, Infallible>(Response::new(body)) }
    });
    let loopback = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(loopback, ServerLimits::default(), service).await.unwrap();
    let started = Instant::now();
    let (status, body) =
        Client::new(5_000).call(server.addr(), "GET", "/", None, empty()).await.unwrap();
    assert_eq!((status, body.len()), (200, BYTES));
    assert!(started.elapsed() >= Duration::from_millis(400), "{:?}", started.elapsed());
    assert_eq!(ended.recv().await, Some(BYTES));
    server.shutdown().await;
}
