//! Arbitrary bytes on the port for other processes end at most the connection that they arrive on.

use {
    bytes::Bytes,
    h2::client::SendRequest,
    http::Request,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, TestRunner},
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::Runtime,
        sync::{Mutex, mpsc},
        time::timeout,
    },
    wire::{
        Dialer, Incoming, Listener, MAX_FRAME_BYTES, Peer, Traffic, TrafficClass,
        msg::{Forward, ForwardReply, FromControl, ToControl},
    },
};

const TIME_LIMIT: Duration = Duration::from_secs(5);

/// How a stream of arbitrary bytes ended at its receiver.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum StreamEnd {
    Finished,
    Rejected,
    TimedOut,
}

fn config() -> Config {
    // Each failing case takes as long as the time limit, so shrinking is limited to a few steps.
    Config { failure_persistence: None, max_shrink_iters: 8, ..Config::default() }
}

async fn receive<M>(incoming: Incoming) -> StreamEnd
where
    M: DeserializeOwned,
{
    let (_send, mut recv) = incoming.stream.split();
    loop {
        match timeout(TIME_LIMIT, recv.recv::<M>()).await {
            Ok(Ok(Some(_))) => {}
            Ok(Ok(None)) => return StreamEnd::Finished,
            Ok(Err(_)) => return StreamEnd::Rejected,
            Err(_) => return StreamEnd::TimedOut,
        }
    }
}

/// Reads each stream as messages of the type that its path selects, and reports how it ended.
async fn serve(mut listener: Listener, results: mpsc::UnboundedSender<StreamEnd>) {
    while let Some(incoming) = listener.accept().await {
        let results = results.clone();
        tokio::spawn(async move {
            let end = match incoming.path.as_str() {
                "/forward" => receive::<Forward>(incoming).await,
                "/reply" => receive::<ForwardReply>(incoming).await,
                "/to-control" => receive::<ToControl>(incoming).await,
                "/from-control" => receive::<FromControl>(incoming).await,
                _ => receive::<String>(incoming).await,
            };
            let _ = results.send(end);
        });
    }
}

type Results = Mutex<mpsc::UnboundedReceiver<StreamEnd>>;

async fn next(results: &Results) -> Option<StreamEnd> {
    results.lock().await.recv().await
}

async fn bind() -> (SocketAddr, Results) {
    let loopback = "127.0.0.1:0".parse().unwrap();
    let listener = Listener::bind(loopback, None, Traffic::default()).await.unwrap();
    let (sender, results) = mpsc::unbounded_channel();
    let addr = listener.addr();
    tokio::spawn(serve(listener, sender));
    (addr, Mutex::new(results))
}

/// Opens an HTTP/2 connection on which a stream can carry arbitrary bytes.
async fn connect(addr: SocketAddr) -> SendRequest<Bytes> {
    let socket = TcpStream::connect(addr).await.unwrap();
    let (requests, conn) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(conn);
    requests
}

async fn send(requests: &SendRequest<Bytes>, addr: SocketAddr, path: &str, bytes: Vec<u8>) {
    let mut ready = requests.clone().ready().await.unwrap();
    let request = Request::post(format!("http://{addr}{path}")).body(()).unwrap();
    let (response, mut stream) = ready.send_request(request, false).unwrap();
    stream.send_data(bytes.into(), true).unwrap();
    tokio::spawn(response);
}

fn peer(addr: SocketAddr) -> Peer {
    Peer::new(
        addr,
        Dialer { identity: None, traffic: Traffic::default(), class: TrafficClass::Control },
    )
}

