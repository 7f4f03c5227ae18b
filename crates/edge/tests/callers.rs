//! Clients that send arbitrary data: limits are enforced, tokens identify teams, and a shutdown
//! interrupts no response.

use {
    bytes::Bytes,
    edge::{
        Authenticator, Body, BodyError, ReadError, Server, ServerLimits, ServerTls, full, read_all,
    },
    http::{HeaderMap, Request, Response, header},
    http_body_util::BodyExt,
    hyper::body::{Frame, Incoming},
    model::{Config, Digest, Limits, Team, TeamId},
    proptest::{collection::vec, prelude::*},
    rcgen::generate_simple_self_signed,
    rstest::rstest,
    std::{
        convert::Infallible,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::TcpStream,
        runtime::Runtime,
        sync::mpsc,
        time::timeout,
    },
    tokio_rustls::{TlsConnector, rustls},
    tower::service_fn,
};

const REQUEST: &[u8] = b"GET /ok HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts a server that responds with "hello" and counts the requests that reach the service.
async fn start_counting_server(
    limits: ServerLimits,
    tls: Option<ServerTls>,
) -> (Server, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = count.clone();
    let service = service_fn(move |_: Request<Incoming>| {
        counter.fetch_add(1, Ordering::Relaxed);
        async { Ok::<Response<Body>, Infallible>(Response::new(full("hello"))) }
    });
    (Server::bind_with_tls(loopback(), limits, tls, service).await.unwrap(), count)
}

/// Sends bytes and returns everything that is received until the server closes the connection.
async fn send_and_read<T>(mut io: T, bytes: &[u8]) -> String
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let _ = io.write_all(bytes).await;
    if bytes != REQUEST {
        // Signals the end of the input. After a complete request this would look like a disconnect.
        let _ = io.shutdown().await;
    }
    let mut response = Vec::new();
    let _ = timeout(Duration::from_secs(10), io.read_to_end(&mut response)).await.unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

async fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    send_and_read(TcpStream::connect(addr).await.unwrap(), bytes).await
}

