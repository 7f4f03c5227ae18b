//! Endpoints of an evacuated domain get no requests, whatever the gateway hears afterwards.

mod common;

use {
    common::{Behavior, Client, Endpoint, Fixture, layout, wait_until},
    control::OrderRequest,
    directory::{Catalog, ListedEndpoint},
    model::Domain,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep, timeout},
    wire::{
        Dialer, Peer, Traffic, TrafficClass,
        msg::{
            DETOUR_PATH, DetourRefusal, DetourReply, DetourRequest, RELAY_PATH, RelayRequest,
            WATCH_PATH, WatchHello, WatchUpdate,
        },
    },
};

/// The time within which an acknowledged order is in force, from the requirements.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(5_000);

const EVACUATED: &str = "d9";

async fn start() -> (Fixture, [Endpoint; 2], [ListedEndpoint; 2]) {
    // Requests take long enough that those sent at once need both endpoints.
    let slow = || vec![Behavior::Delayed(50, Box::new(Behavior::Respond)); 10_000];
    let endpoints = [Endpoint::start(slow()).await, Endpoint::start(slow()).await];
    let list = [
        endpoints[0].listing_entry("plain", "e0"),
        ListedEndpoint {
            domain: Domain(EVACUATED.into()),
            ..endpoints[1].listing_entry("plain", "e1")
        },
    ];
    let fixture = Fixture::start(&layout(1), &list).await;
    (fixture, endpoints, list)
}

async fn order(fixture: &Fixture, active: bool) {
    let domain = Domain(EVACUATED.into());
    let request = OrderRequest { domain, by: "omar".into(), operation: None };
    let store = fixture.evacuations();
    let ordered = match active {
        true => store.order(request).await,
        false => store.withdraw(request).await,
    };
    ordered.expect("the order was not acknowledged");
}

async fn send(fixture: &Fixture, round: usize) {
    send_to(fixture.addr, round).await;
}

/// Sends more requests at once than one endpoint takes.
async fn send_to(gateway: SocketAddr, round: usize) {
    let mut calls = Vec::new();
    for at in 0..14 {
        let client = Client::new(gateway).attempt(&format!("r{round}-{at}"));
        calls.push(tokio::spawn(async move { client.call("/read/").await }));
    }
    for call in calls {
        call.await.unwrap();
    }
}

/// Waits until requests reach the endpoint of the domain, or until none does.
async fn wait_until_used(fixture: &Fixture, endpoint: &Endpoint, is_used: bool) {
    let deadline = Instant::now() + IN_FORCE_LIMIT;
    for round in 0.. {
        let before = endpoint.received().len();
        send(fixture, round).await;
        if (endpoint.received().len() > before) == is_used {
            return;
        }
        assert!(Instant::now() < deadline, "not in force in time");
        sleep(Duration::from_millis(50)).await;
    }
}

fn peer(addr: SocketAddr, protocol: u32) -> Peer {
    let (traffic, class) = (Traffic::default(), TrafficClass::Control);
    Peer::new(addr, Dialer { identity: None, traffic, class }).with_protocol(protocol)
}

/// Returns the internal address of the gateway, which control tells all gateways.
async fn internal_addr(fixture: &Fixture) -> SocketAddr {
    let mut stream = peer(fixture.control_addr(), 0).open(WATCH_PATH).await.unwrap();
    let addr = "127.0.0.1:1".parse().unwrap();
    let hello = WatchHello { addr, domain: Domain("d0".into()), version: None };
    stream.send.send(&hello).await.unwrap();
    loop {
        let update = stream.recv.recv().await.unwrap().unwrap();
        let (WatchUpdate::Fleet { routers, .. } | WatchUpdate::FleetDelta { added: routers, .. }) =
            update
        else {
            continue;
        };
        if let Some(found) = routers.iter().find(|it| it.0 != addr) {
            return found.0;
        }
    }
}

/// An endpoint list and a configuration that arrive later name the endpoints of the domain as before.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_endpoints_get_nothing_until_the_order_is_withdrawn() {
    let (fixture, endpoints, list) = start().await;
    wait_until_used(&fixture, &endpoints[1], true).await;
    order(&fixture, true).await;
    wait_until_used(&fixture, &endpoints[1], false).await;
    let before = endpoints[1].received().len();
    let mut changed = list.clone();
    changed[1].slots += 1;
    fixture.set_endpoints(&changed);
    fixture.publish(&layout(2)).await;
    wait_until(|| fixture.gateway.layout_version() == Some(2)).await;
    for round in 0..10 {
        send(&fixture, 100 + round).await;
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(endpoints[1].received().len(), before);
    order(&fixture, false).await;
    wait_until_used(&fixture, &endpoints[1], true).await;
}

