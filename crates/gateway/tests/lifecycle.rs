//! Configurations that change, endpoints that come and go, and a gateway that stops.

mod common;

use {
    common::{Bench, Endpoint, Script, layout, until},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep},
    },
};

async fn status_of(admin: std::net::SocketAddr, path: &str) -> String {
    let mut socket = TcpStream::connect(admin).await.expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    socket.read_to_string(&mut text).await.expect("an answer");
    text
}

#[tokio::test]
async fn a_newer_configuration_comes_into_force_and_an_older_one_does_not() {
    let endpoint = Endpoint::start([]).await;
    let bench = Bench::start(&layout(5), &[endpoint.listed("plain", "e0")]).await;
    let mut newer = layout(9);
    newer.routes.remove(0);
    bench.publish(&newer).await;
    let deadline = Instant::now() + Duration::from_secs(2);
    while bench.caller().call("/read/").await.status != 404 {
        assert!(Instant::now() < deadline, "not in force within 2 s");
    }
    bench.publish(&layout(7)).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(bench.caller().call("/read/").await.status, 404);
}

#[tokio::test]
async fn a_revoked_key_is_refused() {
    let endpoint = Endpoint::start([]).await;
    let bench = Bench::start(&layout(1), &[endpoint.listed("plain", "e0")]).await;
    assert_eq!(bench.caller().call("/read/").await.status, 200);
    let mut without = layout(2);
    without.teams[0].keys.clear();
    bench.publish(&without).await;
    let deadline = Instant::now() + Duration::from_secs(2);
    while bench.caller().call("/read/").await.status != 401 {
        assert!(Instant::now() < deadline, "not in force within 2 s");
    }
}

#[tokio::test]
async fn a_gateway_is_ready_once_it_knows_configuration_and_endpoints() {
    let endpoint = Endpoint::start([]).await;
    let bench = Bench::start_empty(&[endpoint.listed("plain", "e0")]).await;
    assert!(status_of(bench.admin, "/ready").await.starts_with("HTTP/1.1 503"));
    bench.publish(&layout(1)).await;
    until(|| bench.gateway.is_ready()).await;
    assert!(status_of(bench.admin, "/ready").await.starts_with("HTTP/1.1 200"));
    bench.caller().call("/read/").await;
    let metrics = status_of(bench.admin, "/metrics").await;
    assert!(metrics.contains("jasminefront_gateway_requests"), "{metrics}");
}

#[tokio::test]
async fn a_draining_endpoint_finishes_its_request_and_gets_no_other() {
    let leaves = Endpoint::start([Script::Silent]).await;
    let stays = Endpoint::start([]).await;
    let listed = [leaves.listed("plain", "e0"), stays.listed("plain", "e1")];
    let bench = Bench::start(&layout(1), &listed[..1]).await;
    let _running = bench.caller().body("x").send("/write/").await;
    until(|| leaves.working() == 1).await;
    let mut draining = listed.clone();
    draining[0].draining = true;
    bench.list(&draining);
    sleep(Duration::from_millis(200)).await;
    for _ in 0..5 {
        assert_eq!(bench.caller().call("/read/").await.status, 200);
    }
    assert_eq!((leaves.got().len(), leaves.working()), (1, 1));
}

#[tokio::test]
async fn a_stopping_gateway_finishes_what_runs_and_ends() {
    let endpoint = Endpoint::start([]).await;
    let slow = Endpoint::start([Script::Stalled(0..2)]).await;
    let listed = [endpoint.listed("plain", "e0"), slow.listed("model", "e1")];
    let bench = Bench::start(&layout(1), &listed).await;
    let admin = bench.admin;
    let (caller, addr) = (bench.caller(), bench.addr);
    // A connection that is idle when the gateway stops.
    let idle = TcpStream::connect(addr).await.expect("a connection");
    let _stalled = caller.clone().body("x").send("/stream/").await;
    until(|| slow.working() == 1).await;
    let Bench { gateway, .. } = bench;
    let began = Instant::now();
    let stopping = tokio::spawn(gateway.shutdown());
    sleep(Duration::from_millis(100)).await;
    assert!(status_of(admin, "/ready").await.starts_with("HTTP/1.1 503"));
    // What still arrives is served.
    let answer = caller.call("/read/").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let mut idle = idle;
    assert_eq!(idle.read(&mut [0; 1]).await.ok(), Some(0), "an idle connection is closed");
    // After a while, what could outlast the process is refused, and what is short is not.
    sleep(Duration::from_millis(3_100)).await;
    let late = caller.clone().body("x").call("/stream/").await;
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    stopping.await.expect("ended");
    let took = began.elapsed().as_millis();
    assert!((3_000..5_000).contains(&took), "ended after {took} ms of 5000");
}
