//! Watching engines and routers while a load runs.

use {
    derive_more::Debug,
    edge::{Client, empty},
    serde::Deserialize,
    settings::{LoadPlainEndpoint, LoadSettings},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinSet, time::interval},
};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
const EXCHANGE_MS: u64 = 2_000;

/// The loads of all engines at one instant.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct Sample {
    /// Seconds since the start.
    pub(crate) at: f64,
    /// Tokens still to compute, by engine.
    pub(crate) work: Vec<u64>,
    /// Requests, by engine.
    pub(crate) running: Vec<u64>,
    /// Prompt tokens held so far, over all engines.
    pub(crate) cached: u64,
    /// Prompt tokens so far, over all engines.
    pub(crate) prompt: u64,
}

/// The control traffic of a router so far, in bytes.
pub(crate) type ControlBytes = BTreeMap<SocketAddr, u64>;

#[derive(Clone, Copy, Deserialize)]
struct Load {
    work: u64,
    running: u64,
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
}

/// Samples the engines until told to stop.
pub(crate) async fn engines(
    settings: LoadSettings,
    started: Instant,
    mut stop: watch::Receiver<bool>,
) -> Vec<Sample> {
    let client = Client::new(EXCHANGE_MS);
    let mut samples = Vec::new();
    let mut ticks = interval(SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stop.wait_for(|it| *it) => return samples,
        }
        let loads = loads(&client, &settings).await;
        if loads.len() == settings.engine.len() {
            samples.push(Sample {
                at: started.elapsed().as_secs_f64(),
                work: loads.iter().map(|it| it.work).collect(),
                running: loads.iter().map(|it| it.running).collect(),
                cached: loads.iter().map(|it| it.cached_tokens).sum(),
                prompt: loads.iter().map(|it| it.prompt_tokens).sum(),
            });
        }
    }
}

/// Returns the loads of the engines that answer.
async fn loads(client: &Client, settings: &LoadSettings) -> Vec<Load> {
    let mut calls = JoinSet::new();
    for engine in &settings.engine {
        let (client, addr) = (client.clone(), engine.addr);
        calls.spawn(async move {
            let (_, body) = client.call(addr, "GET", "/load?now", None, empty()).await.ok()?;
            Some((addr, serde_json::from_slice::<Load>(&body).ok()?))
        });
    }
    let found: BTreeMap<SocketAddr, Load> = calls.join_all().await.into_iter().flatten().collect();
    settings.engine.iter().filter_map(|it| found.get(&it.addr).copied()).collect()
}

/// Reads the control traffic of all routers from their metrics pages.
pub(crate) async fn control_bytes(settings: &LoadSettings) -> ControlBytes {
    let client = Client::new(EXCHANGE_MS);
    let mut found = ControlBytes::new();
    for router in &settings.router {
        let Ok((200, page)) = client.call(router.admin, "GET", "/metrics", None, empty()).await
        else {
            continue;
        };
        let page = String::from_utf8_lossy(&page);
        found.insert(router.admin, sum_samples(&page, "control_bytes"));
    }
    found
}

/// Sums the samples of a Prometheus page whose name or labels contain `name`.
fn sum_samples(page: &str, name: &str) -> u64 {
    let samples = page.lines().filter(|it| !it.starts_with('#') && it.contains(name));
    let value = |it: &str| it.rsplit(' ').next().and_then(|it| it.parse::<f64>().ok());
    samples.filter_map(value).sum::<f64>() as u64
}

/// Reads how often each key ran, over all runners of plain services; nothing if any does not answer.
pub(crate) async fn runs(plain: &[LoadPlainEndpoint]) -> Option<BTreeMap<String, u64>> {
    #[derive(Deserialize)]
    struct CountsPage {
        keys: BTreeMap<String, u64>,
    }
    let client = Client::new(EXCHANGE_MS);
    let mut runs = BTreeMap::new();
    for runner in plain {
        let (_, body) = client.call(runner.addr, "GET", "/counts", None, empty()).await.ok()?;
        let page: CountsPage = serde_json::from_slice(&body).ok()?;
        for (key, count) in page.keys {
            *runs.entry(key).or_default() += count;
        }
    }
    Some(runs)
}
