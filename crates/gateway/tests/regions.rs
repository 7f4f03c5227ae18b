//! Requests that may be handled in some regions only. The detours of a gateway without a path are tested in
//! `partition.rs`, the choice of the endpoint from which prompt memory is fetched in `dispatch`.

mod common;

use {
    common::{Behavior, Endpoint, Fixture, event, layout, regions, wait_until},
    directory::ListedEndpoint,
    model::Domain,
    route::RoutingConfig,
    rstest::rstest,
    smallvec::smallvec,
    std::{ops::Range, time::Duration},
    tokio::time::sleep,
};

const REQUESTS: usize = 30;

/// How soon a request is refused that is not queued.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Long enough for a gateway to learn of a list of endpoints.
const LISTING_TIME: Duration = Duration::from_millis(500);

/// What restricts requests to the region of `d2` and `d3`. The gateway is in `d0`, whose endpoints it would prefer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Restriction {
    Route,
    Team,
    Both,
}

fn restricted(restriction: Restriction) -> RoutingConfig {
    let mut layout = layout(1);
    // Both together leave one region.
    let (routes, teams) = match restriction {
        Restriction::Route => (smallvec!["south".into()], smallvec![]),
        Restriction::Team => (smallvec![], smallvec!["south".into()]),
        Restriction::Both => {
            (smallvec!["west".into(), "south".into()], smallvec!["south".into(), "north".into()])
        }
    };
    for route in &mut layout.routes {
        route.regions.clone_from(&routes);
    }
    layout.teams[0].regions = teams;
    layout
}

fn entry(endpoint: &Endpoint, service: &str, id: &str, domain: &str) -> ListedEndpoint {
    ListedEndpoint { domain: Domain(domain.into()), ..endpoint.listing_entry(service, id) }
}

/// Two endpoints in the allowed region, one in the region of the gateway and one in none.
struct Endpoints {
    allowed: [Endpoint; 2],
    forbidden: [Endpoint; 2],
}

impl Endpoints {
    async fn start(behavior: &Behavior) -> Endpoints {
        let start = |it: &Behavior| Endpoint::start(vec![it.clone(); 2 * REQUESTS]);
        Endpoints {
            allowed: [start(behavior).await, start(behavior).await],
            forbidden: [start(&Behavior::Respond).await, start(&Behavior::Respond).await],
        }
    }

    fn listing(&self, service: &str) -> Vec<ListedEndpoint> {
        vec![
            entry(&self.allowed[0], service, "a0", "d2"),
            entry(&self.allowed[1], service, "a1", "d3"),
            entry(&self.forbidden[0], service, "f0", "d0"),
            entry(&self.forbidden[1], service, "f1", "unknown"),
        ]
    }

    fn received(&self) -> (usize, usize) {
        let count = |it: &[Endpoint]| it.iter().map(|it| it.received().len()).sum();
        (count(&self.allowed), count(&self.forbidden))
    }
}

#[rstest]
#[case::of_the_route(Restriction::Route)]
#[case::of_the_team(Restriction::Team)]
#[case::of_both(Restriction::Both)]
#[tokio::test]
async fn requests_are_sent_to_allowed_regions_only(#[case] restriction: Restriction) {
    let endpoints = Endpoints::start(&Behavior::Respond).await;
    let layout = restricted(restriction);
    let fixture = Fixture::start_in_regions(&layout, &endpoints.listing("plain")).await;
    for _ in 0..REQUESTS {
        assert_eq!(fixture.client().call("/write/").await.status, 200);
    }
    assert_eq!(endpoints.received(), (REQUESTS, 0));
}

/// Guards against retries and replacements of a silent endpoint that leave the region.
#[rstest]
#[case::failure(Behavior::Fail(500))]
#[case::broken_connection(Behavior::Close)]
#[case::not_run(Behavior::NotRun(503))]
#[case::silence(Behavior::NoResponse)]
#[tokio::test]
async fn retries_stay_in_allowed_regions(#[case] behavior: Behavior) {
    let endpoints = Endpoints::start(&behavior).await;
    let layout = restricted(Restriction::Route);
    let fixture = Fixture::start_in_regions(&layout, &endpoints.listing("plain")).await;
    for _ in 0..6 {
        assert_ne!(fixture.client().deadline(1_000).call("/read/").await.status, 200);
    }
    let (allowed, forbidden) = endpoints.received();
    assert!(allowed > 6, "{allowed} sends, so nothing was retried");
    assert_eq!(forbidden, 0);
}

