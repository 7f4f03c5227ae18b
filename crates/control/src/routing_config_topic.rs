//! The current routing configuration and the deltas that update a router from an earlier version.

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

/// A configuration and the deltas that lead to it, each encoded once for all routers.
#[derive(Debug)]
pub(crate) struct RoutingConfigTopic {
    config: RoutingConfig,
    full: OnceLock<Option<Encoded>>,
    deltas: Vec<Arc<EncodedDelta>>,
}

impl RoutingConfigTopic {
    pub(crate) fn new(config: RoutingConfig) -> RoutingConfigTopic {
        RoutingConfigTopic { config, full: OnceLock::new(), deltas: Vec::new() }
    }

    /// Returns the topic for the configuration that follows this one.
    pub(crate) fn next(&self, config: RoutingConfig) -> RoutingConfigTopic {
        let delta = RouteDelta::between(&self.config, &config);
        let message =
            compress_or_log(&delta).and_then(|it| Encoded::new(&WatchUpdate::LayoutDelta(it)));
        let base = self.config.version;
        let mut deltas = match message {
            Some(_) => self.deltas.clone(),
            None => Vec::new(),
        };
        deltas.extend(message.map(|message| Arc::new(EncodedDelta { base, message })));
        let excess = deltas.len().saturating_sub(MAX_DELTAS);
        deltas.drain(..excess);
        RoutingConfigTopic { config, full: OnceLock::new(), deltas }
    }

    pub(crate) fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the messages for a router that has the version `since`: the deltas from that version if they are kept,
    /// else the full configuration. Returns nothing if the router has this version or a later one.
    pub(crate) fn messages_since(&self, since: Option<u64>) -> Vec<&Encoded> {
        if since.is_some_and(|it| it >= self.version()) {
            return Vec::new();
        }
        let first = self.deltas.iter().position(|it| Some(it.base) == since);
        if let Some(first) = first {
            return self.deltas[first..].iter().map(|it| &it.message).collect();
        }
        let encode =
            || compress_or_log(&self.config).and_then(|it| Encoded::new(&WatchUpdate::Layout(it)));
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
                "control: cannot encode the routing configuration"
            );
            None
        }
    }
}
