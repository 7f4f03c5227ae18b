//! Refusals sent while the client is still sending its request.

mod common;

use {
    common::{Fixture, layout, read_response},
    rstest::rstest,
    std::time::Duration,
    tokio::{
        io::AsyncWriteExt,
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
