//! Configurations from control replicas that do not know all of their fields.

mod common;

use {
    common::{
        Client, Endpoint, StaticList, free_port, gateway_settings, layout, regions, start_gateway,
        wait_until,
    },
    directory::ListedEndpoint,
    gateway::Gateway,
    model::Domain,
    route::{ColdStart, Decoded, FIELD_LEVEL, RouteDelta, RoutingConfig},
    settings::GatewaySettings,
    smallvec::smallvec,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
    wire::{
        Compressed, Dialer, Listener, Peer, Stream, Traffic, TrafficClass,
        msg::{RELAY_PATH, RelayRequest, WatchHello, WatchRequest, WatchUpdate},
    },
};

/// Longer than a gateway waits between requests to several replicas.
const REQUEST_TIME: Duration = Duration::from_millis(1_500);

/// The requests for the configuration that a replica received.
type Requests = Arc<Mutex<Vec<Option<u64>>>>;

/// A control replica that knows the fields up to `level`, and sends a delta from the version before.
struct Replica {
    addr: SocketAddr,
    requests: Requests,
}

impl Replica {
    async fn start(config: &RoutingConfig, delta: Option<RouteDelta>, level: u32) -> Replica {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), None, Traffic::default()).await;
        let mut listener = listener.expect("failed to bind");
        let addr = listener.addr();
        let full = config.encode(level).expect("failed to encode");
        let full = WatchUpdate::Layout(Compressed::compress(&full).expect("failed to compress"));
        let delta = delta.map(|it| {
            let base = it.base;
            let bytes = it.encode(level).expect("failed to encode");
            let compressed = Compressed::compress(&bytes).expect("failed to compress");
            (base, WatchUpdate::LayoutDelta(compressed))
        });
        let requests = Requests::default();
        let (version, received) = (config.version, requests.clone());
        tokio::spawn(async move {
            while let Some(incoming) = listener.accept().await {
                let (full, delta) = (full.clone(), delta.clone());
                tokio::spawn(watch(incoming.stream, version, full, delta, received.clone()));
            }
        });
        Replica { addr, requests }
    }

    fn requests(&self) -> Vec<Option<u64>> {
        self.requests.lock().expect("requests are poisoned").clone()
    }
}

async fn watch(
    stream: Stream,
    version: u64,
    full: WatchUpdate,
    delta: Option<(u64, WatchUpdate)>,
    requests: Requests,
) {
    let (mut send, mut recv) = stream.split();
    let Ok(Some(WatchHello { .. })) = recv.recv().await else { return };
    send.send(&WatchUpdate::Announce { version }).await.expect("failed to announce");
    loop {
        let heartbeat = WatchUpdate::Heartbeat { has_leader: true, listing_is_recent: false };
        if send.send(&heartbeat).await.is_err() {
            return;
        }
        let received = timeout(Duration::from_millis(200), recv.recv::<WatchRequest>()).await;
        let installed_version = match received {
            Ok(Ok(Some(WatchRequest::Layout { installed_version }))) => installed_version,
            Ok(Ok(Some(WatchRequest::Catalog))) | Err(_) => continue,
            Ok(_) => return,
        };
        requests.lock().expect("requests are poisoned").push(installed_version);
        let delta = delta.as_ref().filter(|it| Some(it.0) == installed_version);
        let update = match installed_version {
            Some(it) if it >= version => continue,
            _ => delta.map_or(&full, |it| &it.1),
        };
        if send.send(update).await.is_err() {
            return;
        }
    }
}

async fn start(control: &[SocketAddr]) -> (Gateway, SocketAddr) {
    start_with(control, StaticList::default()).await
}

async fn start_with(control: &[SocketAddr], list: StaticList) -> (Gateway, SocketAddr) {
    let inner = free_port();
    let settings = GatewaySettings {
        inner,
        control: control.to_vec(),
        regions: regions(),
        ..gateway_settings(control[0])
    };
    (start_gateway(settings, list).await, inner)
}

