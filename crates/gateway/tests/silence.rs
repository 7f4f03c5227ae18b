//! Responses of sound endpoints that fall silent for a while and go on.

mod common;

use {
    common::{Behavior, Endpoint, Fixture, event, layout, wait_until},
    directory::ListedEndpoint,
    futures_util::future::join_all,
    rstest::rstest,
    settings::RetrySettings,
    std::{ops::Range, time::Duration},
    tokio::time::sleep,
};

/// Longer than the silence after which the gateway looks for another endpoint.
const SILENCE_MS: u64 = 1_600;

fn events(numbers: Range<u64>) -> String {
    numbers.map(event).collect()
}

fn paused_events() -> Behavior {
    Behavior::PausedEvents(0..3, SILENCE_MS, 3..6)
}

fn delayed(behavior: Behavior) -> Behavior {
    Behavior::Delayed(SILENCE_MS, Box::new(behavior))
}

/// Why no other endpoint can take over a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Obstacle {
    NoOther,
    BudgetExhausted,
    AttemptsUsedUp,
    OthersClosed,
    OthersUnreachable,
    OthersFull,
}

/// Starts a gateway before endpoints that behave as given, or before one of them if the others
/// are the obstacle.
async fn start(behavior: &Behavior, obstacle: Obstacle) -> (Fixture, Vec<Endpoint>) {
    let silent = || Endpoint::start(vec![behavior.clone(); 4]);
    let endpoint = silent().await;
    let mut layout = layout(1);
    let mut retries = RetrySettings { ratio: 0.2, slack: 50.0 };
    let other = match obstacle {
        Obstacle::NoOther | Obstacle::OthersUnreachable => None,
        Obstacle::BudgetExhausted => {
            retries = RetrySettings { ratio: 0.0, slack: 0.0 };
            Some(silent().await)
        }
        Obstacle::AttemptsUsedUp => {
            layout.routes.iter_mut().for_each(|it| it.attempts = 1);
            Some(silent().await)
        }
        Obstacle::OthersClosed => {
            let full = Box::new(Behavior::NotRun(503));
            Some(Endpoint::start([Behavior::WithHeader("retry-after: 9", full)]).await)
        }
        Obstacle::OthersFull => Some(Endpoint::start(vec![Behavior::NotRun(503); 20]).await),
    };
    let mut listing = Vec::new();
    for service in ["plain", "model"] {
        listing.push(endpoint.listing_entry(service, &format!("{service}-0")));
        let other = other.as_ref().map(|it| it.listing_entry(service, &format!("{service}-1")));
        // Nothing listens on this port.
        let unreachable = ListedEndpoint {
            addr: ([127, 0, 0, 1], 1).into(),
            ..endpoint.listing_entry(service, &format!("{service}-1"))
        };
        listing.extend(match obstacle {
            Obstacle::OthersUnreachable => Some(unreachable),
            _ => other,
        });
    }
    let fixture = Fixture::start_with_retries(&layout, &listing, retries).await;
    let mut endpoints = vec![endpoint];
    endpoints.extend(other);
    (fixture, endpoints)
}

/// Checks that only the silent endpoint got the request, unless the others may refuse it.
fn assert_not_moved(obstacle: Obstacle, endpoints: &[Endpoint]) {
    let may_refuse = matches!(obstacle, Obstacle::OthersClosed | Obstacle::OthersFull);
    let requests: usize = endpoints.iter().map(|it| it.received().len()).sum();
    assert!(may_refuse || requests == 1, "{requests} requests were sent");
}

#[rstest]
#[case::no_other(Obstacle::NoOther)]
#[case::budget_exhausted(Obstacle::BudgetExhausted)]
#[case::attempts_used_up(Obstacle::AttemptsUsedUp)]
#[case::others_closed(Obstacle::OthersClosed)]
#[case::others_unreachable(Obstacle::OthersUnreachable)]
#[case::others_full(Obstacle::OthersFull)]
#[tokio::test]
async fn silent_stream_that_cannot_move_is_not_cut_off(
    #[case] obstacle: Obstacle,
    #[values(paused_events(), delayed(Behavior::Events(0..6)))] behavior: Behavior,
) {
    let (fixture, endpoints) = start(&behavior, obstacle).await;
    let client = fixture.client().body("x").deadline(8_000);
    let response = client.call("/resume/").await;
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.body, events(0..6));
    assert_not_moved(obstacle, &endpoints);
}

#[rstest]
#[case::no_other(Obstacle::NoOther)]
#[case::budget_exhausted(Obstacle::BudgetExhausted)]
#[case::attempts_used_up(Obstacle::AttemptsUsedUp)]
#[case::others_closed(Obstacle::OthersClosed)]
#[case::others_unreachable(Obstacle::OthersUnreachable)]
#[case::others_full(Obstacle::OthersFull)]
#[tokio::test]
async fn silent_response_that_cannot_be_retried_is_not_given_up(
    #[case] obstacle: Obstacle,
    #[values(Behavior::PausedBody(SILENCE_MS), delayed(Behavior::Respond))] behavior: Behavior,
) {
    let (fixture, endpoints) = start(&behavior, obstacle).await;
    let response = fixture.client().deadline(8_000).call("/read/").await;
    assert_eq!((response.status, response.body.as_str()), (200, "whole"), "{response:?}");
    assert_not_moved(obstacle, &endpoints);
}

