//! All gateways of a site are killed at once and start again; the control plane lives on.

mod common;

use {
    common::{Behavior, Client, Endpoint, KillableGateway, Site, layout, wait_until},
    std::time::Duration,
    tokio::time::sleep,
};

const STREAMS: usize = 12;

/// Returns the version of the endpoint that got a request with this header.
fn version_of(
    endpoints: &[(Endpoint, &'static str)],
    name: &str,
    value: &str,
) -> Option<&'static str> {
    let is_it = |it: &common::ReceivedRequest| it.header(name) == Some(value);
    endpoints.iter().find(|it| it.0.received().iter().any(is_it)).map(|it| it.1)
}

/// Guards against refusing resumptions, or sending them to another version, after no gateway is
/// left that knows where the streams began.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_their_version_after_all_gateways_were_killed() {
    let start = || Endpoint::start(vec![Behavior::Events(0..3); 10 * STREAMS]);
    let endpoints = [(start().await, "v1"), (start().await, "v2")];
    let listing = endpoints.iter().map(|it| it.0.versioned_entry(it.1, it.1)).collect::<Vec<_>>();
    let site = Site::start(&layout(1), &listing).await;
    let settings = ["d0", "d1", "d2"].map(|it| site.gateway_settings(it));
    let mut gateways: Vec<KillableGateway> = Vec::new();
    for it in &settings {
        gateways.push(site.start_gateway(it.clone()).await);
    }
    wait_until(|| gateways.iter().all(|it| it.gateway.is_ready())).await;
    sleep(common::MEMBERSHIP_DELAY).await;
    for stream in 0..STREAMS {
        let client = Client::new(settings[stream % 3].listen).attempt(&format!("s{stream}"));
        assert_eq!(client.body("x").call("/resume/").await.status, 200);
    }
    gateways.into_iter().for_each(KillableGateway::kill);
    sleep(Duration::from_secs(1)).await;
    let mut gateways: Vec<KillableGateway> = Vec::new();
    for it in &settings {
        gateways.push(site.start_gateway(it.clone()).await);
    }
    // A gateway without a configuration can't know the route.
    wait_until(|| gateways.iter().all(|it| it.gateway.layout_version().is_some())).await;
    for stream in 0..STREAMS {
        let (first, again) = (format!("s{stream}"), format!("s{stream}-1"));
        let client = Client::new(settings[(stream + 1) % 3].listen).attempt(&again).body("x");
        let client = client.header("last-event-id: 2").header(&format!("resumes: {first}"));
        let response = client.call("/resume/").await;
        assert_eq!(response.status, 200, "{}", response.body);
        let began = version_of(&endpoints, "attempt-id", &first);
        assert_eq!(version_of(&endpoints, "attempt-id", &again), began);
    }
}
