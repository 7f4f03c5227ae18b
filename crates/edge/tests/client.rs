//! The HTTP client with peers that misbehave.

#![allow(clippy::disallowed_methods, reason = "tests read the clock")]

use {
    edge::{Client, empty},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::JoinHandle,
        time::{Instant, timeout},
    },
};

/// Accepts a connection, sends a response whose body has no end, and returns how many bytes of it
/// were sent when the client closed the connection.
async fn serve_endless(head: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind");
    let addr = listener.local_addr().expect("no local address");
    let task = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("failed to accept");
        let read = socket.read(&mut [0; 1_024]).await;
        assert!(read.is_ok_and(|it| it > 0), "no request");
        socket.write_all(head.as_bytes()).await.expect("failed to send the head");
        let block = "y".repeat(16 << 10);
        let mut sent = 0;
        while socket.write_all(block.as_bytes()).await.is_ok() {
            sent += block.len();
        }
        sent
    });
    (addr, task)
}

#[tokio::test]
async fn endless_response_is_not_collected_in_memory() {
    let head = "HTTP/1.1 200 X\r\n\r\n";
    let (addr, task) = serve_endless(head).await;
    let client = Client::new(10_000);
    let started = Instant::now();
    let result = client.call(addr, "GET", "/", None, empty()).await;
    assert!(result.is_err());
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    let sent = timeout(Duration::from_secs(2), task).await.expect("the connection is still open");
    assert!(sent.expect("the peer failed") < 32 << 20);
}
