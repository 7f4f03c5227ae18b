//! Refusals sent while the client is still sending its request.

mod common;

use {
    common::{Fixture, layout, read_response},
    rstest::rstest,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep},
    },
};

#[rstest]
#[case::unknown_key("/write/", "other", 401)]
#[case::no_route("/none/", common::TEAM_KEY, 404)]
#[tokio::test]
async fn client_that_is_still_sending_gets_its_refusal(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
    #[values(1, 40)] pieces: usize,
) {
    let fixture = Fixture::start(&layout(1), &[]).await;
    let started = Instant::now();
    let mut socket = TcpStream::connect(fixture.addr).await.expect("failed to connect");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\nteam-key: {key}\r\ncontent-length: 8000\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.expect("failed to send");
    for _ in 0..pieces {
        sleep(Duration::from_millis(200 / pieces as u64)).await;
        let sent = socket.write_all(&vec![b'x'; 8_000 / pieces]).await;
        sent.expect("connection closed while the client was sending");
    }
    let response = read_response(&mut socket, started).await;
    assert_eq!((response.status, response.complete), (status, true));
}

/// A client sends its body in pieces, for longer than the timeout of the route.
#[tokio::test]
async fn client_that_sends_for_too_long_is_answered_at_the_timeout_of_its_route() {
    const TIMEOUT_MS: u64 = 800;
    const MARGIN: Duration = Duration::from_millis(500);
    let mut layout = layout(1);
    layout.routes.iter_mut().for_each(|it| it.timeout_ms = TIMEOUT_MS);
    let fixture = Fixture::start(&layout, &[]).await;
    let started = Instant::now();
    let socket = TcpStream::connect(fixture.addr).await.expect("failed to connect");
    let (mut reader, mut writer) = socket.into_split();
    let key = common::TEAM_KEY;
    let head = format!(
        "POST /read/ HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\nteam-key: {key}\r\ncontent-length: 8000\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).await.expect("failed to send");
    tokio::spawn(async move {
        for _ in 0..8 {
            sleep(Duration::from_millis(400)).await;
            if writer.write_all(&[b'x'; 1_000]).await.is_err() {
                return;
            }
        }
        // A client that closes its side of the connection is taken to have left.
        std::future::pending::<()>().await;
    });
    let mut byte = [0];
    let read = reader.read(&mut byte).await.expect("connection was reset without an answer");
    assert_eq!(read, 1, "connection was closed without an answer");
    let took = started.elapsed();
    assert!(took < Duration::from_millis(TIMEOUT_MS) + MARGIN, "answered after {took:?}");
}
