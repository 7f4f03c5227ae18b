//! The settings of `jf-standin`: many endpoints in one process.

use {
    crate::orders::ImageText,
    model::{Fencing, Name},
    serde::Deserialize,
    settings::{LogSettings, Validate, require},
    std::net::SocketAddr,
};

/// One stand-in engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EngineSettings {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Whether it refuses orders with an old fencing number; default `checked`.
    #[serde(default = "checked")]
    pub fencing: Fencing,
    /// Microseconds that a step takes; default 4000.
    #[serde(default = "step_us")]
    pub step_us: u64,
    /// Jobs that run at once; default 16.
    #[serde(default = "batch_jobs")]
    pub batch_jobs: usize,
    /// Prompt tokens computed in one step; default 512.
    #[serde(default = "prefill_tokens")]
    pub prefill_tokens: u32,
    /// Tokens that the prompt cache holds; default 200000.
    #[serde(default = "cache_tokens")]
    pub cache_tokens: u64,
    /// Milliseconds by which the load report lags; default 200.
    #[serde(default = "lag_ms")]
    pub load_lag_ms: u64,
    /// Milliseconds after which cache events show; default 500.
    #[serde(default = "event_ms")]
    pub event_delay_ms: u64,
    /// Each so-manieth cache event is lost, none if zero; default 7.
    #[serde(default = "event_gap")]
    pub event_gap: u64,
    /// Milliseconds that loading an image takes; default 500.
    #[serde(default = "load_ms")]
    pub image_load_ms: u64,
    /// The weight store to load from, if it is to be asked.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// Milliseconds until it is back after a crash; default 1000.
    #[serde(default = "restart_ms")]
    pub restart_ms: u64,
    /// A message that contains this text crashes the engine that runs it; default `POISON-PILL`.
    #[serde(default = "poison")]
    pub poison: String,
    /// What it carries at the start.
    #[serde(default)]
    pub(crate) images: Vec<ImageText>,
}

impl EngineSettings {
    /// Returns the defaults for an engine that carries `model`.
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
            images: vec![ImageText { model: model.into(), adapter: "".into(), version: "".into() }],
        }
    }
}

/// One stand-in plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PlainSettings {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Milliseconds that a call takes; default 5.
    #[serde(default = "call_ms")]
    pub call_ms: u64,
    /// Milliseconds by which the load report lags; default 200.
    #[serde(default = "lag_ms")]
    pub load_lag_ms: u64,
}

/// One host in the stand-in host list.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ListedHost {
    /// Its name.
    pub host: Name,
    /// Its failure domain.
    pub domain: Name,
    /// `live` or `leaving`; default `live`.
    #[serde(default = "live")]
    pub state: Name,
}

/// The stand-in host list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct HostListSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Milliseconds by which it lags; default 3000.
    #[serde(default = "host_lag_ms")]
    pub lag_ms: u64,
    /// The hosts at the start.
    #[serde(default)]
    pub hosts: Vec<ListedHost>,
}

/// The stand-in weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Images handed out in ten seconds; default 20.
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
    /// The host list.
    pub host_list: Option<HostListSettings>,
    /// The weight store.
    pub weight_store: Option<WeightStoreSettings>,
    /// How this process logs.
    pub log: LogSettings,
}

impl Validate for StandinSettings {
    fn validate(&self) -> Result<(), (&'static str, String)> {
        let engines = self.engine.iter().map(|it| &it.name);
        let names: Vec<&Name> = engines.chain(self.plain.iter().map(|it| &it.name)).collect();
        let distinct = names.iter().enumerate().all(|(at, it)| !names[..at].contains(it));
        let all = |test: fn(&EngineSettings) -> bool| self.engine.iter().all(test);
        require("name", distinct, "expected each name once")?;
        require("engine.step-us", all(|it| it.step_us > 0), "expected at least 1")?;
        require("engine.batch-jobs", all(|it| it.batch_jobs > 0), "expected at least 1")?;
        require("engine.prefill-tokens", all(|it| it.prefill_tokens > 0), "expected at least 1")?;
        require(
            "engine.poison",
            all(|it| !it.poison.is_empty()),
            "expected a text, found an empty one",
        )
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
