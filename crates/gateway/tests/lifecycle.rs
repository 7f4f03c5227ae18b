//! Configuration changes, endpoint changes and graceful shutdown.

mod common;

use {
    common::{Behavior, Endpoint, Fixture, layout, wait_until},
    directory::ListedEndpoint,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

async fn get_admin(admin: std::net::SocketAddr, path: &str) -> String {
    let mut socket = TcpStream::connect(admin).await.expect("failed to connect");
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    socket.write_all(request.as_bytes()).await.expect("failed to send");
    let mut text = String::new();
    socket.read_to_string(&mut text).await.expect("failed to read the response");
    text
}

#[tokio::test]
async fn newer_configuration_is_applied_and_older_one_is_ignored() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start(&layout(5), &[endpoint.listing_entry("plain", "e0")]).await;
    let mut newer = layout(9);
    newer.routes.remove(0);
    fixture.publish(&newer).await;
    let deadline = Instant::now() + Duration::from_secs(2);
    while fixture.client().call("/read/").await.status != 404 {
        assert!(Instant::now() < deadline, "configuration not applied within 2 s");
    }
    fixture.publish(&layout(7)).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.client().call("/read/").await.status, 404);
}

#[tokio::test]
async fn revoked_key_is_rejected() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    assert_eq!(fixture.client().call("/read/").await.status, 200);
    let mut without = layout(2);
    without.teams[0].keys.clear();
    fixture.publish(&without).await;
    let deadline = Instant::now() + Duration::from_secs(2);
    while fixture.client().call("/read/").await.status != 401 {
        assert!(Instant::now() < deadline, "configuration not applied within 2 s");
    }
}

#[tokio::test]
async fn gateway_is_ready_once_it_has_configuration_and_endpoints() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start_unconfigured(&[endpoint.listing_entry("plain", "e0")]).await;
    assert!(get_admin(fixture.admin, "/ready").await.starts_with("HTTP/1.1 503"));
    fixture.publish(&layout(1)).await;
    wait_until(|| fixture.gateway.is_ready()).await;
    assert!(get_admin(fixture.admin, "/ready").await.starts_with("HTTP/1.1 200"));
    fixture.client().call("/read/").await;
    let metrics = get_admin(fixture.admin, "/metrics").await;
    assert!(metrics.contains("jasminefront_gateway_requests"), "{metrics}");
}

#[tokio::test]
async fn draining_endpoint_finishes_its_request_and_gets_no_new_ones() {
    let departing = Endpoint::start([Behavior::NoResponse]).await;
    let remaining = Endpoint::start([]).await;
    let listing = [departing.listing_entry("plain", "e0"), remaining.listing_entry("plain", "e1")];
    let fixture = Fixture::start(&layout(1), &listing[..1]).await;
    let _running = fixture.client().body("x").send("/write/").await;
    wait_until(|| departing.active() == 1).await;
    let mut draining = listing.clone();
    draining[0].draining = true;
    fixture.set_endpoints(&draining);
    sleep(Duration::from_millis(200)).await;
    for _ in 0..5 {
        assert_eq!(fixture.client().call("/read/").await.status, 200);
    }
    assert_eq!((departing.received().len(), departing.active()), (1, 1));
}

#[tokio::test]
async fn graceful_shutdown_finishes_running_requests() {
    let endpoint = Endpoint::start([]).await;
    let slow = Endpoint::start([Behavior::Stalled(0..2)]).await;
    let listing = [endpoint.listing_entry("plain", "e0"), slow.listing_entry("model", "e1")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    let admin = fixture.admin;
    let (client, addr) = (fixture.client(), fixture.addr);
    // A connection that is idle when shutdown starts.
    let idle = TcpStream::connect(addr).await.expect("failed to connect");
    let _stalled = client.clone().body("x").send("/stream/").await;
    wait_until(|| slow.active() == 1).await;
    let Fixture { gateway, .. } = fixture;
    let started = Instant::now();
    let stopping = tokio::spawn(gateway.shutdown());
    sleep(Duration::from_millis(100)).await;
    assert!(get_admin(admin, "/ready").await.starts_with("HTTP/1.1 503"));
    // Requests that still arrive are served.
    let response = client.call("/read/").await;
    assert_eq!(response.status, 200);
    assert_eq!(response.header("connection"), Some("close"));
    // After `DEREGISTER_MS`, requests that could outlast the process are rejected and short ones
    // are not.
    sleep(Duration::from_millis(3_100)).await;
    let mut idle = idle;
    let read = timeout(Duration::from_millis(100), idle.read(&mut [0; 1])).await;
    assert_eq!(read.expect("idle connection was not closed").ok(), Some(0));
    let late = client.clone().body("x").call("/stream/").await;
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    stopping.await.expect("shutdown panicked");
    let took = started.elapsed().as_millis();
    assert!((3_000..5_000).contains(&took), "shutdown took {took} ms of 5000");
}

/// Sends requests on open connections while the gateway cannot run, then stops it.
///
/// The requests are in the socket buffers when the gateway handles the stop.
#[tokio::test]
async fn requests_sent_on_idle_connections_just_before_a_stop_are_answered() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let client = fixture.client();
    let mut connections = Vec::new();
    for _ in 0..8 {
        let mut connection = client.connect_now();
        connection.send_head("/read/", 0);
        assert_eq!(connection.response().await.status, 200);
        connections.push(connection);
    }
    for connection in &mut connections {
        connection.send_head("/read/", 0);
    }
    let Fixture { gateway, .. } = fixture;
    let stopping = tokio::spawn(gateway.shutdown());
    for connection in &mut connections {
        let response = connection.response().await;
        assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    }
    stopping.await.expect("shutdown panicked");
}

