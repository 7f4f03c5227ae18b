//! A request that crashes each endpoint that begins to answer it, and sound ones that resemble it.

mod common;

use {
    common::{Client, CrashingEndpoints, Fixture, Framing, Trigger, layout, route, wait_until},
    route::{RouteKind, RoutingConfig, Service, WeightedService},
    rstest::rstest,
    smallvec::smallvec,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// How long gateways may take to agree.
const CONTACT: Duration = Duration::from_secs(3);

/// The crashes after which gateways must agree.
const FREE_CRASHES: usize = 3;

/// How many more returns of the request may reach endpoints.
const MAX_LATE_ARRIVALS: usize = 3;

/// The path of all requests.
const PATH: &str = "/stream/library/document";

/// The time between two returns of the request.
const RETURN_INTERVAL: Duration = Duration::from_millis(400);

/// The time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a request without a body whose attempt id is new.
fn client(addr: SocketAddr) -> Client {
    Client::new(addr).attempt(&format!("r{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)))
}

/// A request that differs in one respect from the one that crashes endpoints.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Sound {
    /// It is for another host, whose route leads to another service.
    OtherHost,
    /// It has another method.
    OtherMethod,
}

impl Sound {
    fn client(self, addr: SocketAddr) -> Client {
        match self {
            Sound::OtherHost => client(addr).host("i"),
            Sound::OtherMethod => client(addr).method("POST"),
        }
    }

    async fn is_served(self, addr: SocketAddr) -> bool {
        let response = self.client(addr).call(PATH).await;
        response.status == 200 && response.complete
    }
}

/// Returns a configuration whose host `i` has the same paths as `h`, and another service.
fn two_hosts(version: u64) -> RoutingConfig {
    let mut layout = layout(version);
    let mut other = route("stream", RouteKind::Stream, "other");
    (other.name, other.host) = ("other-stream".into(), "i".into());
    layout.routes.push(other);
    let model = layout.services.iter().find(|it| &*it.name == "model");
    let other = Service { name: "other".into(), ..model.expect("no such service").clone() };
    layout.services.push(other);
    layout
}

/// Three gateways before endpoints that crash on a request with the method GET, and sound ones of another
/// service.
struct Fleet {
    fixture: Fixture,
    crashing: CrashingEndpoints,
    _other: CrashingEndpoints,
}

impl Fleet {
    async fn start() -> Fleet {
        let crashing = CrashingEndpoints::start(6, Framing::Chunks).await;
        let other = CrashingEndpoints::start_service("other", 2, Framing::Chunks).await;
        let listed = [crashing.listed(), other.listed()].concat();
        let mut fixture = Fixture::start(&two_hosts(1), &listed).await;
        crashing.set_list_with(fixture.list(), &other.listed());
        fixture.add_gateway_in("d1").await;
        fixture.add_gateway_in("d2").await;
        wait_until(|| fixture.gateways().iter().all(|it| it.is_ready())).await;
        sleep(common::MEMBERSHIP_DELAY).await;
        crashing.set_trigger(Some(Trigger::Method("GET")));
        Fleet { fixture, crashing, _other: other }
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.fixture.gateways().iter().map(|it| it.addr()).collect()
    }

    /// Sends the request to one gateway after the other until it doesn't reach an endpoint any more.
    async fn crash_until_refused(&self) {
        for addr in self.addrs().into_iter().cycle().take(12) {
            let before = self.crashing.arrivals().len();
            let response = client(addr).call(PATH).await;
            sleep(RETURN_INTERVAL).await;
            if response.status == 503 && before > 0 && self.crashing.arrivals().len() == before {
                return;
            }
        }
        panic!("the request was never refused");
    }
}

/// An answer to a sound request counted as one to the request that crashes endpoints, as both had the
/// same path, team and body, so that the latter was never quarantined (review/12).
#[rstest]
#[case::other_host(Sound::OtherHost)]
#[case::other_method(Sound::OtherMethod)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashing_request_is_stopped_beside_a_sound_one_that_resembles_it(#[case] sound: Sound) {
    let fleet = Fleet::start().await;
    let addrs = fleet.addrs();
    let until = Instant::now() + Duration::from_secs(10);
    let sound_addrs = addrs.clone();
    let clients = tokio::spawn(async move {
        let mut served = Vec::new();
        for addr in sound_addrs.into_iter().cycle() {
            let sent_at = Instant::now();
            if sent_at >= until {
                return served;
            }
            served.push((sent_at, tokio::spawn(async move { sound.is_served(addr).await })));
            sleep(SOUND_INTERVAL).await;
        }
        served
    });
    for addr in addrs.into_iter().cycle() {
        if Instant::now() >= until {
            break;
        }
        client(addr).call(PATH).await;
        sleep(RETURN_INTERVAL).await;
    }
    let crashes = fleet.crashing.crashes();
    let third = crashes.get(FREE_CRASHES - 1).or(crashes.last()).copied().expect("no crash");
    let late = fleet.crashing.arrivals().iter().filter(|it| **it > third + CONTACT).count();
    let (mut sent, mut served) = (0, 0);
    for (sent_at, client) in clients.await.expect("a client panicked") {
        let is_served = client.await.expect("a client panicked");
        if sent_at > third + CONTACT {
            sent += 1;
            served += usize::from(is_served);
        }
    }
    let summary = format!("{} crashes, {late} late, {served} of {sent} served", crashes.len());
    println!("{summary}");
    assert!(late <= MAX_LATE_ARRIVALS, "{summary}");
    assert!(sent >= 20 && served == sent, "{summary}");
}

/// A request that is quarantined kept sound ones away that had its path, team and body, those of
/// another host and service too.
#[rstest]
#[case::other_host(Sound::OtherHost)]
#[case::other_method(Sound::OtherMethod)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sound_request_is_served_after_one_that_resembles_it_was_quarantined(#[case] sound: Sound) {
    let fleet = Fleet::start().await;
    fleet.crash_until_refused().await;
    for addr in fleet.addrs() {
        assert!(sound.is_served(addr).await, "refused at {addr}");
    }
}

