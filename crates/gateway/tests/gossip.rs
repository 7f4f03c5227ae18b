//! Exchange of loads between gateways of a fleet that is too large for reports to all.

mod common;

use {
    common::{Behavior, Client, Endpoint, Fixture, TEAM_KEY, layout, wait_until},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// More gateways than report to each other directly.
const GATEWAYS: usize = 20;

/// How long loads may take to be known everywhere.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(5);

fn client(addr: SocketAddr) -> Client {
    Client::new(addr).key(Some(TEAM_KEY)).deadline(20_000)
}

#[rstest]
#[case::same_domain(1)]
#[case::other_domain(0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn load_of_one_gateway_is_known_to_all_of_a_domain(#[case] domain: usize) {
    let endpoint = Endpoint::start([Behavior::NoResponse, Behavior::NoResponse]).await;
    let mut listed = endpoint.listing_entry("model", "e0");
    listed.slots = 2;
    let mut layout = layout(1);
    layout.routes.iter_mut().for_each(|it| it.timeout_ms = 20_000);
    let mut fixture = Fixture::start(&layout, &[listed]).await;
    for at in 1..GATEWAYS {
        fixture.add_gateway_in(["d0", "d1"][at % 2]).await;
    }
    let gateways = fixture.gateways();
    wait_until(|| gateways.iter().all(|it| it.is_ready())).await;
    let busy = gateways[1].addr();
    let idle = gateways.iter().enumerate().filter(|it| it.0 != 1 && it.0 % 2 == domain);
    let idle: Vec<_> = idle.map(|it| it.1.addr()).collect();
    for _ in 0..2 {
        tokio::spawn(async move { client(busy).call("/stream/").await });
    }
    wait_until(|| endpoint.received().len() == 2).await;
    // Until a gateway knows that both slots are taken, its requests are served.
    let until = Instant::now() + SPREAD_TIMEOUT;
    for addr in &idle {
        while client(*addr).call("/stream/").await.status != 503 {
            assert!(Instant::now() < until, "the load is unknown after {SPREAD_TIMEOUT:?}");
            // The endpoint's own report, which counts for 0.4 s, is that of an idle one.
            sleep(Duration::from_millis(600)).await;
        }
    }
    // Loads are repeated before they expire.
    let received = endpoint.received().len();
    for _ in 0..25 {
        sleep(Duration::from_millis(100)).await;
        for addr in &idle {
            assert_eq!(client(*addr).call("/stream/").await.status, 503);
        }
    }
    assert_eq!(endpoint.received().len(), received);
}
