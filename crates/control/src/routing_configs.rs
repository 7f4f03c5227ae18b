//! Publishing and reading whole routing configurations.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        replicated_log::CommitError,
        routing_config_topic::RoutingConfigTopic,
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    route::{PublishOutcome, RoutingConfig},
    std::{net::SocketAddr, sync::Arc},
    wire::{PackError, Packed},
};

/// How routing configurations are written.
pub trait RoutingConfigFormat: Send + Sync {
    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// What is wrong with it, in one line.
    fn decode(&self, document: &[u8]) -> Result<RoutingConfig, String>;
}

/// The product's own format: [`RoutingConfig`] as JSON.
#[derive(Clone, Copy, Debug)]
pub struct JsonFormat;

impl RoutingConfigFormat for JsonFormat {
    fn decode(&self, document: &[u8]) -> Result<RoutingConfig, String> {
        serde_json::from_slice(document).map_err(|it| it.to_string())
    }
}

/// A configuration was not published, or cannot be read.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum PublishError {
    /// It cannot be decoded or breaks a rule.
    #[display("{reason}")]
    Invalid {
        /// What is wrong with it.
        reason: String,
    },
    /// Another replica leads.
    #[display("this replica does not lead")]
    NotLeader {
        /// Where the leader serves replicas and routers, if it is committed.
        leader: Option<SocketAddr>,
    },
    /// It may or may not have been published, or what is newest is not committed.
    #[display("no quorum answered in time")]
    Unknown,
}

/// The way to publish and read routing configurations; clones are handles to the same replica.
#[derive(Clone)]
pub struct RoutingConfigStore {
    shared: Arc<Shared>,
}

impl RoutingConfigStore {
    pub(crate) fn new(shared: Arc<Shared>) -> RoutingConfigStore {
        RoutingConfigStore { shared }
    }

    /// Commits a configuration; when this returns, a majority has it on disk, or one with a higher version, and knows
    /// that it is committed.
    ///
    /// The latter lets routers hear of it even if this replica is lost at once: the others need no new leader, whose
    /// election takes longer than a configuration may take to be in force.
    ///
    /// # Errors
    ///
    /// [`PublishError`].
    pub async fn publish(&self, document: Bytes) -> Result<PublishOutcome, PublishError> {
        let decoded = self.shared.config_format.decode(&document);
        let checked = decoded.and_then(|it| it.check().map(|()| it).map_err(|it| it.to_string()));
        let config = checked.map_err(|reason| {
            tracing::warn!(event = "layout-refused", reason, "control: refused a configuration");
            PublishError::Invalid { reason }
        })?;
        let version = config.version;
        let packed = Packed::of_bytes(&document).map_err(|it| codec_error(&it))?;
        let command = Command::Publish { version, document: packed.packed().to_vec() };
        match self.shared.log.propose(&command).await {
            Ok(Output::Published(verdict)) => {
                let committed = self.shared.log.propose(&Command::Barrier).await;
                committed.map_err(|it| self.publish_error(it))?;
                tracing::info!(event = "layout-published", version, ?verdict, "control: published");
                Ok(verdict)
            }
            Ok(_) => Err(PublishError::Unknown),
            Err(err) => {
                tracing::warn!(event = "layout-unpublished", version, %err, "control: not published");
                Err(self.publish_error(err))
            }
        }
    }

    /// Returns the newest configuration that was acknowledged, as its sender wrote it; empty before the first.
    ///
    /// # Errors
    ///
    /// [`PublishError::NotLeader`] or [`PublishError::Unknown`].
    pub async fn read(&self) -> Result<Bytes, PublishError> {
        self.shared.log.read_barrier().await.map_err(|it| self.publish_error(it))?;
        let packed = self.shared.log.with_state(|it| it.published.document().to_vec());
        let document = Packed::from_packed(packed).to_bytes().map_err(|it| codec_error(&it))?;
        Ok(document.into())
    }

    fn publish_error(&self, err: CommitError) -> PublishError {
        match err {
            CommitError::NotLeader => {
                PublishError::NotLeader { leader: self.shared.log.leader_inner_addr() }
            }
            CommitError::Unknown => PublishError::Unknown,
        }
    }
}

fn codec_error(err: &PackError) -> PublishError {
    tracing::error!(event = "layout-unreadable", %err, "control: document cannot be packed");
    PublishError::Unknown
}

/// Decodes each configuration that is committed, for the routers that watch.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.log.subscribe();
    loop {
        update_topic(&shared);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn update_topic(shared: &Shared) {
    let previous = shared.routing_config.borrow().clone();
    let version = previous.as_ref().map(|it| it.version());
    let document = shared.log.with_state(|it| {
        let changed = it.published.version() != version;
        changed.then(|| it.published.document().to_vec())
    });
    let Some(document) = document else { return };
    let document = Packed::from_packed(document).to_bytes().map_err(|it| it.to_string());
    match document.and_then(|it| shared.config_format.decode(&it)) {
        Ok(config) => {
            tracing::info!(
                event = "layout-committed",
                version = config.version,
                "control: in force"
            );
            let topic = match previous {
                None => RoutingConfigTopic::new(config),
                Some(previous) => previous.next(config),
            };
            shared.routing_config.send_replace(Some(Arc::new(topic)));
        }
        Err(reason) => {
            tracing::error!(
                event = "layout-unreadable",
                reason,
                "control: committed, not readable"
            );
        }
    }
}
