//! Both ends of a stream learn the protocol of the other one, and a build without the header counts as 0.

use {
    bytes::Bytes,
    http::{Request, Response},
    rstest::rstest,
    tokio::net::{TcpListener, TcpStream},
    wire::{Dialer, Listener, PROTOCOL, Peer, Traffic, TrafficClass},
};

fn peer(addr: std::net::SocketAddr) -> Peer {
    let (traffic, class) = (Traffic::default(), TrafficClass::Control);
    Peer::new(addr, Dialer { identity: None, traffic, class })
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(7)]
#[tokio::test]
async fn number_of_the_opener_reaches_the_acceptor(#[case] protocol: u32) {
    let addr = "127.0.0.1:0".parse().unwrap();
    let mut listener = Listener::bind(addr, None, Traffic::default()).await.unwrap();
    let opener = peer(listener.addr()).with_protocol(protocol);
    let (opened, accepted) = tokio::join!(opener.open("/watch"), listener.accept());
    assert_eq!(opened.unwrap().protocol, PROTOCOL);
    assert_eq!(accepted.unwrap().stream.protocol, protocol);
}

/// A build of 0d4d3b9 accepts streams without the header, and must not be sent what it cannot decode. A number that
/// cannot be read says nothing, so it must not count as a new build either.
#[rstest]
#[case(None)]
#[case(Some("one"))]
#[case(Some("-1"))]
#[case(Some(""))]
#[tokio::test]
async fn acceptor_without_a_number_counts_as_zero(#[case] header: Option<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let socket = listener.accept().await.unwrap().0;
        let mut conn = h2::server::handshake(socket).await.unwrap();
        while let Some(Ok((_, mut respond))) = conn.accept().await {
            let mut response = Response::new(());
            if let Some(value) = header {
                response.headers_mut().insert("jf-protocol", value.parse().unwrap());
            }
            respond.send_response(response, false).unwrap();
        }
    });
    assert_eq!(peer(addr).open("/watch").await.unwrap().protocol, 0);
}

#[tokio::test]
async fn opener_without_a_number_counts_as_zero() {
    let addr = "127.0.0.1:0".parse().unwrap();
    let mut listener = Listener::bind(addr, None, Traffic::default()).await.unwrap();
    let socket = TcpStream::connect(listener.addr()).await.unwrap();
    let (requests, conn) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(conn);
    let request = Request::post(format!("http://{}/watch", listener.addr())).body(()).unwrap();
    let mut requests: h2::client::SendRequest<Bytes> = requests.ready().await.unwrap();
    let (response, _send) = requests.send_request(request, false).unwrap();
    let incoming = listener.accept().await.unwrap();
    assert_eq!(incoming.stream.protocol, 0);
    let response = response.await.unwrap();
    assert_eq!(response.headers()["jf-protocol"], PROTOCOL.to_string().as_str());
}
