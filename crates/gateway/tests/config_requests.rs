//! Requests for a configuration or a list of endpoints while some of those that have it do not send it.

mod common;

use {
    common::{
        Client, Endpoint, HEARTBEAT_INTERVAL, Liveness, OnRequest, Replica, StaticList, TEAM_KEY,
        free_port, gateway_settings, start_gateway, wait_until,
    },
    directory::ListedEndpoint,
    gateway::Gateway,
    model::Domain,
    rstest::rstest,
    settings::GatewaySettings,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpListener,
        time::{Instant, sleep},
    },
    wire::{Listener, Traffic, msg::WatchUpdate},
};

/// The time within which a change must be in force on the users' platform.
const IN_FORCE: Duration = Duration::from_millis(2_500);

/// The time within which endpoints must be drained on the users' platform, less that which a replica may take to read the
/// list of endpoints.
const DRAINED: Duration = Duration::from_millis(3_000 - 500);

/// The time after which a gateway has read the list of endpoints itself if no replica lists them.
const SELF_READ: Duration = Duration::from_millis(5_000);

/// How much earlier one replica announces a configuration than the others.
const HEAD_START: Duration = Duration::from_millis(50);

/// The interval between changes that follow each other.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// The last version of changes that follow each other, for longer than [`IN_FORCE`].
const LAST_VERSION: u64 = 50;

/// The interval between the messages of a gateway that is slow to send the configuration.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

fn entry(id: &str, addr: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        service: "plain".into(),
        addr,
        domain: Domain("d0".into()),
        slots: 8,
        draining: false,
        started_at_ms: None,
        build: None,
    }
}

/// Returns a list with an endpoint, without which a gateway has not started.
fn list() -> StaticList {
    list_of(([127, 0, 0, 1], 1).into())
}

fn list_of(endpoint: SocketAddr) -> StaticList {
    let list = StaticList::default();
    list.replace(&[entry("e0", endpoint)]);
    list
}

/// Starts a gateway that watches three replicas, and waits until it has heard of version 1 from all of them.
async fn start() -> (Gateway, [Replica; 3]) {
    start_with(list()).await
}

async fn start_with(list: StaticList) -> (Gateway, [Replica; 3]) {
    start_among(list, Liveness::Alive).await
}

/// Starts a gateway with this list and three replicas that are in this state from the start.
async fn start_among(list: StaticList, liveness: Liveness) -> (Gateway, [Replica; 3]) {
    let replicas = [Replica::start().await, Replica::start().await, Replica::start().await];
    replicas.iter().for_each(|it| it.set_liveness(liveness));
    let control = replicas.iter().map(|it| it.addr).collect();
    let settings = GatewaySettings { control, ..gateway_settings(replicas[0].addr) };
    let gateway = start_gateway(settings, list).await;
    wait_until(|| gateway.layout_version() == Some(1)).await;
    wait_until(|| replicas.iter().all(|it| it.script.receiver_count() > 0)).await;
    (gateway, replicas)
}

/// Starts another gateway, which sends something from time to time, but not the configuration.
async fn start_slow_gateway() -> SocketAddr {
    let listener = Listener::bind(([127, 0, 0, 1], 0).into(), None, Traffic::default()).await;
    let mut listener = listener.expect("failed to bind");
    let addr = listener.addr();
    tokio::spawn(async move {
        while let Some(incoming) = listener.accept().await {
            tokio::spawn(async move {
                let (mut send, _recv) = incoming.stream.split();
                let evacuations = WatchUpdate::Evacuations { revision: 0, domains: Vec::new() };
                while send.send(&evacuations).await.is_ok() {
                    sleep(MESSAGE_INTERVAL).await;
                }
            });
        }
    });
    addr
}