/// Guards against a stream that goes on, for its gateway or its client, in another region.
#[tokio::test]
async fn resumptions_stay_in_allowed_regions() {
    let events = |it: Range<u64>| it.map(event).collect::<String>();
    let endpoints = Endpoints::start(&Behavior::Reset(0..3)).await;
    endpoints.forbidden.iter().for_each(|it| it.set_behaviors(vec![Behavior::Events(3..6); 60]));
    let layout = restricted(Restriction::Route);
    let fixture = Fixture::start_in_regions(&layout, &endpoints.listing("model")).await;
    for at in 0..6 {
        let client = fixture.client().attempt(&format!("s{at}")).body("x").deadline(1_000);
        let response = client.call("/resume/").await;
        assert!(!response.complete, "completed by an endpoint in another region");
        assert!(response.body.starts_with(&events(0..3)), "{response:?}");
        let client = fixture.client().attempt(&format!("r{at}")).body("x").deadline(1_000);
        let client = client.header("last-event-id: 2").header(&format!("resumes: s{at}"));
        client.call("/resume/").await;
    }
    let resumed = endpoints.allowed.iter().flat_map(Endpoint::received);
    assert!(resumed.filter(|it| it.header("last-event-id").is_some()).count() > 6);
    assert_eq!(endpoints.received().1, 0);
}

/// Guards against requests that wait for an endpoint that may not run them.
#[tokio::test]
async fn request_is_refused_at_once_if_no_endpoint_is_in_an_allowed_region() {
    let endpoints = Endpoints::start(&Behavior::Respond).await;
    let layout = restricted(Restriction::Route);
    let listing = &endpoints.listing("plain")[2..];
    let fixture = Fixture::start_in_regions(&layout, listing).await;
    let response = fixture.client().call("/write/").await;
    assert_eq!(response.status, 503);
    assert_eq!(response.body, "no endpoint of the service is in an allowed region\n");
    assert!(response.elapsed < REFUSAL_TIME, "{:?}", response.elapsed);
    assert!(response.header("retry-after").is_some());
    assert_eq!(endpoints.received(), (0, 0));
    fixture.set_endpoints(&endpoints.listing("plain"));
    sleep(LISTING_TIME).await;
    assert_eq!(fixture.client().call("/write/").await.status, 200);
}

#[tokio::test]
async fn request_is_refused_at_once_if_route_and_team_have_no_region_in_common() {
    let endpoints = Endpoints::start(&Behavior::Respond).await;
    let mut layout = restricted(Restriction::Route);
    layout.teams[0].regions = smallvec!["north".into()];
    let fixture = Fixture::start_in_regions(&layout, &endpoints.listing("plain")).await;
    let response = fixture.client().body("x").call("/write/").await;
    assert_eq!(response.status, 503);
    assert_eq!(response.body, "the route and the team allow no region in common\n");
    assert!(response.elapsed < REFUSAL_TIME, "{:?}", response.elapsed);
    assert_eq!(endpoints.received(), (0, 0));
}

#[tokio::test]
async fn reloaded_regions_apply_to_the_next_request() {
    let endpoints = Endpoints::start(&Behavior::Respond).await;
    let layout = restricted(Restriction::Route);
    let fixture = Fixture::start_in_regions(&layout, &endpoints.listing("plain")).await;
    let mut swapped = regions();
    for region in swapped.values_mut() {
        *region = if &**region == "north" { "south".into() } else { "north".into() };
    }
    fixture.gateway.set_regions(swapped);
    for _ in 0..REQUESTS {
        assert_eq!(fixture.client().call("/write/").await.status, 200);
    }
    assert_eq!(endpoints.received(), (0, REQUESTS));
    fixture.gateway.set_regions([].into());
    assert_eq!(fixture.client().call("/write/").await.status, 503);
    wait_until(|| endpoints.received() == (0, REQUESTS)).await;
}