/// What happens between two returns of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Meanwhile {
    Nothing,
    /// Its route has another name.
    Renamed,
    /// A route with a longer prefix takes its place.
    Moved,
    /// Its route leads to two services.
    Split,
}

impl Meanwhile {
    fn layout(self, version: u64) -> RoutingConfig {
        let mut layout = two_hosts(version);
        let route = layout.routes.iter_mut().find(|it| &*it.prefix == "/stream/");
        let route = route.expect("no such route");
        match self {
            Meanwhile::Nothing => {}
            Meanwhile::Renamed => route.name = "renamed".into(),
            Meanwhile::Moved => route.prefix = "/stream/library/".into(),
            Meanwhile::Split => {
                let split = |service: &str| WeightedService { service: service.into(), weight: 1 };
                route.split = smallvec![split("model"), split("other")];
            }
        }
        layout
    }
}

/// Whatever distinguishes requests must be the same for each return of one, in whatever way the
/// client spells its host and wherever its route leads by then.
#[rstest]
#[case::same_spelling("h", Meanwhile::Nothing)]
#[case::capital_host("H", Meanwhile::Nothing)]
#[case::host_with_a_port("h:8080", Meanwhile::Nothing)]
#[case::renamed_route("h", Meanwhile::Renamed)]
#[case::moved_route("h", Meanwhile::Moved)]
#[case::split_route("h", Meanwhile::Split)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quarantined_request_is_refused_however_it_returns(
    #[case] host: &str,
    #[case] meanwhile: Meanwhile,
) {
    let fleet = Fleet::start().await;
    fleet.crash_until_refused().await;
    if meanwhile != Meanwhile::Nothing {
        fleet.fixture.publish(&meanwhile.layout(2)).await;
        sleep(CONTACT).await;
    }
    let before = fleet.crashing.arrivals().len();
    for addr in fleet.addrs() {
        // On a split route each return may go to another service.
        for _ in 0..4 {
            let response = client(addr).host(host).call(PATH).await;
            assert_eq!(response.status, 503, "{response:?}");
        }
    }
    assert_eq!(fleet.crashing.arrivals().len(), before, "it reached an endpoint again");
}

/// The body of a return may still be arriving when the request is quarantined.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_whose_body_arrives_after_it_was_quarantined_is_refused() {
    let fleet = Fleet::start().await;
    let addrs = fleet.addrs();
    let returning = |addr| client(addr).method("GET").body("text");
    let mut slow = returning(addrs[2]).connect_now();
    slow.send_head(PATH, "text".len());
    slow.send_bytes(b"te");
    for addr in addrs.iter().cycle().take(6) {
        returning(*addr).call(PATH).await;
        sleep(RETURN_INTERVAL).await;
    }
    let before = fleet.crashing.arrivals().len();
    slow.send_bytes(b"xt");
    assert_eq!(slow.response().await.status, 503);
    assert_eq!(fleet.crashing.arrivals().len(), before, "it reached an endpoint again");
}
