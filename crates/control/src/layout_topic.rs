//! The routing configuration in force, and the steps by which a router that has an earlier one gets there.

use {
    derive_more::Debug,
    route::{RouteDelta, RoutingConfig},
    std::sync::{Arc, OnceLock},
    wire::{Compressed, Encoded, msg::WatchUpdate},
};

/// How many steps are kept: a router that missed more of them gets the whole configuration.
const MAX_STEPS: usize = 16;

/// The message that leads from one version to the next one that is kept.
#[derive(Clone, Debug)]
struct LayoutStep {
    base: u64,
    message: Encoded,
}

/// A configuration and the steps to it, each encoded once for all routers.
#[derive(Debug)]
pub(crate) struct LayoutTopic {
    layout: RoutingConfig,
    whole: OnceLock<Option<Encoded>>,
    steps: Vec<Arc<LayoutStep>>,
}

impl LayoutTopic {
    pub(crate) fn first(layout: RoutingConfig) -> LayoutTopic {
        LayoutTopic { layout, whole: OnceLock::new(), steps: Vec::new() }
    }

    /// Returns the topic of the configuration that follows this one.
    pub(crate) fn next(&self, layout: RoutingConfig) -> LayoutTopic {
        let delta = RouteDelta::between(&self.layout, &layout);
        let message = pack(&delta).and_then(|it| Encoded::new(&WatchUpdate::LayoutDelta(it)));
        let base = self.layout.version;
        let mut steps = match message {
            Some(_) => self.steps.clone(),
            None => Vec::new(),
        };
        steps.extend(message.map(|message| Arc::new(LayoutStep { base, message })));
        let extra = steps.len().saturating_sub(MAX_STEPS);
        steps.drain(..extra);
        LayoutTopic { layout, whole: OnceLock::new(), steps }
    }

    pub(crate) fn version(&self) -> u64 {
        self.layout.version
    }

    /// Returns the messages for a router that has the version `have`: the steps from there, else the whole
    /// configuration; nothing if it has this one or a later one.
    pub(crate) fn answer(&self, have: Option<u64>) -> Vec<&Encoded> {
        if have.is_some_and(|it| it >= self.version()) {
            return Vec::new();
        }
        let from = self.steps.iter().position(|it| Some(it.base) == have);
        if let Some(from) = from {
            return self.steps[from..].iter().map(|it| &it.message).collect();
        }
        let encode = || pack(&self.layout).and_then(|it| Encoded::new(&WatchUpdate::Layout(it)));
        self.whole.get_or_init(encode).iter().collect()
    }
}

fn pack<T>(value: &T) -> Option<Compressed>
where
    T: serde::Serialize,
{
    match Compressed::encode(value) {
        Ok(packed) => Some(packed),
        Err(err) => {
            tracing::error!(event = "layout-unpacked", %err, "control: configuration cannot be told");
            None
        }
    }
}