#[test]
fn arbitrary_bytes_on_a_stream_are_rejected_or_read_to_the_end() {
    let runtime = Runtime::new().unwrap();
    let (addr, results) = runtime.block_on(bind());
    let requests = runtime.block_on(connect(addr));
    let paths = prop_oneof![
        Just("/forward"),
        Just("/reply"),
        Just("/to-control"),
        Just("/from-control"),
        Just("/text")
    ];
    let framed = |bytes: Vec<u8>| [&(bytes.len() as u32).to_le_bytes()[..], &bytes].concat();
    let bytes = prop_oneof![vec(any::<u8>(), 0..300), vec(any::<u8>(), 0..300).prop_map(framed)];
    let run = TestRunner::new(config()).run(&(paths, bytes), |(path, bytes)| {
        runtime.block_on(async {
            send(&requests, addr, path, bytes).await;
            let end = timeout(TIME_LIMIT * 2, next(&results)).await.unwrap();
            prop_assert!(matches!(end, Some(StreamEnd::Finished | StreamEnd::Rejected)), "{end:?}");
            Ok(())
        })
    });
    run.unwrap();
}

#[test]
fn a_frame_with_trailing_bytes_is_rejected() {
    let runtime = Runtime::new().unwrap();
    let (addr, results) = runtime.block_on(bind());
    let requests = runtime.block_on(connect(addr));
    let input = ("[a-z]{0,20}", vec(any::<u8>(), 1..20));
    let run = TestRunner::new(config()).run(&input, |(text, trailing)| {
        let body = [&[text.len() as u8][..], text.as_bytes(), &trailing].concat();
        let frame = [&(body.len() as u32).to_le_bytes()[..], &body].concat();
        runtime.block_on(async {
            send(&requests, addr, "/text", frame).await;
            let end = timeout(TIME_LIMIT * 2, next(&results)).await.unwrap();
            prop_assert_eq!(end, Some(StreamEnd::Rejected));
            Ok(())
        })
    });
    run.unwrap();
}

#[test]
fn an_oversized_frame_is_rejected_before_its_body_arrives() {
    let runtime = Runtime::new().unwrap();
    let (addr, results) = runtime.block_on(bind());
    let requests = runtime.block_on(connect(addr));
    let lengths = (MAX_FRAME_BYTES as u32 + 1)..=u32::MAX;
    let run = TestRunner::new(config()).run(&lengths, |length| {
        runtime.block_on(async {
            let mut ready = requests.clone().ready().await.unwrap();
            let request = Request::post(format!("http://{addr}/text")).body(()).unwrap();
            let (_response, mut stream) = ready.send_request(request, false).unwrap();
            stream.send_data(length.to_le_bytes().to_vec().into(), false).unwrap();
            let end = timeout(TIME_LIMIT * 2, next(&results)).await.unwrap();
            prop_assert_eq!(end, Some(StreamEnd::Rejected));
            Ok(())
        })
    });
    run.unwrap();
}

#[test]
fn arbitrary_bytes_on_a_socket_do_not_affect_other_connections() {
    let runtime = Runtime::new().unwrap();
    let (addr, results) = runtime.block_on(bind());
    let (send, _recv) = runtime.block_on(peer(addr).open("/text")).unwrap().split();
    let valid_stream = Mutex::new(send);
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    let after_preface = move |bytes: Vec<u8>| [&preface[..], &bytes].concat();
    let bytes =
        prop_oneof![vec(any::<u8>(), 0..200), vec(any::<u8>(), 0..200).prop_map(after_preface)];
    let run = TestRunner::new(config()).run(&bytes, |bytes| {
        runtime.block_on(async {
            let mut socket = TcpStream::connect(addr).await.unwrap();
            let _ = socket.write_all(&bytes).await;
            let _ = socket.shutdown().await;
            let mut response = Vec::new();
            let _ = timeout(TIME_LIMIT, socket.read_to_end(&mut response)).await.unwrap();
            prop_assert!(valid_stream.lock().await.send(&"still open").await.is_ok());
            Ok(())
        })
    });
    run.unwrap();
    valid_stream.into_inner().finish();
    runtime.block_on(async {
        let valid_stream_end = async {
            while let Some(end) = next(&results).await {
                if end == StreamEnd::Finished {
                    return;
                }
            }
        };
        timeout(TIME_LIMIT, valid_stream_end).await.unwrap();
    });
}
