//! A routing configuration and the deltas that lead to it, encoded once for all routers.

use {
    derive_more::Debug,
    route::{EncodingError, FIELD_LEVEL, RouteDelta, RoutingConfig},
    std::sync::{Arc, OnceLock},
    wire::{Compressed, Encoded, msg::WatchUpdate},
};

/// The maximum number of deltas. A router that is further behind gets the full configuration.
const MAX_DELTAS: usize = 16;

/// The encoded delta from version `base` to the next version.
#[derive(Clone, Debug)]
struct EncodedDelta {
    base: u64,
    message: Encoded,
}

/// A configuration and the deltas that lead to it.
#[derive(Debug)]
pub struct ConfigHistory {
    config: Arc<RoutingConfig>,
    /// The level up to which the fields of the configuration are known.
    level: u32,
    full: OnceLock<Option<Encoded>>,
    deltas: Vec<Arc<EncodedDelta>>,
}

impl ConfigHistory {
    /// Creates the history of a first configuration, all of whose fields are known.
    pub fn new(config: Arc<RoutingConfig>) -> ConfigHistory {
        ConfigHistory::with_level(config, FIELD_LEVEL)
    }

    /// Creates the history of a first configuration whose fields are known up to `level`. Other routers are sent no
    /// higher ones, so that they ask for these elsewhere.
    pub fn with_level(config: Arc<RoutingConfig>, level: u32) -> ConfigHistory {
        ConfigHistory { config, level, full: OnceLock::new(), deltas: Vec::new() }
    }

    /// Returns the history with `config` as the next version, and computes the delta to it.
    pub fn next(&self, config: Arc<RoutingConfig>) -> ConfigHistory {
        let delta = RouteDelta::between(&self.config, &config);
        match compress_or_log(delta.encode(self.level)) {
            Some(delta) => self.next_with_delta(config, delta, self.level),
            None => ConfigHistory::with_level(config, self.level),
        }
    }

    /// Returns the history with `config` as the next version. `delta` is the compressed [`RouteDelta`] from the current
    /// version to it, with the fields up to `level`.
    pub fn next_with_delta(
        &self,
        config: Arc<RoutingConfig>,
        delta: Compressed,
        level: u32,
    ) -> ConfigHistory {
        let level = level.min(self.level);
        let Some(message) = Encoded::new(&WatchUpdate::LayoutDelta(delta)) else {
            return ConfigHistory::with_level(config, level);
        };
        let excess = (self.deltas.len() + 1).saturating_sub(MAX_DELTAS);
        let mut deltas = self.deltas[excess..].to_vec();
        deltas.push(Arc::new(EncodedDelta { base: self.config.version, message }));
        ConfigHistory { config, level, full: OnceLock::new(), deltas }
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.config
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the level up to which the fields of the current configuration are known.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Returns the messages for a router that has the version `since`: the deltas from that version if they are kept,
    /// else the full configuration. Returns nothing if the router has this version or a later one.
    pub fn messages_since(&self, since: Option<u64>) -> Vec<&Encoded> {
        if since.is_some_and(|it| it >= self.version()) {
            return Vec::new();
        }
        let first = self.deltas.iter().position(|it| Some(it.base) == since);
        if let Some(first) = first {
            return self.deltas[first..].iter().map(|it| &it.message).collect();
        }
        let encode = || {
            let compressed = compress_or_log(self.config.encode(self.level))?;
            Encoded::new(&WatchUpdate::Layout(compressed))
        };
        self.full.get_or_init(encode).iter().collect()
    }
}

fn compress_or_log(encoded: Result<Vec<u8>, EncodingError>) -> Option<Compressed> {
    let compressed = encoded
        .map_err(|it| it.to_string())
        .and_then(|it| Compressed::compress(&it).map_err(|it| it.to_string()));
    match compressed {
        Ok(compressed) => Some(compressed),
        Err(err) => {
            tracing::error!(
                event = "layout-unpacked",
                err,
                "fanout: cannot encode a routing configuration"
            );
            None
        }
    }
}
