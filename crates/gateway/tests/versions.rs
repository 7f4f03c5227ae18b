//! Streams of a service whose endpoints have several software versions.

mod common;

use {
    common::{
        Behavior, Client, Endpoint, Fixture, KillableGateway, ReceivedRequest, Response, layout,
        wait_until,
    },
    gateway::Gateway,
    route::{Service, WeightedService},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// How many streams a test plays. A gateway that ignores versions mixes about half of them.
const STREAMS: usize = 12;

/// Two endpoints of each version, which always follow the same behavior.
struct Endpoints {
    v1: [Endpoint; 2],
    v2: [Endpoint; 2],
}

impl Endpoints {
    async fn start(behavior: &Behavior) -> Endpoints {
        let start = || Endpoint::start(vec![behavior.clone(); 10 * STREAMS]);
        Endpoints { v1: [start().await, start().await], v2: [start().await, start().await] }
    }

    fn listing(&self) -> Vec<directory::ListedEndpoint> {
        let old = self.v1.iter().enumerate();
        let old = old.map(|(at, it)| it.versioned_entry(&format!("old{at}"), "v1"));
        let new = self.v2.iter().enumerate();
        old.chain(new.map(|(at, it)| it.versioned_entry(&format!("new{at}"), "v2"))).collect()
    }

    /// Returns each received request with the version of its endpoint.
    fn received(&self) -> Vec<(&'static str, ReceivedRequest)> {
        let old = self.v1.iter().flat_map(Endpoint::received).map(|it| ("v1", it));
        old.chain(self.v2.iter().flat_map(Endpoint::received).map(|it| ("v2", it))).collect()
    }

    /// Returns the version of the endpoint that got this attempt without `last-event-id`.
    fn began(&self, attempt: &str) -> Option<&'static str> {
        let received = self.received();
        let mut first = received.iter().filter(|(_, it)| it.header("last-event-id").is_none());
        Some(first.find(|(_, it)| it.header("attempt-id") == Some(attempt))?.0)
    }

    /// Returns the number of resumptions that endpoints received, and how many of them were at
    /// another version than the one that began the stream.
    fn resumptions(&self) -> (usize, usize) {
        let received = self.received();
        let resumed = received.iter().filter(|(_, it)| it.header("last-event-id").is_some());
        let mixed = resumed.clone().filter(|(version, it)| {
            let first = it.header("resumes").or(it.header("attempt-id")).unwrap_or_default();
            self.began(first) != Some(*version)
        });
        (resumed.count(), mixed.count())
    }
}

async fn begin(addr: SocketAddr, attempt: &str) -> Response {
    Client::new(addr).attempt(attempt).body("x").call("/resume/").await
}

async fn resume(addr: SocketAddr, attempt: &str, first: &str) -> Response {
    let client = Client::new(addr).attempt(attempt).body("x").header("last-event-id: 2");
    client.header(&format!("resumes: {first}")).call("/resume/").await
}

async fn wait_until_ready(gateways: &[&Gateway]) {
    wait_until(|| gateways.iter().all(|it| it.is_ready())).await;
    // Until each gateway knows the others.
    sleep(Duration::from_millis(1_500)).await;
}

#[tokio::test]
async fn gateway_resumes_a_stream_at_the_version_that_began_it() {
    let endpoints = Endpoints::start(&Behavior::Reset(0..3)).await;
    let fixture = Fixture::start(&layout(1), &endpoints.listing()).await;
    for at in 0..STREAMS {
        begin(fixture.addr, &format!("s{at}")).await;
    }
    let (resumptions, mixed) = endpoints.resumptions();
    assert!(resumptions >= STREAMS / 2, "{resumptions} of {STREAMS} streams were resumed");
    assert_eq!(mixed, 0, "of {resumptions} resumptions");
}

#[tokio::test]
async fn stream_is_cut_off_when_its_version_has_no_other_endpoint() {
    let only = Endpoint::start([Behavior::Reset(0..3)]).await;
    let other = Endpoint::start([Behavior::Events(3..6)]).await;
    let fixture = Fixture::start(&layout(1), &[only.versioned_entry("old0", "v1")]).await;
    fixture
        .set_endpoints(&[only.versioned_entry("old0", "v1"), other.versioned_entry("new0", "v2")]);
    for at in 0..STREAMS {
        other.set_behaviors([Behavior::Events(3..6)]);
        let response = begin(fixture.addr, &format!("s{at}")).await;
        if only.received().iter().any(|it| it.header("attempt-id") == Some(&format!("s{at}"))) {
            assert!(!response.complete);
            break;
        }
    }
    assert_eq!(only.received().len(), 1);
    assert!(other.received().iter().all(|it| it.header("last-event-id").is_none()));
}