/// The order stops new requests only, so a stream must reach its end.
#[tokio::test(flavor = "multi_thread")]
async fn running_request_goes_on() {
    let endpoint = Endpoint::start([Behavior::PausedEvents(0..2, 1_500, 2..4)]).await;
    let entry = ListedEndpoint {
        domain: Domain(EVACUATED.into()),
        ..endpoint.listing_entry("model", "e1")
    };
    let fixture = Fixture::start(&layout(1), &[entry]).await;
    let client = Client::new(fixture.addr).attempt("s1");
    let call = tokio::spawn(async move { client.call("/stream/").await });
    wait_until(|| endpoint.active() == 1).await;
    sleep(Duration::from_millis(300)).await;
    order(&fixture, true).await;
    let response = call.await.unwrap();
    assert!(response.status == 200 && response.complete, "{response:?}");
}

/// A gateway that has just started has the set from others if control is slow, and one of 0d4d3b9 must get nothing that
/// it cannot decode.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_passes_the_set_on_to_new_gateways_and_draining_endpoints_to_old_ones() {
    let (fixture, endpoints, _list) = start().await;
    order(&fixture, true).await;
    wait_until_used(&fixture, &endpoints[1], false).await;
    let addr = internal_addr(&fixture).await;
    for protocol in [0, 1] {
        let mut stream = peer(addr, protocol).open(RELAY_PATH).await.unwrap();
        let request = RelayRequest { installed_version: Some(1), wants_catalog: true };
        stream.send.send(&request).await.unwrap();
        let (mut evacuated, mut draining) = (Vec::new(), Vec::new());
        while let Some(update) = stream.recv.recv::<WatchUpdate>().await.unwrap() {
            match update {
                WatchUpdate::Evacuations { domains, .. } if protocol > 0 => evacuated = domains,
                WatchUpdate::Cold { .. } if protocol > 0 => {}
                WatchUpdate::Catalog(catalog) => {
                    let listed = catalog.decode::<Catalog>().unwrap().endpoints();
                    let drains = listed.into_iter().filter(|it| it.draining);
                    draining.extend(drains.map(|it| it.id.to_string()));
                }
                update => panic!("{update:?}"),
            }
        }
        match protocol {
            0 => assert_eq!(draining, ["e1"]),
            _ => assert_eq!((evacuated, draining.len()), (vec![Domain(EVACUATED.into())], 0)),
        }
    }
}

/// A gateway that is cut off from control may ask another one for a path to an endpoint whose evacuation it has not
/// heard of.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_does_not_connect_others_to_an_evacuated_endpoint() {
    let (fixture, endpoints, list) = start().await;
    let addr = internal_addr(&fixture).await;
    let ask = async |incarnation| {
        let mut stream = peer(addr, 1).open(DETOUR_PATH).await.unwrap();
        stream.send.send(&DetourRequest::Open { incarnation }).await.unwrap();
        let reply = timeout(IN_FORCE_LIMIT, stream.recv.recv::<DetourReply>()).await.unwrap();
        reply.unwrap().unwrap()
    };
    let run = incarnation(&list[1]);
    assert_eq!(ask(run).await, DetourReply::Connected);
    order(&fixture, true).await;
    wait_until_used(&fixture, &endpoints[1], false).await;
    assert_eq!(ask(run).await, DetourReply::Refused(DetourRefusal::Closed));
}

/// Returns what identifies the run of an endpoint between gateways.
fn incarnation(endpoint: &ListedEndpoint) -> u64 {
    let mut dispatcher = dispatch::Dispatcher::new(Domain("d0".into()), 1);
    dispatcher.update_endpoints(std::slice::from_ref(endpoint));
    dispatcher.incarnations()[0].1
}

/// A gateway that starts while control runs has the set before it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn new_gateway_sends_nothing_to_evacuated_endpoints() {
    let (mut fixture, endpoints, _list) = start().await;
    order(&fixture, true).await;
    fixture.add_gateway().await;
    let gateway = fixture.take_gateway(1);
    wait_until(|| gateway.is_ready()).await;
    let before = endpoints[1].received().len();
    for round in 0..5 {
        send_to(gateway.addr(), round).await;
    }
    assert_eq!(endpoints[1].received().len(), before);
}
