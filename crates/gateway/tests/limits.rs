//! Endpoints that name in their responses how many requests a second they take from all gateways.

mod common;

use {
    common::{Behavior, Client, Endpoint, Fixture, layout, wait_until},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The limit that an endpoint names, in requests per second.
const LIMIT: f64 = 2.5;

/// How long gateways may take to agree.
const CONTACT: Duration = Duration::from_secs(3);

/// The length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How many requests a limited endpoint may get in a window.
const MAX_WINDOW_REQUESTS: usize = (1.5 * LIMIT * 4.0) as usize + 5;

fn limited(behavior: Behavior) -> Vec<Behavior> {
    vec![Behavior::WithHeader("endpoint-limit: 2.5", Box::new(behavior)); 5_000]
}

/// Sends a request each 20 ms to one gateway after the other. Returns how many there were and how
/// many were served.
async fn send(gateways: Vec<SocketAddr>, path: &'static str, until: Instant) -> (usize, usize) {
    let mut calls = Vec::new();
    for at in 0.. {
        if Instant::now() >= until {
            break;
        }
        let addr = gateways[at % gateways.len()];
        let parts = format!("prompt-parts: {:x}:800,{at:x}:50", 0xa0 + at % 7);
        let client = Client::new(addr).attempt(&format!("r{at}")).header(&parts);
        calls.push(tokio::spawn(async move { client.call(path).await.status }));
        sleep(Duration::from_millis(20)).await;
    }
    let mut served = 0;
    let sent = calls.len();
    for call in calls {
        served += usize::from(call.await.expect("a client panicked") == 200);
    }
    (sent, served)
}

/// Returns the largest number of requests that an endpoint gets in a window that begins later than
/// `from`.
async fn max_window_requests(endpoint: &Endpoint, from: Instant, until: Instant) -> usize {
    let mut counts = Vec::new();
    while Instant::now() < until {
        counts.push((Instant::now(), endpoint.received().len()));
        sleep(Duration::from_millis(50)).await;
    }
    let in_window = |at: usize| {
        let (begins, count) = counts[at];
        let last = counts[at..].iter().take_while(|it| it.0 <= begins + WINDOW).last();
        last.map_or(0, |it| it.1 - count)
    };
    let begins = (0..counts.len()).filter(|it| counts[*it].0 >= from);
    begins.map(in_window).max().unwrap_or(0)
}

#[rstest]
#[case::plain("plain", "/read/", Behavior::Respond)]
#[case::model("model", "/stream/", Behavior::Events(0..3))]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limit_that_an_endpoint_names_holds_for_all_gateways_together(
    #[case] service: &str,
    #[case] path: &'static str,
    #[case] behavior: Behavior,
) {
    let limited_endpoint = Endpoint::start(limited(behavior.clone())).await;
    let mut others = Vec::new();
    for _ in 0..2 {
        others.push(Endpoint::start(vec![behavior.clone(); 5_000]).await);
    }
    let endpoints = std::iter::once(&limited_endpoint).chain(&others).enumerate();
    let listing: Vec<_> =
        endpoints.map(|(at, it)| it.listing_entry(service, &format!("e{at}"))).collect();
    let mut fixture = Fixture::start(&layout(1), &listing).await;
    for domain in ["d1", "d2", "d0", "d1", "d2"] {
        fixture.add_gateway_in(domain).await;
    }
    let gateways = fixture.gateways();
    wait_until(|| gateways.iter().all(|it| it.is_ready())).await;
    let addrs: Vec<_> = gateways.iter().map(|it| it.addr()).collect();
    let started = Instant::now();
    let limited_until = started + CONTACT + WINDOW + Duration::from_secs(3);
    let until = limited_until + Duration::from_secs(16);
    let calls = tokio::spawn(send(addrs, path, until));
    let most = max_window_requests(&limited_endpoint, started + CONTACT, limited_until).await;
    // The endpoint takes any number of requests again.
    limited_endpoint.set_behaviors(vec![behavior; 5_000]);
    let before = limited_endpoint.received().len();
    let (sent, served) = calls.await.expect("the clients panicked");
    let after = limited_endpoint.received().len() - before;
    println!("{most} requests in a window, {served} of {sent} served, {after} after the limit");
    assert!(most <= MAX_WINDOW_REQUESTS, "{most} requests in a window");
    assert!(served >= sent * 99 / 100, "{served} of {sent} served");
    let unlimited_rate = after as f64 / 16.0;
    assert!(unlimited_rate > 2.0 * LIMIT, "{unlimited_rate:.1} requests a second at the end");
}

#[tokio::test]
async fn request_is_refused_at_once_if_all_endpoints_are_at_their_limits() {
    let endpoint = Endpoint::start(limited(Behavior::Respond)).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    for _ in 0..30 {
        let response = fixture.client().call("/read/").await;
        assert!(matches!(response.status, 200 | 503), "{}", response.status);
        assert!(response.elapsed < Duration::from_millis(500), "{:?}", response.elapsed);
        if response.status == 503 {
            let delay = response.header("retry-after").and_then(|it| it.parse::<f64>().ok());
            assert!(delay.is_some_and(|it| it > 0.0), "no retry delay");
        }
    }
    assert!(endpoint.received().len() <= 5, "{} requests", endpoint.received().len());
}

#[rstest]
#[case::negative("-3")]
#[case::word("few")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[tokio::test]
async fn invalid_limit_of_an_endpoint_is_ignored(#[case] value: &'static str) {
    let header = format!("endpoint-limit: {value}").leak();
    let behavior = Behavior::WithHeader(header, Box::new(Behavior::Respond));
    let endpoint = Endpoint::start(vec![behavior; 50]).await;
    let fixture = Fixture::start(&layout(1), &[endpoint.listing_entry("plain", "e0")]).await;
    for _ in 0..40 {
        assert_eq!(fixture.client().call("/read/").await.status, 200);
    }
}
