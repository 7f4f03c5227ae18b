//! Whatever bytes arrive on an inner port, they end at most the connection that they came on.

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

const LIMIT: Duration = Duration::from_secs(5);

/// What a stream of arbitrary bytes came to at its receiver.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Ended {
    InOrder,
    Refused,
    Late,
}

fn config() -> Config {
    // A failing case waits for its limit, so few are worth trying again.
    Config { failure_persistence: None, max_shrink_iters: 8, ..Config::default() }
}

async fn receive<M>(incoming: Incoming) -> Ended
where
    M: DeserializeOwned,
{
    let (_send, mut recv) = incoming.stream.split();
    loop {
        match timeout(LIMIT, recv.recv::<M>()).await {
            Ok(Ok(Some(_))) => {}
            Ok(Ok(None)) => return Ended::InOrder,
            Ok(Err(_)) => return Ended::Refused,
            Err(_) => return Ended::Late,
        }
    }
}

/// Serves a listener whose streams are read as the message that their path names.
async fn serve(mut listener: Listener, results: mpsc::UnboundedSender<Ended>) {
    while let Some(incoming) = listener.accept().await {
        let results = results.clone();
        tokio::spawn(async move {
            let ended = match incoming.path.as_str() {
                "/forward" => receive::<Forward>(incoming).await,
                "/reply" => receive::<ForwardReply>(incoming).await,
                "/to-control" => receive::<ToControl>(incoming).await,
                "/from-control" => receive::<FromControl>(incoming).await,
                _ => receive::<String>(incoming).await,
            };
            let _ = results.send(ended);
        });
    }
}

type Results = Mutex<mpsc::UnboundedReceiver<Ended>>;

async fn next(results: &Results) -> Option<Ended> {
    results.lock().await.recv().await
}

async fn bind() -> (SocketAddr, Results) {
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = Listener::bind(any, None, Traffic::default()).await.unwrap();
    let (sender, results) = mpsc::unbounded_channel();
    let addr = listener.addr();
    tokio::spawn(serve(listener, sender));
    (addr, Mutex::new(results))
}

/// Opens a bare HTTP/2 connection, on which a stream can carry any bytes.
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
fn arbitrary_stream_bytes_end_their_stream() {
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
            let ended = timeout(LIMIT * 2, next(&results)).await.unwrap();
            prop_assert!(matches!(ended, Some(Ended::InOrder | Ended::Refused)), "{ended:?}");
            Ok(())
        })
    });
    run.unwrap();
}

#[test]
fn a_frame_with_bytes_to_spare_is_refused() {
    let runtime = Runtime::new().unwrap();
    let (addr, results) = runtime.block_on(bind());
    let requests = runtime.block_on(connect(addr));
    let input = ("[a-z]{0,20}", vec(any::<u8>(), 1..20));
    let run = TestRunner::new(config()).run(&input, |(text, spare)| {
        let body = [&[text.len() as u8][..], text.as_bytes(), &spare].concat();
        let frame = [&(body.len() as u32).to_le_bytes()[..], &body].concat();
        runtime.block_on(async {
            send(&requests, addr, "/text", frame).await;
            let ended = timeout(LIMIT * 2, next(&results)).await.unwrap();
            prop_assert_eq!(ended, Some(Ended::Refused));
            Ok(())
        })
    });
    run.unwrap();
}

#[test]
fn a_frame_over_the_limit_is_refused_before_it_arrives() {
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
            let ended = timeout(LIMIT * 2, next(&results)).await.unwrap();
            prop_assert_eq!(ended, Some(Ended::Refused));
            Ok(())
        })
    });
    run.unwrap();
}

#[test]
fn arbitrary_socket_bytes_leave_other_connections_alone() {
    let runtime = Runtime::new().unwrap();
    let (addr, results) = runtime.block_on(bind());
    let (send, _recv) = runtime.block_on(peer(addr).open("/text")).unwrap().split();
    let honest = Mutex::new(send);
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    let after_preface = move |bytes: Vec<u8>| [&preface[..], &bytes].concat();
    let bytes =
        prop_oneof![vec(any::<u8>(), 0..200), vec(any::<u8>(), 0..200).prop_map(after_preface)];
    let run = TestRunner::new(config()).run(&bytes, |bytes| {
        runtime.block_on(async {
            let mut socket = TcpStream::connect(addr).await.unwrap();
            let _ = socket.write_all(&bytes).await;
            let _ = socket.shutdown().await;
            let mut answer = Vec::new();
            let _ = timeout(LIMIT, socket.read_to_end(&mut answer)).await.unwrap();
            prop_assert!(honest.lock().await.send(&"still here").await.is_ok());
            Ok(())
        })
    });
    run.unwrap();
    honest.into_inner().finish();
    runtime.block_on(async {
        let honest_end = async {
            while let Some(ended) = next(&results).await {
                if ended == Ended::InOrder {
                    return;
                }
            }
        };
        timeout(LIMIT, honest_end).await.unwrap();
    });
}
