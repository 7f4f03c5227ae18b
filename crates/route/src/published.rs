//! Which of the configurations that were sent is in force.

use {
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// What became of a configuration that was sent.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum PublishOutcome {
    /// It is in force.
    InForce,
    /// One with this version or a higher one is in force; nothing changed.
    Overtaken {
        /// The version in force.
        version: u64,
    },
}

/// The newest configuration, as its sender wrote it.
///
/// The version alone decides: other content under a version that is held changes nothing, so that a resend can always
/// be acknowledged.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub struct PublishedConfig {
    version: Option<u64>,
    #[debug("{} bytes", document.len())]
    document: Vec<u8>,
}

impl PublishedConfig {
    /// Takes a configuration that is known to be valid.
    pub fn publish(&mut self, version: u64, document: Vec<u8>) -> PublishOutcome {
        match self.version {
            Some(held) if version <= held => PublishOutcome::Overtaken { version: held },
            _ => {
                *self = PublishedConfig { version: Some(version), document };
                PublishOutcome::InForce
            }
        }
    }

    /// The version in force; none before the first.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The document in force; empty before the first.
    pub fn document(&self) -> &[u8] {
        &self.document
    }
}