/// Publishes version 2, first at the first replica, and checks that it comes into force in time.
async fn publish_and_check(gateway: &Gateway, replicas: &[Replica; 3], on_request: [OnRequest; 3]) {
    let published_at = Instant::now();
    for (replica, on_request) in replicas.iter().zip(on_request) {
        replica.publish(2, on_request);
        sleep(HEAD_START).await;
    }
    while gateway.layout_version() != Some(2) {
        assert!(published_at.elapsed() < IN_FORCE, "not in force after {IN_FORCE:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[rstest]
#[case::first_is_silent([OnRequest::Ignore, OnRequest::Send, OnRequest::Send])]
#[case::two_are_silent([OnRequest::Ignore, OnRequest::Ignore, OnRequest::Send])]
#[case::others_end_their_streams([OnRequest::Ignore, OnRequest::Close, OnRequest::Send])]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_is_not_delayed_by_replicas_that_do_not_send_it(
    #[case] on_request: [OnRequest; 3],
) {
    let (gateway, replicas) = start().await;
    publish_and_check(&gateway, &replicas, on_request).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_is_not_delayed_by_a_referral_to_a_slow_gateway() {
    let (gateway, replicas) = start().await;
    let slow = OnRequest::Refer(start_slow_gateway().await);
    publish_and_check(&gateway, &replicas, [slow, OnRequest::Send, OnRequest::Send]).await;
}

/// A replica that is the first to announce each version was asked for each of them, and none of the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configurations_are_not_delayed_by_a_silent_replica_while_changes_follow_each_other() {
    let (gateway, replicas) = start().await;
    let mut published = Vec::new();
    for version in 2..=LAST_VERSION {
        let on_request = [OnRequest::Ignore, OnRequest::Send, OnRequest::Send];
        for (replica, on_request) in replicas.iter().zip(on_request) {
            replica.publish(version, on_request);
            sleep(CHANGE_INTERVAL / 4).await;
        }
        published.push((version, Instant::now()));
        sleep(CHANGE_INTERVAL / 4).await;
        let due = published.iter().rfind(|it| it.1.elapsed() > IN_FORCE).map(|it| it.0);
        let installed = gateway.layout_version();
        assert!(installed >= due, "version {installed:?} is in force, {due:?} is due");
    }
}

/// A gateway lost all replicas that it watched just before they would have announced a version.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_is_had_from_another_gateway_when_no_watched_replica_announces_it() {
    let (gateway, replicas) = start().await;
    let other_replica = Replica::start().await;
    let settings = GatewaySettings { inner: free_port(), ..gateway_settings(other_replica.addr) };
    let other_addr = settings.inner;
    let other = start_gateway(settings, list()).await;
    wait_until(|| other.is_ready() && gateway.is_ready()).await;
    replicas.iter().for_each(|it| it.name_routers(&[other_addr]));
    sleep(HEARTBEAT_INTERVAL).await;
    replicas.iter().for_each(|it| it.set_liveness(Liveness::Stopped));
    other_replica.publish(2, OnRequest::Send);
    wait_until(|| other.layout_version() == Some(2)).await;
    let published_at = Instant::now();
    wait_until(|| gateway.layout_version() == Some(2)).await;
    let took = published_at.elapsed();
    assert!(took < IN_FORCE, "in force after {took:?}");
}

/// The list of endpoints came from a replica that was killed, while two others had a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn list_of_endpoints_is_not_kept_from_a_silent_replica() {
    let endpoints = [Endpoint::start([]).await, Endpoint::start([]).await];
    let entries = [entry("e0", endpoints[0].addr), entry("e1", endpoints[1].addr)];
    let (gateway, replicas) = start().await;
    // The gateway has its list from the only one that has read it.
    replicas[0].list_endpoints(&entries[..1]);
    let client = Client::new(gateway.addr());
    wait_until(|| gateway.is_ready()).await;
    while client.clone().call("/read/").await.status != 200 {
        sleep(Duration::from_millis(20)).await;
    }
    replicas[1..].iter().for_each(|it| it.list_endpoints(&entries[..1]));
    sleep(HEARTBEAT_INTERVAL * 2).await;
    replicas[0].set_liveness(Liveness::Frozen);
    replicas[1..].iter().for_each(|it| it.list_endpoints(&entries[1..]));
    let listed_at = Instant::now();
    while endpoints[1].received().is_empty() {
        assert!(listed_at.elapsed() < DRAINED, "not in use after {DRAINED:?}");
        client.clone().call("/read/").await;
        sleep(Duration::from_millis(20)).await;
    }
}

/// Gateways that were stopped still accept connections, as their sockets live on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_is_not_delayed_by_referrals_to_stopped_gateways() {
    let (gateway, replicas) = start().await;
    let mut stopped = Vec::new();
    for _ in 0..2 {
        stopped.push(TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind"));
    }
    let refer = |it: &TcpListener| OnRequest::Refer(it.local_addr().expect("no local address"));
    let on_request = [refer(&stopped[0]), refer(&stopped[1]), OnRequest::Send];
    publish_and_check(&gateway, &replicas, on_request).await;
}