#[rstest]
#[case::stream("/stream/", paused_events(), events(0..6))]
#[case::stream_start("/stream/", delayed(Behavior::Events(0..6)), events(0..6))]
#[case::body("/write/", Behavior::PausedBody(SILENCE_MS), "whole".to_owned())]
#[case::response("/write/", delayed(Behavior::Respond), "whole".to_owned())]
#[tokio::test]
async fn silent_request_that_may_run_once_is_answered(
    #[case] path: &str,
    #[case] behavior: Behavior,
    #[case] body: String,
) {
    let (fixture, endpoints) = start(&behavior, Obstacle::BudgetExhausted).await;
    let response = fixture.client().body("x").call(path).await;
    assert_eq!((response.status, response.complete, response.body), (200, true, body));
    assert_eq!(endpoints.iter().map(|it| it.received().len()).sum::<usize>(), 1);
}

/// The new configuration removes the routes of the requests, their endpoints leave, and the
/// timeouts shrink, while the endpoints are silent.
#[rstest]
#[case::resumable("/resume/", paused_events(), events(0..6))]
#[case::stream("/stream/", paused_events(), events(0..6))]
#[case::read("/read/", delayed(Behavior::Respond), "whole".to_owned())]
#[case::write("/write/", Behavior::PausedBody(SILENCE_MS), "whole".to_owned())]
#[tokio::test]
async fn silent_request_survives_a_change_of_the_configuration(
    #[case] path: &str,
    #[case] behavior: Behavior,
    #[case] body: String,
    #[values(false, true)] with_list: bool,
) {
    let (fixture, endpoints) = start(&behavior, Obstacle::NoOther).await;
    let client = fixture.client().body("x");
    let change = async {
        wait_until(|| endpoints[0].active() == 1).await;
        let mut changed = layout(2);
        changed.routes.truncate(1);
        changed.routes[0].timeout_ms = 100;
        changed.limits.idle_ms = 100;
        changed.teams[0].keys.clear();
        fixture.publish(&changed).await;
        if with_list {
            fixture.set_endpoints(&[]);
        }
    };
    let (response, ()) = tokio::join!(client.call(path), change);
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    assert_eq!(response.body, body);
}

#[tokio::test]
async fn many_silent_streams_are_all_completed() {
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let behaviors = (0..200).map(|at| match (number + at) % 3 {
            0 => Behavior::PausedEvents(0..at % 6, 1_000 + 10 * at, at % 6..6),
            1 => Behavior::Delayed(1_000 + 10 * at, Box::new(Behavior::Events(0..6))),
            _ => Behavior::Events(0..6),
        });
        endpoints.push(Endpoint::start(behaviors).await);
    }
    let numbered = endpoints.iter().enumerate();
    let listing: Vec<_> =
        numbered.map(|(at, it)| it.listing_entry("model", &format!("e{at}"))).collect();
    let retries = RetrySettings { ratio: 0.1, slack: 4.0 };
    let fixture = Fixture::start_with_retries(&layout(1), &listing, retries).await;
    let calls = (0..24).map(|chat| {
        let parts = format!("prompt-parts: {chat:x}:500,ff{chat:x}:10");
        let client = fixture.client().header(&parts).body("x").deadline(8_000);
        async move { client.call("/resume/").await }
    });
    for response in join_all(calls).await {
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        assert_eq!(response.body, events(0..6));
    }
}

#[tokio::test]
async fn client_that_leaves_ends_the_wait_on_a_silent_endpoint() {
    let (fixture, endpoints) = start(&Behavior::Stalled(0..3), Obstacle::BudgetExhausted).await;
    let socket = fixture.client().body("x").send("/resume/").await;
    let active = || endpoints.iter().map(Endpoint::active).sum::<usize>();
    wait_until(|| active() == 1).await;
    sleep(Duration::from_millis(SILENCE_MS)).await;
    assert_eq!(active(), 1);
    drop(socket);
    wait_until(|| active() == 0).await;
}

/// The endpoint before must have stopped when another one begins.
#[tokio::test]
async fn silent_endpoint_is_left_before_another_one_takes_over() {
    let endpoints = [Endpoint::start([]).await, Endpoint::start([]).await];
    let listing =
        [endpoints[0].listing_entry("model", "e0"), endpoints[1].listing_entry("model", "e1")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    for endpoint in &endpoints {
        endpoint.set_behaviors([Behavior::Stalled(0..3)]);
    }
    let client = fixture.client().body("x").deadline(3_000);
    let call = client.call("/resume/");
    let watch = async {
        let received = || endpoints.iter().map(|it| it.received().len()).sum::<usize>();
        wait_until(|| received() == 2).await;
        sleep(Duration::from_millis(100)).await;
        endpoints.iter().map(Endpoint::active).sum::<usize>()
    };
    let (response, active) = tokio::join!(call, watch);
    assert_eq!(active, 1, "{response:?}");
    assert_eq!((response.body, response.complete), (events(0..3), false));
}

#[tokio::test]
async fn stream_that_is_refused_after_its_move_resumes_once_the_budget_allows() {
    let mut behaviors = vec![Behavior::Events(0..6); 40];
    behaviors[0] = paused_events();
    let endpoint = Endpoint::start(behaviors).await;
    let full = Endpoint::start(vec![Behavior::NotRun(503); 4]).await;
    let alone = [endpoint.listing_entry("model", "e0")];
    let both = [endpoint.listing_entry("model", "e0"), full.listing_entry("model", "e1")];
    // The budget holds one retry.
    let retries = RetrySettings { ratio: 0.2, slack: 2.0 };
    let fixture = Fixture::start_with_retries(&layout(1), &alone, retries).await;
    let client = fixture.client().body("x").deadline(8_000);
    let others = async {
        wait_until(|| endpoint.active() == 1).await;
        fixture.set_endpoints(&both);
        wait_until(|| full.received().len() == 1).await;
        fixture.set_endpoints(&alone);
        for _ in 0..12 {
            fixture.client().body("x").call("/stream/").await;
        }
    };
    let (response, ()) = tokio::join!(client.call("/resume/"), others);
    assert_eq!((response.body, response.complete), (events(0..6), true));
}
