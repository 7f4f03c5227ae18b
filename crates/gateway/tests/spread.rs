//! Distribution of configurations from control over a slow link to many gateways.

mod common;

use {
    common::{Fixture, layout, route, wait_until},
    directory::ListedEndpoint,
    model::Domain,
    route::{RouteKind, RoutingConfig},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, time::Instant},
    wire::{
        Dialer, Peer, Traffic, TrafficClass,
        msg::{WATCH_PATH, WatchHello, WatchRequest, WatchUpdate},
    },
};

/// The gateways in a fleet of the users' size that watch the same replica.
const GATEWAYS: usize = 44;

/// The bandwidth of the link of a control host, in Mbit/s.
const CONTROL_LINK_MBPS: f64 = 3.0;

/// The time within which a change must be in force on the users' platform.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// Returns a configuration with a thousand more routes, whose names do not compress.
fn large_layout(version: u64) -> RoutingConfig {
    let mut layout = layout(version);
    layout.routes.extend((0..1_000_u64).map(|it| {
        let name = format!("{:016x}", it.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        route(&name, RouteKind::Idempotent, "plain")
    }));
    layout
}

/// Starts gateways with version 1, whose control replica has a slow link.
async fn start_fleet(gateways: usize) -> Fixture {
    let mut fixture = Fixture::start_on_link(CONTROL_LINK_MBPS).await;
    fixture.publish(&layout(1)).await;
    for _ in 1..gateways {
        fixture.add_gateway().await;
    }
    wait_until(|| fixture.gateways().iter().all(|it| it.is_ready())).await;
    fixture
}

/// Publishes version 2 with a thousand more routes, and checks that it comes into force in time.
async fn publish_large_layout(fixture: &Fixture) {
    fixture.publish(&large_layout(2)).await;
    let published_at = Instant::now();
    let gateways = fixture.gateways();
    wait_until(|| gateways.iter().all(|it| it.layout_version() == Some(2))).await;
    let took = published_at.elapsed();
    assert!(took < IN_FORCE, "in force everywhere after {took:?}");
}

/// A change of many routes reached the last gateways only after one replica had sent a copy to each of them.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_configuration_is_not_delayed_by_one_slow_control_link() {
    let fixture = start_fleet(GATEWAYS).await;
    publish_large_layout(&fixture).await;
}

/// Connects to control as a router that reports each announced version as installed, and that accepts connections of
/// other routers without responding to them.
async fn start_silent_router(control: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind");
    let addr = listener.local_addr().expect("no local address");
    let traffic = Traffic::default();
    let dialer = Dialer { identity: None, traffic, class: TrafficClass::Control };
    let stream = Peer::new(control, dialer).open(WATCH_PATH).await.expect("failed to open");
    let (mut send, mut recv) = stream.split();
    let hello = WatchHello { addr, domain: Domain("d0".into()), version: None };
    send.send(&hello).await.expect("failed to send");
    tokio::spawn(async move {
        while let Ok(Some(update)) = recv.recv::<WatchUpdate>().await {
            if let WatchUpdate::Announce { version } = update {
                let installed_version = Some(version);
                let _ = send.send(&WatchRequest::Layout { installed_version }).await;
            }
        }
    });
    listener
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unresponsive_gateways_do_not_keep_a_configuration_from_others() {
    let fixture = start_fleet(10).await;
    let mut silent = Vec::new();
    for _ in 0..3 {
        silent.push(start_silent_router(fixture.control_addr()).await);
    }
    publish_large_layout(&fixture).await;
}

/// The endpoints of a fleet of the users' size at 300 hosts.
const ENDPOINTS: u16 = 3_000;

fn endpoints() -> Vec<ListedEndpoint> {
    let endpoint = |at: u16| {
        let [high, low] = at.to_be_bytes();
        ListedEndpoint {
            id: format!("i-{:010x}", u64::from(at).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24)
                .into(),
            service: "model".into(),
            addr: ([10, 1, high, low], 8_000).into(),
            domain: Domain("d0".into()),
            slots: 16,
            draining: false,
            started_at_ms: None,
            build: None,
        }
    };
    (0..ENDPOINTS).map(endpoint).collect()
}

/// Gateways that started together waited until one replica had sent the list of endpoints to each.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn list_of_endpoints_is_not_delayed_by_one_slow_control_link() {
    let mut fixture = Fixture::start_listing_on_link(&endpoints(), CONTROL_LINK_MBPS).await;
    fixture.publish(&layout(1)).await;
    wait_until(|| fixture.gateway.is_ready()).await;
    let started_at = Instant::now();
    for _ in 1..GATEWAYS {
        fixture.add_gateway().await;
    }
    wait_until(|| fixture.gateways().iter().all(|it| it.is_ready())).await;
    let took = started_at.elapsed();
    assert!(took < IN_FORCE, "all gateways are ready after {took:?}");
}