/// Callers got 404 or 401 from a gateway that had heard of the version that allows their requests.
#[rstest]
#[case::route("/added/", TEAM_KEY, 404)]
#[case::key("/write/", "new-key", 401)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_an_announced_version_may_allow_is_not_refused_for_good(
    #[case] path: &str,
    #[case] key: &str,
    #[case] refusal: u16,
) {
    let endpoint = Endpoint::start([]).await;
    let (gateway, replicas) = start_with(list_of(endpoint.addr)).await;
    wait_until(|| gateway.is_ready()).await;
    let client = Client::new(gateway.addr()).key(Some(key)).body("x");
    assert_eq!(client.clone().call(path).await.status, refusal);
    replicas.iter().for_each(|it| it.publish(2, OnRequest::Ignore));
    sleep(HEAD_START).await;
    let response = client.clone().call(path).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some(), "{response:?}");
    assert!(response.elapsed < IN_FORCE, "{response:?}");
    let known = Client::new(gateway.addr()).body("x").call("/write/").await;
    assert_eq!(known.status, 200);
    assert!(known.elapsed < Duration::from_millis(500), "{known:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_on_an_announced_route_is_served_when_its_version_arrives() {
    let endpoint = Endpoint::start([]).await;
    let (gateway, replicas) = start_with(list_of(endpoint.addr)).await;
    wait_until(|| gateway.is_ready()).await;
    replicas[0].publish(2, OnRequest::Ignore);
    sleep(HEAD_START).await;
    replicas[1].publish(2, OnRequest::Send);
    let client = Client::new(gateway.addr()).body("x");
    let response = client.clone().call("/added/").await;
    assert_eq!((response.status, response.body.as_str()), (200, "whole"));
    let started = Instant::now();
    assert_eq!(client.call("/none/").await.status, 404);
    assert!(started.elapsed() < Duration::from_millis(500));
}

/// Gateways that restarted together with all control replicas answered 404 or 401 for what an acknowledged configuration
/// allows: until there is a leader, a replica sends the configuration of which it knew before that it is committed.
#[rstest]
#[case::route("/added/", TEAM_KEY)]
#[case::key("/write/", "new-key")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_gateway_refuses_no_request_for_good_before_a_replica_hears_of_a_leader(
    #[case] path: &str,
    #[case] key: &str,
) {
    let endpoint = Endpoint::start([]).await;
    let (gateway, replicas) = start_among(list_of(endpoint.addr), Liveness::Leaderless).await;
    wait_until(|| gateway.is_ready()).await;
    let client = Client::new(gateway.addr()).key(Some(key)).body("x");
    let response = client.call(path).await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some(), "{response:?}");
    let known = Client::new(gateway.addr()).body("x").call("/write/").await;
    assert_eq!(known.status, 200);
    for replica in &replicas {
        replica.set_liveness(Liveness::Alive);
        replica.publish(2, OnRequest::Send);
    }
    wait_until(|| gateway.layout_version() == Some(2)).await;
    let added = Client::new(gateway.addr()).body("x").call("/added/").await;
    assert_eq!(added.status, 200);
}

/// The only replica that lists endpoints could not do so for some time, and what the gateway then read itself lacked one.
/// The list of the replica is the same afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn list_that_a_gateway_read_itself_is_replaced_once_control_lists_endpoints_again() {
    let endpoints = [Endpoint::start([]).await, Endpoint::start([]).await];
    let entries = [entry("e0", endpoints[0].addr), entry("e1", endpoints[1].addr)];
    let (gateway, replicas) = start_with(list_of(endpoints[0].addr)).await;
    replicas[0].list_endpoints(&entries);
    wait_until(|| gateway.is_ready()).await;
    let client = Client::new(gateway.addr());
    wait_for_use(&client, &endpoints[1]).await;
    replicas[0].set_listing(false);
    sleep(SELF_READ).await;
    let used = endpoints[1].received().len();
    for _ in 0..20 {
        assert_eq!(client.clone().call("/read/").await.status, 200);
    }
    assert_eq!(endpoints[1].received().len(), used, "the gateway does not read the list itself");
    replicas[0].set_listing(true);
    wait_for_use(&client, &endpoints[1]).await;
}

/// Calls until an endpoint has received one more request, which must be soon.
async fn wait_for_use(client: &Client, endpoint: &Endpoint) {
    let (used, started) = (endpoint.received().len(), Instant::now());
    while endpoint.received().len() == used {
        assert!(started.elapsed() < DRAINED, "not in use after {DRAINED:?}");
        client.clone().call("/read/").await;
        sleep(Duration::from_millis(20)).await;
    }
}
