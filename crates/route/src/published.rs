//! Decides which of the published configurations is in force.

use {
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// Result of publishing a configuration.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum PublishOutcome {
    /// The configuration is in force.
    InForce,
    /// The same or a higher version is already in force; nothing changed.
    Overtaken {
        /// The version in force.
        version: u64,
    },
}

/// The configuration in force, as the document that was published.
///
/// Only the version decides: publishing other content under the version in force changes nothing, so that a publish
/// request can always be repeated and acknowledged.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct PublishedConfig {
    version: Option<u64>,
    #[debug("{} bytes", document.len())]
    document: Vec<u8>,
}

impl PublishedConfig {
    /// Publishes a configuration, which must have been validated before.
    pub fn publish(&mut self, version: u64, document: Vec<u8>) -> PublishOutcome {
        match self.version {
            Some(held) if version <= held => PublishOutcome::Overtaken { version: held },
            _ => {
                *self = PublishedConfig { version: Some(version), document };
                PublishOutcome::InForce
            }
        }
    }

    /// The version in force; `None` before the first publication.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The document in force; empty before the first publication.
    pub fn document(&self) -> &[u8] {
        &self.document
    }
}