#[tokio::test]
async fn stream_without_an_event_restarts_at_any_version() {
    let broken = Endpoint::start([Behavior::Reset(0..0)]).await;
    let sound = Endpoint::start(vec![Behavior::Events(0..2); STREAMS]).await;
    let listing = [broken.versioned_entry("old0", "v1"), sound.versioned_entry("new0", "v2")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    for at in 0..STREAMS {
        let response = begin(fixture.addr, &format!("s{at}")).await;
        assert_eq!((response.status, response.complete), (200, true));
        if !broken.received().is_empty() {
            return;
        }
    }
    panic!("no stream started on the broken endpoint");
}

#[rstest]
#[case::same_gateway(0)]
#[case::other_gateway(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_resumes_at_the_version_that_began_the_stream(#[case] at: usize) {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let mut fixture = Fixture::start(&layout(1), &endpoints.listing()).await;
    for domain in ["d0", "d1", "d1", "d2"] {
        fixture.add_gateway_in(domain).await;
    }
    let gateways = fixture.gateways();
    wait_until_ready(&gateways).await;
    for stream in 0..STREAMS {
        let first = format!("s{stream}");
        assert_eq!(begin(gateways[0].addr(), &first).await.status, 200);
        // A client that resumes twice names the first attempt both times.
        for again in 1..3 {
            let gateway = gateways[(at * again) % gateways.len()];
            let response = resume(gateway.addr(), &format!("{first}-{again}"), &first).await;
            assert_eq!(response.status, 200, "{}", response.body);
        }
    }
    assert_eq!(endpoints.resumptions(), (2 * STREAMS, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_resumes_at_the_version_that_began_the_stream_after_its_gateway_was_killed() {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let mut fixture = Fixture::start(&layout(1), &endpoints.listing()).await;
    for domain in ["d0", "d1", "d2"] {
        fixture.add_gateway_in(domain).await;
    }
    let first_gateway = fixture.start_killable("d1").await;
    wait_until_ready(&[fixture.gateways(), vec![&first_gateway.gateway]].concat()).await;
    for stream in 0..STREAMS {
        begin(first_gateway.gateway.addr(), &format!("s{stream}")).await;
    }
    first_gateway.kill();
    for stream in 0..STREAMS {
        let first = format!("s{stream}");
        let gateways = fixture.gateways();
        let gateway = gateways[stream % gateways.len()];
        let response = resume(gateway.addr(), &format!("{first}-1"), &first).await;
        assert_eq!(response.status, 200, "{}", response.body);
    }
    assert_eq!(endpoints.resumptions(), (STREAMS, 0));
}

/// Returns a fixture with six more gateways that can be killed, whose lists have had one version for
/// longer than a stream may be resumed.
async fn start_with_killable(endpoints: &Endpoints) -> (Fixture, Vec<KillableGateway>) {
    let mut layout = layout(1);
    layout.routes.iter_mut().for_each(|it| it.timeout_ms = 2_000);
    let fixture = Fixture::start(&layout, &endpoints.listing()[..2]).await;
    let mut killable = Vec::new();
    for domain in ["d0", "d1", "d2", "d0", "d1", "d2"] {
        killable.push(fixture.start_killable(domain).await);
    }
    let gateways: Vec<_> = killable.iter().map(|it| &it.gateway).collect();
    wait_until_ready(&gateways).await;
    sleep(Duration::from_millis(4_500)).await;
    (fixture, killable)
}

/// Resumes all streams at one gateway at the same time. Returns how many went on.
async fn resume_all(addr: SocketAddr) -> usize {
    let resume = |at| async move { resume(addr, &format!("s{at}-1"), &format!("s{at}")).await };
    let clients: Vec<_> = (0..STREAMS).map(|at| tokio::spawn(resume(at))).collect();
    let mut resumed = 0;
    for client in clients {
        let response = client.await.expect("a client panicked");
        resumed += usize::from(response.status == 200);
    }
    resumed
}

/// Streams were refused at the gateway that lived when most others were killed, as those that knew
/// their version were silent, though only one version had ever been listed (review/13).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_of_an_only_version_go_on_after_most_gateways_were_killed() {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let (fixture, killable) = start_with_killable(&endpoints).await;
    for at in 0..STREAMS {
        begin(killable[at % killable.len()].gateway.addr(), &format!("s{at}")).await;
    }
    killable.into_iter().for_each(KillableGateway::kill);
    assert_eq!(resume_all(fixture.addr).await, STREAMS);
    assert_eq!(endpoints.resumptions(), (STREAMS, 0));
}

/// A version that was listed just before the gateways were killed may have begun their streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_keep_their_version_when_gateways_are_killed_right_after_another_was_listed() {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let (fixture, killable) = start_with_killable(&endpoints).await;
    fixture.set_endpoints(&endpoints.listing());
    sleep(Duration::from_millis(80)).await;
    for at in 0..STREAMS {
        begin(killable[at % killable.len()].gateway.addr(), &format!("s{at}")).await;
    }
    killable.into_iter().for_each(KillableGateway::kill);
    resume_all(fixture.addr).await;
    let (resumptions, mixed) = endpoints.resumptions();
    assert_eq!(mixed, 0, "of {resumptions} resumptions");
}

#[rstest]
#[case::unknown_attempt("resumes: never-sent")]
#[case::unnamed_attempt("x-other: 1")]
#[tokio::test]
async fn stream_of_unknown_origin_is_refused_while_two_versions_serve(#[case] header: &str) {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let fixture = Fixture::start(&layout(1), &endpoints.listing()).await;
    let client = fixture.client().body("x").header("last-event-id: 2").header(header);
    let response = client.call("/resume/").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(endpoints.received().len(), 0);
}

#[tokio::test]
async fn resumption_is_refused_when_the_version_that_began_the_stream_has_left() {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let fixture = Fixture::start(&layout(1), &endpoints.listing()[..2]).await;
    assert_eq!(begin(fixture.addr, "s0").await.status, 200);
    fixture.set_endpoints(&endpoints.listing()[2..]);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(resume(fixture.addr, "s0-1", "s0").await.status, 503);
    assert_eq!(begin(fixture.addr, "s1").await.status, 200);
    assert_eq!(endpoints.resumptions(), (0, 0));
}

#[tokio::test]
async fn stream_of_unknown_origin_goes_on_when_only_one_version_can_have_begun_it() {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let mut layout = layout(1);
    layout.routes.iter_mut().for_each(|it| it.timeout_ms = 300);
    let fixture = Fixture::start(&layout, &endpoints.listing()[..2]).await;
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(resume(fixture.addr, "s0-1", "s0").await.status, 200);
    // From now on a stream may have begun at either version.
    fixture.set_endpoints(&endpoints.listing());
    sleep(Duration::from_millis(300)).await;
    assert_eq!(resume(fixture.addr, "s1-1", "s1").await.status, 503);
}

#[tokio::test]
async fn stream_of_a_split_route_is_resumed_at_the_service_that_began_it() {
    let endpoints = Endpoints::start(&Behavior::Events(0..3)).await;
    let mut layout = layout(1);
    let other = Service { name: "other".into(), ..layout.services[1].clone() };
    layout.services.push(other);
    let split = [("model", 1), ("other", 1)];
    let split = split.map(|(service, weight)| WeightedService { service: service.into(), weight });
    layout.routes.iter_mut().for_each(|it| {
        if it.resumable {
            it.split = split.clone().into();
        }
    });
    let mut listing = endpoints.listing();
    // Both services have the same version, so that only the service tells them apart.
    listing[2..].iter_mut().for_each(|it| {
        (it.service, it.build) = ("other".into(), Some("v1".into()));
    });
    let fixture = Fixture::start(&layout, &listing).await;
    for stream in 0..STREAMS {
        let first = format!("s{stream}");
        assert_eq!(begin(fixture.addr, &first).await.status, 200);
        assert_eq!(resume(fixture.addr, &format!("{first}-1"), &first).await.status, 200);
    }
    assert_eq!(endpoints.resumptions(), (STREAMS, 0));
}