/// Generates bytes that partly resemble HTTP.
fn http_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let fragment = prop_oneof![
        vec(any::<u8>(), 0..40),
        Just(b"GET / HTTP/1.1\r\n".to_vec()),
        Just(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec()),
        Just(b"host: a\r\n".to_vec()),
        Just(b"content-length: 18446744073709551616\r\n".to_vec()),
        Just(b"transfer-encoding: chunked\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"ffffffffffffffffff\r\n".to_vec()),
        Just(vec![b'x'; 20_000]),
    ];
    vec(fragment, 0..8).prop_map(|it| it.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Bytes that are not a request get a response with a 4xx status or none, and the server goes
    /// on serving.
    #[test]
    fn arbitrary_bytes_are_rejected_or_served(bytes in http_like_bytes()) {
        Runtime::new().unwrap().block_on(async {
            let (server, count) = start_counting_server(ServerLimits::default(), None).await;
            let response = exchange(server.addr(), &bytes).await;
            let served = count.load(Ordering::Relaxed);
            let responses = response.matches("HTTP/1.1 200").count();
            assert!(responses <= served, "{response}");
            if served == 0 && response.starts_with("HTTP/1.1") {
                assert!(response.starts_with("HTTP/1.1 4"), "{response}");
            }
            assert!(exchange(server.addr(), REQUEST).await.ends_with("hello"));
            server.shutdown().await;
        });
    }

    /// A token identifies the team that it was configured for. Unknown tokens and ambiguous headers
    /// identify none.
    #[test]
    fn each_token_identifies_only_its_team(
        names in vec("[a-z]{1,12}", 1..20),
        other in "[a-zA-Z ]{0,14}",
    ) {
        let mut config = Config::default();
        let limits = Limits { rate: 1, running: 1, queued: 1 };
        for (index, name) in names.iter().enumerate() {
            let id = TeamId(index as u32);
            let tokens = [Digest::of(name.as_bytes())].into_iter().collect();
            let services = Default::default();
            let team = Team {
                id,
                name: name.as_str().into(),
                tokens,
                weight: 1,
                priority: 0,
                limits,
                services,
            };
            config.teams.insert(id, Arc::new(team));
        }
        let authenticator = Authenticator::new(&config);
        for name in names.iter().chain([&other]) {
            let team = authenticator.team(name.as_bytes());
            prop_assert_eq!(team.map(|it| names[it.0 as usize].clone()),
                names.iter().find(|it| *it == name).cloned());
            let mut headers = HeaderMap::new();
            headers.insert(header::AUTHORIZATION, format!("bearer {name}").parse().unwrap());
            prop_assert_eq!(
                authenticator.authenticate(&headers),
                authenticator.team(name.trim().as_bytes())
            );
            headers.append(header::AUTHORIZATION, "Bearer x".parse().unwrap());
            prop_assert_eq!(authenticator.authenticate(&headers), None);
        }
    }
}

#[rstest]
#[case::too_long_headers(format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(100_000)))]
#[case::too_many_headers(format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(200)))]
#[tokio::test]
async fn requests_with_oversized_headers_do_not_reach_the_service(#[case] request: String) {
    let (server, count) = start_counting_server(ServerLimits::default(), None).await;
    let response = exchange(server.addr(), request.as_bytes()).await;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");
    assert_eq!(count.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_connection_with_incomplete_headers_is_closed() {
    let limits = ServerLimits { header_ms: 50, ..ServerLimits::default() };
    let (server, count) = start_counting_server(limits, None).await;
    let mut socket = TcpStream::connect(server.addr()).await.unwrap();
    socket.write_all(b"GET / HTTP/1.1\r\nhost").await.unwrap();
    let mut response = Vec::new();
    let read = timeout(Duration::from_secs(10), socket.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection is still open");
    assert_eq!(count.load(Ordering::Relaxed), 0);
}

#[rstest]
#[case::too_large(vec!["12345", "67890", "1"], Err(ReadError::TooLarge))]
#[case::within_limit(vec!["12345", "67890"], Ok("1234567890"))]
#[case::stalled(vec!["12345", "stall"], Err(ReadError::Stalled))]
#[tokio::test]
async fn bodies_are_limited_in_size_and_time(
    #[case] parts: Vec<&'static str>,
    #[case] expected: Result<&str, ReadError>,
) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let stalled = parts.contains(&"stall").then(|| sender.clone());
    parts.iter().filter(|it| **it != "stall").for_each(|it| sender.send(*it).unwrap());
    drop(sender);
    let read = read_all(ChannelBody(receiver), 10, Duration::from_millis(50)).await;
    assert_eq!(read, expected.map(|it| Bytes::copy_from_slice(it.as_bytes())));
    drop(stalled);
}

#[tokio::test]
async fn a_shutdown_at_the_connection_limit_completes_a_streaming_response() {
    let (parts, receiver) = mpsc::unbounded_channel::<&'static str>();
    let receiver = Arc::new(std::sync::Mutex::new(Some(receiver)));
    let service = service_fn(move |_: Request<Incoming>| {
        let receiver = receiver.lock().unwrap().take().unwrap();
        async { Ok::<_, Infallible>(Response::new(ChannelBody(receiver).boxed_unsync())) }
    });
    let limits = ServerLimits { connections: 1, ..ServerLimits::default() };
    let server = Server::bind(loopback(), limits, service).await.unwrap();
    let mut socket = TcpStream::connect(server.addr()).await.unwrap();
    socket.write_all(REQUEST).await.unwrap();
    parts.send("first,").unwrap();
    let mut response = Vec::new();
    while !response.ends_with(b"first,\r\n") {
        response.push(socket.read_u8().await.unwrap());
    }
    let addr = server.addr();
    let shutdown = tokio::spawn(server.shutdown());
    while TcpStream::connect(addr).await.is_ok() {}
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(!shutdown.is_finished(), "the shutdown did not wait for the response");
    parts.send("last").unwrap();
    drop(parts);
    socket.read_to_end(&mut response).await.unwrap();
    assert!(response.ends_with(b"last\r\n0\r\n\r\n"), "{}", String::from_utf8_lossy(&response));
    timeout(Duration::from_secs(10), shutdown).await.unwrap().unwrap();
}

#[tokio::test]
async fn new_connections_use_a_reloaded_certificate() {
    let folder = tempfile::tempdir().unwrap();
    let (cert, key) = (folder.path().join("cert.pem"), folder.path().join("key.pem"));
    let write = || {
        let generated = generate_simple_self_signed(vec!["front".into()]).unwrap();
        std::fs::write(&cert, generated.cert.pem()).unwrap();
        std::fs::write(&key, generated.signing_key.serialize_pem()).unwrap();
        generated.cert.der().clone()
    };
    let first = write();
    let tls = ServerTls::open(&cert, &key).unwrap();
    let (server, _) = start_counting_server(ServerLimits::default(), Some(tls.clone())).await;
    assert!(exchange_over_tls(server.addr(), first).await.ends_with("hello"));
    let second = write();
    tls.reload().unwrap();
    assert!(exchange_over_tls(server.addr(), second.clone()).await.ends_with("hello"));
    std::fs::write(&key, "no key").unwrap();
    assert!(tls.reload().is_err());
    assert!(exchange_over_tls(server.addr(), second).await.ends_with("hello"));
}

/// Sends a request over TLS to a server that must present the given certificate.
async fn exchange_over_tls(
    addr: SocketAddr,
    cert: rustls::pki_types::CertificateDer<'static>,
) -> String {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(cert).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let socket = TcpStream::connect(addr).await.unwrap();
    let name = "front".try_into().unwrap();
    let io = TlsConnector::from(Arc::new(config)).connect(name, socket).await.unwrap();
    send_and_read(io, REQUEST).await
}

/// A body that consists of the parts received over a channel.
struct ChannelBody(mpsc::UnboundedReceiver<&'static str>);

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let part = self.0.poll_recv(cx);
        part.map(|it| it.map(|it| Ok(Frame::data(Bytes::from_static(it.as_bytes())))))
    }
}
