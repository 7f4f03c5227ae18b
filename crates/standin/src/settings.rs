//! The settings of `jf-standin`.

use {
    crate::orders::ImageSpec,
    model::{Fencing, Name},
    serde::Deserialize,
    settings::{LogSettings, Validate, require},
    std::net::SocketAddr,
};

/// Settings of one mock engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EngineSettings {
    /// Unique name, used in logs.
    pub name: Name,
    /// The listen address.
    pub listen: SocketAddr,
    /// Whether orders with a stale fencing token are rejected; default `checked`.
    #[serde(default = "checked")]
    pub fencing: Fencing,
    /// Duration of a batch step in microseconds; default 4000.
    #[serde(default = "step_us")]
    pub step_us: u64,
    /// Maximum number of concurrently running jobs; default 16.
    #[serde(default = "batch_jobs")]
    pub batch_jobs: usize,
    /// Maximum number of prompt tokens computed per step; default 512.
    #[serde(default = "prefill_tokens")]
    pub prefill_tokens: u32,
    /// Capacity of the prompt cache in tokens; default 200000.
    #[serde(default = "cache_tokens")]
    pub cache_tokens: u64,
    /// Lag of the load report in milliseconds; default 200.
    #[serde(default = "lag_ms")]
    pub load_lag_ms: u64,
    /// Delay in milliseconds before cache events become visible; default 500.
    #[serde(default = "event_ms")]
    pub event_delay_ms: u64,
    /// Every `event_gap`th cache event is lost, none if zero; default 7.
    #[serde(default = "event_gap")]
    pub event_gap: u64,
    /// Time to load an image in milliseconds; default 500.
    #[serde(default = "load_ms")]
    pub image_load_ms: u64,
    /// Address of the weight store to fetch images from, if any.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// Restart time after a crash in milliseconds; default 1000.
    #[serde(default = "restart_ms")]
    pub restart_ms: u64,
    /// A request with a message that contains this text crashes the engine; default `POISON-PILL`.
    #[serde(default = "poison")]
    pub poison: String,
    /// Images that are loaded at startup.
    #[serde(default)]
    pub(crate) images: Vec<ImageSpec>,
}

impl EngineSettings {
    /// Returns default settings for an engine that has `model` loaded.
    pub fn new(name: &str, listen: SocketAddr, model: &str) -> EngineSettings {
        EngineSettings {
            name: name.into(),
            listen,
            fencing: checked(),
            step_us: step_us(),
            batch_jobs: batch_jobs(),
            prefill_tokens: prefill_tokens(),
            cache_tokens: cache_tokens(),
            load_lag_ms: lag_ms(),
            event_delay_ms: event_ms(),
            event_gap: event_gap(),
            image_load_ms: load_ms(),
            weight_store: None,
            restart_ms: restart_ms(),
            poison: poison(),
            images: vec![ImageSpec { model: model.into(), adapter: "".into(), version: "".into() }],
        }
    }
}

/// Settings of one mock plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlainSettings {
    /// Unique name, used in logs.
    pub name: Name,
    /// The listen address.
    pub listen: SocketAddr,
    /// Duration of a call in milliseconds; default 5.
    #[serde(default = "call_ms")]
    pub call_ms: u64,
    /// Lag of the load report in milliseconds; default 200.
    #[serde(default = "lag_ms")]
    pub load_lag_ms: u64,
}

/// One entry of the mock host list.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ListedHost {
    /// The host name.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// `live` or `leaving`; default `live`.
    #[serde(default = "live")]
    pub state: Name,
}

/// Settings of the mock host list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HostListSettings {
    /// The listen address.
    pub listen: SocketAddr,
    /// Lag of the list in milliseconds; default 3000.
    #[serde(default = "host_lag_ms")]
    pub lag_ms: u64,
    /// The initial hosts.
    #[serde(default)]
    pub hosts: Vec<ListedHost>,
}

/// Settings of the mock weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// The listen address.
    pub listen: SocketAddr,
    /// Maximum number of images served per ten seconds; default 20.
    #[serde(default = "per_ten_seconds")]
    pub per_ten_seconds: u32,
}

/// The settings of `jf-standin`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct StandinSettings {
    /// The engines.
    pub engine: Vec<EngineSettings>,
    /// The plain services.
    pub plain: Vec<PlainSettings>,
    /// The host list, if one is served.
    pub host_list: Option<HostListSettings>,
    /// The weight store, if one is served.
    pub weight_store: Option<WeightStoreSettings>,
    /// Log format and level.
    pub log: LogSettings,
}

impl Validate for StandinSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        let engines = self.engine.iter().map(|it| &it.name);
        let names: Vec<&Name> = engines.chain(self.plain.iter().map(|it| &it.name)).collect();
        let distinct = names.iter().enumerate().all(|(at, it)| !names[..at].contains(it));
        let all = |test: fn(&EngineSettings) -> bool| self.engine.iter().all(test);
        require("name", distinct, "expected unique names")?;
        require("engine.step-us", all(|it| it.step_us > 0), "expected at least 1")?;
        require("engine.batch-jobs", all(|it| it.batch_jobs > 0), "expected at least 1")?;
        require("engine.prefill-tokens", all(|it| it.prefill_tokens > 0), "expected at least 1")?;
        require("engine.poison", all(|it| !it.poison.is_empty()), "expected a non-empty string")
    }
}

fn checked() -> Fencing {
    Fencing::Checked
}

fn step_us() -> u64 {
    4_000
}

fn batch_jobs() -> usize {
    16
}

fn prefill_tokens() -> u32 {
    512
}

fn cache_tokens() -> u64 {
    200_000
}

fn lag_ms() -> u64 {
    200
}

fn event_ms() -> u64 {
    500
}

fn event_gap() -> u64 {
    7
}

fn load_ms() -> u64 {
    500
}

fn restart_ms() -> u64 {
    1_000
}

fn poison() -> String {
    "POISON-PILL".to_owned()
}

fn call_ms() -> u64 {
    5
}

fn host_lag_ms() -> u64 {
    3_000
}

fn per_ten_seconds() -> u32 {
    20
}

fn live() -> Name {
    "live".into()
}
