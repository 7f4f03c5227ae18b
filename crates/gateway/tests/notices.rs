//! Tests of endpoints whose responses ask for no further requests, or for none for some time.

mod common;

use {
    common::{Behavior, Endpoint, Fixture, layout, wait_until},
    rstest::rstest,
    std::time::Duration,
    tokio::time::sleep,
};

async fn start<const N: usize>(behaviors: [Vec<Behavior>; N]) -> (Fixture, Vec<Endpoint>) {
    let mut endpoints = Vec::new();
    for behavior in behaviors {
        endpoints.push(Endpoint::start(behavior).await);
    }
    let numbered = endpoints.iter().enumerate();
    let listing: Vec<_> =
        numbered.map(|(at, it)| it.listing_entry("plain", &format!("e{at}"))).collect();
    (Fixture::start(&layout(1), &listing).await, endpoints)
}

fn received(endpoints: &[Endpoint]) -> Vec<usize> {
    endpoints.iter().map(|it| it.received().len()).collect()
}

#[rstest]
#[case::answer(Behavior::Respond)]
#[case::failure(Behavior::Fail(500))]
#[case::rejection(Behavior::NotRun(503))]
#[tokio::test]
async fn endpoint_that_says_it_leaves_gets_no_further_request(#[case] last: Behavior) {
    let leaving = Behavior::WithHeader("endpoint-leaving: 1", Box::new(last));
    let (fixture, endpoints) = start([vec![leaving.clone()], vec![leaving]]).await;
    // Both endpoints answer their first request and leave.
    for _ in 0..20 {
        fixture.client().call("/read/").await;
    }
    assert_eq!(received(&endpoints), [1, 1]);
    let response = fixture.client().call("/read/").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

#[rstest]
#[case::other_number("0")]
#[case::word("yes")]
#[tokio::test]
async fn endpoint_with_another_value_of_the_leaving_header_is_used(#[case] value: &'static str) {
    let header = format!("endpoint-leaving: {value}").leak();
    let behavior = Behavior::WithHeader(header, Box::new(Behavior::Respond));
    let (fixture, endpoints) = start([vec![behavior]]).await;
    for _ in 0..3 {
        assert_eq!(fixture.client().call("/read/").await.status, 200);
    }
    assert_eq!(received(&endpoints), [3]);
}

#[rstest]
#[case::rejection(Behavior::NotRun(503))]
#[case::failure(Behavior::Fail(503))]
#[tokio::test]
async fn endpoint_that_rejects_for_a_time_gets_no_request_until_it_ends(#[case] last: Behavior) {
    let closed = Behavior::WithHeader("retry-after: 1.5", Box::new(last));
    let (fixture, endpoints) = start([vec![closed]]).await;
    fixture.client().call("/read/").await;
    for _ in 0..10 {
        let response = fixture.client().call("/read/").await;
        assert_eq!(response.status, 503);
        let delay = response.header("retry-after").and_then(|it| it.parse::<f64>().ok());
        let delay = delay.expect("no retry delay");
        assert!((0.1..=1.5).contains(&delay), "{delay}");
    }
    assert_eq!(received(&endpoints), [1]);
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(fixture.client().call("/read/").await.status, 200);
}

#[rstest]
#[case::negative("-3")]
#[case::date("Fri, 31 Dec 2027 23:59:59 GMT")]
#[case::word("soon")]
#[case::absurd("1e12")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[tokio::test]
async fn invalid_retry_delay_of_an_endpoint_is_ignored(#[case] value: &'static str) {
    let header = format!("retry-after: {value}").leak();
    let closed = Behavior::WithHeader(header, Box::new(Behavior::NotRun(503)));
    let (fixture, endpoints) = start([vec![closed]]).await;
    fixture.client().call("/read/").await;
    sleep(Duration::from_millis(150)).await;
    assert_eq!(fixture.client().call("/read/").await.status, 200);
    assert_eq!(received(&endpoints), [2]);
}

#[tokio::test]
async fn retry_delay_of_another_status_is_not_a_rejection() {
    let failing = Behavior::WithHeader("retry-after: 30", Box::new(Behavior::Fail(500)));
    let (fixture, endpoints) = start([vec![failing]]).await;
    fixture.client().call("/read/").await;
    assert_eq!(fixture.client().call("/read/").await.status, 200);
    assert_eq!(received(&endpoints), [2]);
}

#[rstest]
#[case::pause("retry-after: 3")]
#[case::leaving("endpoint-leaving: 1")]
#[tokio::test]
async fn endpoint_that_wants_no_requests_gets_none_though_it_is_listed_anew(
    #[case] header: &'static str,
) {
    let rejection = Behavior::WithHeader(header, Box::new(Behavior::NotRun(503)));
    let endpoint = Endpoint::start([Behavior::Delayed(900, Box::new(rejection))]).await;
    let listing = [endpoint.listing_entry("plain", "e0")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    let client = fixture.client();
    let first = tokio::spawn(async move { client.call("/write/").await });
    wait_until(|| !endpoint.received().is_empty()).await;
    for endpoints in [&[][..], &listing] {
        fixture.set_endpoints(endpoints);
        sleep(Duration::from_millis(300)).await;
    }
    first.await.expect("the call panicked");
    for _ in 0..10 {
        assert_eq!(fixture.client().call("/write/").await.status, 503);
    }
    assert_eq!(endpoint.received().len(), 1);
}

#[rstest]
#[case::stated("endpoint-brittle: 2", 8)]
#[case::negative("endpoint-brittle: -1", 12)]
#[case::word("endpoint-brittle: yes", 12)]
#[tokio::test]
async fn brittle_endpoint_gets_no_more_requests_than_it_runs(
    #[case] header: &'static str,
    #[case] expected: usize,
) {
    let answer = Behavior::WithHeader(header, Box::new(Behavior::Respond));
    let slow = Behavior::Delayed(400, Box::new(answer.clone()));
    let endpoint = Endpoint::start([answer]).await;
    let listing = [endpoint.listing_entry("plain", "e0")];
    let fixture = Fixture::start(&layout(1), &listing).await;
    assert_eq!(fixture.client().call("/write/").await.status, 200);
    endpoint.set_behaviors(vec![slow; 12]);
    let calls = (0..12).map(|_| {
        let client = fixture.client();
        tokio::spawn(async move { client.call("/write/").await })
    });
    let calls: Vec<_> = calls.collect();
    sleep(Duration::from_millis(60)).await;
    assert_eq!(endpoint.active(), expected);
    for call in calls {
        call.await.expect("the call panicked");
    }
}