/// Returns the configuration that a gateway sends to another one.
async fn relayed(gateway: SocketAddr) -> Decoded<RoutingConfig> {
    let dialer =
        Dialer { identity: None, traffic: Traffic::default(), class: TrafficClass::Control };
    let stream = Peer::new(gateway, dialer).open(RELAY_PATH).await.expect("failed to open");
    let (mut send, mut recv) = stream.split();
    let request = RelayRequest { installed_version: None, wants_catalog: false };
    send.send(&request).await.expect("failed to send");
    match recv.recv().await {
        Ok(Some(WatchUpdate::Layout(it))) => {
            let bytes = it.decompress().expect("failed to decompress");
            RoutingConfig::decode(&bytes).expect("failed to decode")
        }
        other => panic!("unexpected reply: {other:?}"),
    }
}

fn restricted(version: u64) -> RoutingConfig {
    let mut config = layout(version);
    config.routes[0].regions = smallvec!["north".into()];
    config.teams[0].regions = smallvec!["north".into(), "south".into()];
    config.services[0].cold = Some(ColdStart { start_ms: 1_000.0, rate: 8.0 });
    config
}

/// Guards against a restriction that is lost until the next version, because an old replica was the
/// first to send this one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_fields_are_requested_from_another_replica() {
    let old = Replica::start(&restricted(1), None, 0).await;
    let (gateway, inner) = start(&[old.addr]).await;
    wait_until(|| gateway.layout_version() == Some(1)).await;
    assert_eq!(relayed(inner).await.level, 0, "fields are passed on that the gateway lacks");
    let new = Replica::start(&restricted(1), None, FIELD_LEVEL).await;
    gateway.set_control_addrs(vec![old.addr, new.addr]);
    wait_until(|| !new.requests().is_empty()).await;
    sleep(REQUEST_TIME).await;
    let relayed = relayed(inner).await;
    assert_eq!((relayed.value, relayed.level), (restricted(1), FIELD_LEVEL));
    assert_eq!(new.requests()[0], None);
}

/// Guards against gateways that keep asking a group of old replicas, whose links are slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_replica_without_the_fields_is_asked_once() {
    let replicas = [
        Replica::start(&restricted(1), None, 0).await,
        Replica::start(&restricted(1), None, 0).await,
        Replica::start(&restricted(1), None, 0).await,
    ];
    let (gateway, inner) = start(&replicas.each_ref().map(|it| it.addr)).await;
    wait_until(|| gateway.layout_version() == Some(1)).await;
    sleep(3 * REQUEST_TIME).await;
    let requests = replicas.each_ref().map(Replica::requests);
    assert!(requests.iter().flatten().count() <= replicas.len() + 1, "{requests:?}");
    assert!(requests.iter().all(|it| it.iter().filter(|it| it.is_none()).count() <= 1));
    assert_eq!(relayed(inner).await.level, 0);
}

/// Guards against a restriction that ends because an old replica sends the next version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delta_without_the_fields_keeps_those_in_force() {
    let new = Replica::start(&restricted(1), None, FIELD_LEVEL).await;
    let endpoint = Endpoint::start([]).await;
    let entry = endpoint.listing_entry("plain", "e");
    let list = StaticList::default();
    // Not in the region of the route.
    list.replace(&[ListedEndpoint { domain: Domain("d2".into()), ..entry }]);
    let (gateway, inner) = start_with(&[new.addr], list).await;
    wait_until(|| gateway.is_ready() && gateway.layout_version() == Some(1)).await;
    let mut next = layout(2);
    next.routes[0].timeout_ms += 1;
    let delta = RouteDelta::between(&layout(1), &next);
    let old = Replica::start(&next, Some(delta), 0).await;
    gateway.set_control_addrs(vec![old.addr]);
    wait_until(|| gateway.layout_version() == Some(2)).await;
    assert_eq!(relayed(inner).await.level, 0);
    assert_eq!(Client::new(gateway.addr()).call("/read/").await.status, 503);
    assert_eq!(endpoint.received().len(), 0, "the restriction ended");
    let mut expected = restricted(2);
    expected.routes[0].timeout_ms += 1;
    let newer = Replica::start(&expected, None, FIELD_LEVEL).await;
    gateway.set_control_addrs(vec![old.addr, newer.addr]);
    wait_until(|| !newer.requests().is_empty()).await;
    sleep(REQUEST_TIME).await;
    let relayed = relayed(inner).await;
    assert_eq!((relayed.value, relayed.level), (expected, FIELD_LEVEL));
}