#[tokio::test]
async fn connection_that_is_idle_at_a_stop_can_still_be_used() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let mut connection = fixture.client().connect_now();
    connection.send_head("/read/", 0);
    assert_eq!(connection.response().await.status, 200);
    let Fixture { gateway, .. } = fixture;
    let started = Instant::now();
    let stopping = tokio::spawn(gateway.shutdown());
    sleep(Duration::from_millis(2_000)).await;
    connection.send_head("/read/", 0);
    let response = connection.response().await;
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    stopping.await.expect("shutdown panicked");
    let took = started.elapsed().as_millis();
    assert!((3_000..4_000).contains(&took), "shutdown took {took} ms of 5000");
}

#[tokio::test]
async fn callers_that_send_nothing_do_not_delay_a_stop() {
    let fixture = Fixture::start(&layout(1), &[]).await;
    let addr = fixture.addr;
    let _idle = TcpStream::connect(addr).await.expect("failed to connect");
    let Fixture { gateway, .. } = fixture;
    let started = Instant::now();
    let stopping = tokio::spawn(gateway.shutdown());
    sleep(Duration::from_millis(2_500)).await;
    let _late = TcpStream::connect(addr).await.expect("failed to connect");
    stopping.await.expect("shutdown panicked");
    let took = started.elapsed().as_millis();
    assert!((3_000..4_000).contains(&took), "shutdown took {took} ms of 5000");
}

#[tokio::test]
async fn request_sent_three_seconds_after_a_stop_is_not_begun_if_it_may_outlast_the_process() {
    let endpoint = Endpoint::start([Behavior::NoResponse]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let client = fixture.client();
    let Fixture { gateway, .. } = fixture;
    // The process handles the signal some time after it was sent.
    let signalled = Instant::now();
    sleep(Duration::from_millis(300)).await;
    let stopping = tokio::spawn(gateway.shutdown());
    sleep_until(signalled + Duration::from_millis(3_050)).await;
    assert_eq!(client.body("x").call("/write/").await.status, 503);
    assert_eq!(endpoint.received().len(), 0);
    stopping.await.expect("shutdown panicked");
}

/// A request of which the gateway got the head in time was passed on late in a stop, and cut off at its end.
#[tokio::test]
async fn request_whose_body_arrives_late_in_a_stop_is_not_begun_if_it_may_outlast_the_process() {
    let endpoint = Endpoint::start([Behavior::NoResponse]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    let mut connection = fixture.client().connect_now();
    let Fixture { gateway, .. } = fixture;
    let stopping = tokio::spawn(gateway.shutdown());
    sleep(Duration::from_millis(1_500)).await;
    connection.send_head("/write/", 2);
    connection.send_bytes(b"x");
    sleep(Duration::from_millis(1_500)).await;
    connection.send_bytes(b"y");
    let response = connection.response().await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(endpoint.received().len(), 0);
    stopping.await.expect("shutdown panicked");
}

/// A request that waited for capacity was passed on late in a stop, and cut off at its end.
#[tokio::test]
async fn request_that_waits_for_capacity_in_a_stop_is_refused_once_it_may_outlast_the_process() {
    let busy = Behavior::Delayed(2_900, Box::new(Behavior::Events(0..2)));
    let endpoint = Endpoint::start([busy, Behavior::NoResponse]).await;
    let listing = ListedEndpoint { slots: 1, ..endpoint.listing_entry("model", "e0") };
    let mut layout = layout(1);
    layout.routes.iter_mut().for_each(|it| it.target_ms = 3_000);
    let fixture = Fixture::start(&layout, &[listing]).await;
    let client = fixture.client();
    let _running = client.clone().body("x").send("/stream/").await;
    wait_until(|| endpoint.active() == 1).await;
    let Fixture { gateway, .. } = fixture;
    let stopped_at = Instant::now();
    let stopping = tokio::spawn(gateway.shutdown());
    sleep_until(stopped_at + Duration::from_millis(2_000)).await;
    let response = client.attempt("a2").body("x").call("/stream/").await;
    assert_eq!(response.status, 503, "{response:?}");
    let refused_after = stopped_at.elapsed().as_millis();
    assert!((2_450..2_900).contains(&refused_after), "refused after {refused_after} ms");
    assert_eq!(endpoint.received().len(), 1);
    stopping.await.expect("shutdown panicked");
}

/// Guards against requests that are refused right after a restart of the whole fleet, although the
/// configuration arrives a moment later. Clients that retry once would not be served at all.
#[tokio::test]
async fn request_that_arrives_before_the_configuration_is_served_once_it_is_there() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start_unconfigured(&[endpoint.listing_entry("plain", "e0")]).await;
    let client = fixture.client();
    let early = tokio::spawn(async move { client.body("x").call("/write/").await });
    sleep(Duration::from_millis(200)).await;
    fixture.publish(&layout(1)).await;
    let response = early.await.expect("client panicked");
    assert_eq!(response.status, 200);
    assert_eq!(endpoint.received().len(), 1);
}

/// Guards against requests that are held although nothing is to be expected: the hold ends long
/// before the deadline, with the promise that the request did not run.
#[tokio::test]
async fn request_is_refused_in_time_if_no_configuration_arrives() {
    let endpoint = Endpoint::start([]).await;
    let fixture = Fixture::start_unconfigured(&[endpoint.listing_entry("plain", "e0")]).await;
    let sent = Instant::now();
    let response = fixture.client().deadline(1_000).call("/read/").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(sent.elapsed() < Duration::from_millis(800), "{:?}", sent.elapsed());
    assert!(endpoint.received().is_empty());
}
