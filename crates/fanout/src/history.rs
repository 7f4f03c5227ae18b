//! A routing configuration and the deltas that lead to it, encoded once for all routers.

use {
    derive_more::Debug,
    route::{RouteDelta, RoutingConfig},
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
    full: OnceLock<Option<Encoded>>,
    deltas: Vec<Arc<EncodedDelta>>,
}

impl ConfigHistory {
    /// Creates the history of a first configuration.
    pub fn new(config: Arc<RoutingConfig>) -> ConfigHistory {
        ConfigHistory { config, full: OnceLock::new(), deltas: Vec::new() }
    }

    /// Returns the history with `config` as the next version, and computes the delta to it.
    pub fn next(&self, config: Arc<RoutingConfig>) -> ConfigHistory {
        match compress_or_log(&RouteDelta::between(&self.config, &config)) {
            Some(delta) => self.next_with_delta(config, delta),
            None => ConfigHistory::new(config),
        }
    }

    /// Returns the history with `config` as the next version. `delta` is the compressed [`RouteDelta`] from the current
    /// version to it.
    pub fn next_with_delta(&self, config: Arc<RoutingConfig>, delta: Compressed) -> ConfigHistory {
        let Some(message) = Encoded::new(&WatchUpdate::LayoutDelta(delta)) else {
            return ConfigHistory::new(config);
        };
        let excess = (self.deltas.len() + 1).saturating_sub(MAX_DELTAS);
        let mut deltas = self.deltas[excess..].to_vec();
        deltas.push(Arc::new(EncodedDelta { base: self.config.version, message }));
        ConfigHistory { config, full: OnceLock::new(), deltas }
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.config
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.config.version
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
        let encode =
            || compress_or_log(&*self.config).and_then(|it| Encoded::new(&WatchUpdate::Layout(it)));
        self.full.get_or_init(encode).iter().collect()
    }
}

fn compress_or_log<T>(value: &T) -> Option<Compressed>
where
    T: serde::Serialize,
{
    match Compressed::encode(value) {
        Ok(compressed) => Some(compressed),
        Err(err) => {
            tracing::error!(
                event = "layout-unpacked",
                %err,
                "fanout: cannot encode a routing configuration"
            );
            None
        }
    }
}
