//! Samples engines and routers during a run.

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
const REQUEST_TIMEOUT_MS: u64 = 2_000;

/// The loads of all engines at a point in time.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct Sample {
    /// Seconds since the start of the run.
    pub(crate) elapsed_s: f64,
    /// Remaining tokens to compute, by engine.
    pub(crate) work: Vec<u64>,
    /// Running requests, by engine.
    pub(crate) running: Vec<u64>,
    /// Prompt tokens served from caches so far, over all engines.
    pub(crate) cached_tokens: u64,
    /// Prompt tokens so far, over all engines.
    pub(crate) prompt_tokens: u64,
}

/// The control traffic of each router so far in bytes, by admin address.
pub(crate) type ControlBytes = BTreeMap<SocketAddr, u64>;

#[derive(Clone, Copy, Deserialize)]
struct EngineLoad {
    work: u64,
    running: u64,
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
}

/// Samples the engines until `stop` becomes true. A sample without the load of every engine is
/// discarded.
pub(crate) async fn sample_engines(
    settings: LoadSettings,
    started: Instant,
    mut stop: watch::Receiver<bool>,
) -> Vec<Sample> {
    let client = Client::new(REQUEST_TIMEOUT_MS);
    let mut samples = Vec::new();
    let mut ticks = interval(SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stop.wait_for(|it| *it) => return samples,
        }
        let loads = fetch_loads(&client, &settings).await;
        if loads.len() == settings.engine.len() {
            samples.push(Sample {
                elapsed_s: started.elapsed().as_secs_f64(),
                work: loads.iter().map(|it| it.work).collect(),
                running: loads.iter().map(|it| it.running).collect(),
                cached_tokens: loads.iter().map(|it| it.cached_tokens).sum(),
                prompt_tokens: loads.iter().map(|it| it.prompt_tokens).sum(),
            });
        }
    }
}

/// Returns the loads of the engines that respond.
async fn fetch_loads(client: &Client, settings: &LoadSettings) -> Vec<EngineLoad> {
    let mut calls = JoinSet::new();
    for engine in &settings.engine {
        let (client, addr) = (client.clone(), engine.addr);
        calls.spawn(async move {
            let (_, body) = client.call(addr, "GET", "/load?now", None, empty()).await.ok()?;
            Some((addr, serde_json::from_slice::<EngineLoad>(&body).ok()?))
        });
    }
    let found: BTreeMap<SocketAddr, EngineLoad> =
        calls.join_all().await.into_iter().flatten().collect();
    settings.engine.iter().filter_map(|it| found.get(&it.addr).copied()).collect()
}

/// Returns the control traffic of the routers that respond, from their metrics pages.
pub(crate) async fn fetch_control_bytes(settings: &LoadSettings) -> ControlBytes {
    let client = Client::new(REQUEST_TIMEOUT_MS);
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

/// Returns the sum of the samples in a Prometheus page whose name or labels contain `name`.
fn sum_samples(page: &str, name: &str) -> u64 {
    let samples = page.lines().filter(|it| !it.starts_with('#') && it.contains(name));
    let value = |it: &str| it.rsplit(' ').next().and_then(|it| it.parse::<f64>().ok());
    samples.filter_map(value).sum::<f64>() as u64
}

/// Returns the number of times that each key ran over all endpoints of plain services, or `None` if
/// any of them does not respond.
pub(crate) async fn fetch_run_counts(plain: &[LoadPlainEndpoint]) -> Option<BTreeMap<String, u64>> {
    #[derive(Deserialize)]
    struct CountsPage {
        keys: BTreeMap<String, u64>,
    }
    let client = Client::new(REQUEST_TIMEOUT_MS);
    let mut runs = BTreeMap::new();
    for endpoint in plain {
        let (_, body) = client.call(endpoint.addr, "GET", "/counts", None, empty()).await.ok()?;
        let page: CountsPage = serde_json::from_slice(&body).ok()?;
        for (key, count) in page.keys {
            *runs.entry(key).or_default() += count;
        }
    }
    Some(runs)
}
