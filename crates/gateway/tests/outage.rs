//! All gateways of a site are killed at once and start again; the control plane lives on.

mod common;

use {
    common::{
        Behavior, Client, Endpoint, KillableGateway, MEMBERSHIP_DELAY, Response, Site, layout,
        wait_until,
    },
    directory::ListedEndpoint,
    rstest::rstest,
    settings::GatewaySettings,
    std::time::Duration,
    tokio::time::{Instant, sleep},
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

struct Outage {
    site: Site,
    settings: Vec<GatewaySettings>,
    gateways: Vec<KillableGateway>,
}

impl Outage {
    /// Starts gateways in three domains and waits until they know each other.
    async fn start(listing: &[ListedEndpoint]) -> Outage {
        let site = Site::start(&layout(1), listing).await;
        let settings = ["d0", "d1", "d2"].map(|it| site.gateway_settings(it)).to_vec();
        let mut outage = Outage { site, settings, gateways: Vec::new() };
        for at in 0..outage.settings.len() {
            outage.start_gateway(at).await;
        }
        wait_until(|| outage.gateways.iter().all(|it| it.gateway.is_ready())).await;
        sleep(MEMBERSHIP_DELAY).await;
        outage
    }

    async fn start_gateway(&mut self, at: usize) {
        let gateway = self.site.start_gateway(self.settings[at].clone()).await;
        // A gateway without a configuration can't know the route.
        wait_until(|| gateway.gateway.layout_version().is_some()).await;
        self.gateways.push(gateway);
    }

    async fn begin_streams(&self) {
        for stream in 0..STREAMS {
            let addr = self.settings[stream % self.settings.len()].listen;
            let client = Client::new(addr).attempt(&format!("s{stream}")).body("x");
            assert_eq!(client.call("/resume/").await.status, 200);
        }
    }

    async fn kill_all(&mut self) {
        self.gateways.drain(..).for_each(KillableGateway::kill);
        sleep(Duration::from_secs(1)).await;
    }

    async fn resume(&self, gateway: usize, stream: usize) -> Response {
        let client = Client::new(self.settings[gateway].listen).attempt(&format!("s{stream}-1"));
        let client = client.body("x").header("last-event-id: 2");
        client.header(&format!("resumes: s{stream}")).call("/resume/").await
    }
}

fn listing(endpoints: &[(Endpoint, &'static str)]) -> Vec<ListedEndpoint> {
    let entry = |(at, it): (usize, &(Endpoint, &'static str))| {
        it.0.versioned_entry(&format!("e{at}"), it.1)
    };
    endpoints.iter().enumerate().map(entry).collect()
}

async fn endpoint() -> Endpoint {
    Endpoint::start(vec![Behavior::Events(0..3); 10 * STREAMS]).await
}

/// Guards against refusing resumptions, or sending them to another version, after no gateway is
/// left that knows where the streams began.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_their_version_after_all_gateways_were_killed() {
    let endpoints = [(endpoint().await, "v1"), (endpoint().await, "v2")];
    let mut outage = Outage::start(&listing(&endpoints)).await;
    outage.begin_streams().await;
    outage.kill_all().await;
    for at in 0..3 {
        outage.start_gateway(at).await;
    }
    for stream in 0..STREAMS {
        let response = outage.resume((stream + 1) % 3, stream).await;
        assert_eq!(response.status, 200, "{}", response.body);
        let began = version_of(&endpoints, "attempt-id", &format!("s{stream}"));
        assert_eq!(version_of(&endpoints, "attempt-id", &format!("s{stream}-1")), began);
    }
}

/// Guards against refusing what arrives at the first gateway that is back, before the others are.
#[rstest]
#[case::two_versions(&["v1", "v2"])]
#[case::one_version(&["v1"])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_gateway_that_is_back_resumes_streams(#[case] versions: &[&'static str]) {
    let mut endpoints = Vec::new();
    // Enough slots for all resumptions at once, which arrive before any other gateway is back.
    for version in versions.iter().chain(versions) {
        endpoints.push((endpoint().await, *version));
    }
    let mut outage = Outage::start(&listing(&endpoints)).await;
    // Lists prove a single version for streams of twice the route's timeout.
    sleep(Duration::from_millis(8_000)).await;
    outage.begin_streams().await;
    outage.kill_all().await;
    outage.start_gateway(0).await;
    let resumptions =
        async { futures_util::future::join_all((0..STREAMS).map(|it| outage.resume(0, it))).await };
    let others = async {
        sleep(Duration::from_millis(600)).await;
        let mut others = Vec::new();
        for at in [1, 2] {
            others.push(outage.site.start_gateway(outage.settings[at].clone()).await);
            sleep(Duration::from_millis(500)).await;
        }
        others
    };
    let (responses, _others) = tokio::join!(resumptions, others);
    for (stream, response) in responses.iter().enumerate() {
        assert_eq!(response.status, 200, "{stream}: {}", response.body);
        let began = version_of(&endpoints, "attempt-id", &format!("s{stream}"));
        assert_eq!(version_of(&endpoints, "attempt-id", &format!("s{stream}-1")), began);
    }
}

/// Guards against running, or delaying, the resumption of a stream whose version has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_version_left_during_the_outage_is_refused_at_once() {
    let endpoints = [(endpoint().await, "v1"), (endpoint().await, "v2")];
    let mut outage = Outage::start(&listing(&endpoints)).await;
    outage.begin_streams().await;
    outage.site.list.replace(&listing(&endpoints)[1..]);
    outage.kill_all().await;
    for at in 0..3 {
        outage.start_gateway(at).await;
    }
    wait_until(|| outage.gateways.iter().all(|it| it.gateway.is_ready())).await;
    for stream in 0..STREAMS {
        let started = Instant::now();
        let response = outage.resume(stream % 3, stream).await;
        if version_of(&endpoints, "attempt-id", &format!("s{stream}")) == Some("v2") {
            assert_eq!(response.status, 200, "{}", response.body);
            continue;
        }
        assert_eq!(response.status, 503);
        assert!(response.body.contains("no endpoint of the version"), "{}", response.body);
        assert!(started.elapsed() < Duration::from_millis(500));
        assert_eq!(version_of(&endpoints, "attempt-id", &format!("s{stream}-1")), None);
    }
}
