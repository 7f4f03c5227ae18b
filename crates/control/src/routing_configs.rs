//! Publishes and reads routing configurations.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        documents::{Document, LinkBusy},
        leader_calls::{self, LeaderCall, LeaderReply},
        replicated_log::CommitError,
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    fanout::ConfigHistory,
    route::{PublishOutcome, RoutingConfig},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
    wire::{Compressed, CompressionError},
};

/// How long a read waits for the leader and for this replica to learn of a configuration that the leader has. An operator
/// that is refused has time left to receive the document from another replica.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The format of routing configuration documents.
pub trait RoutingConfigFormat: Send + Sync {
    /// Decodes a document that is to be published.
    ///
    /// # Errors
    ///
    /// A one-line description of why the document is invalid.
    fn decode(&self, document: &[u8]) -> Result<RoutingConfig, String>;

    /// Decodes a committed document, which a replica of an older build may have accepted although [`Self::decode`] refuses
    /// it.
    ///
    /// # Errors
    ///
    /// A one-line description of why the document is invalid.
    fn decode_committed(&self, document: &[u8]) -> Result<RoutingConfig, String> {
        self.decode(document)
    }
}

/// The default format: [`RoutingConfig`] as JSON.
#[derive(Clone, Copy, Debug)]
pub struct JsonFormat;

impl RoutingConfigFormat for JsonFormat {
    fn decode(&self, document: &[u8]) -> Result<RoutingConfig, String> {
        let text = str::from_utf8(document).map_err(|it| it.to_string())?;
        serde_json::from_str(text).map_err(|it| it.to_string())
    }

    fn decode_committed(&self, document: &[u8]) -> Result<RoutingConfig, String> {
        serde_json::from_slice(document).map_err(|it| it.to_string())
    }
}

/// Why a configuration could not be published or read.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum PublishError {
    /// The configuration cannot be decoded or violates a rule.
    #[display("{reason}")]
    Invalid {
        /// Why the configuration is invalid.
        reason: String,
    },
    /// This replica is not the leader, and did not reach it in time. A publication had no effect.
    #[display("this replica is not the leader and cannot reach it")]
    NotLeader {
        /// The address on which the leader serves replicas and routers, if known.
        leader: Option<SocketAddr>,
    },
    /// This replica is sending a document to another operator, which its link does not bear twice. Another replica may
    /// send it.
    #[display("this replica is sending a document to another operator")]
    Busy,
    /// The outcome of a publication, or the newest configuration for a read, is unknown.
    #[display("no quorum answered in time")]
    Unknown,
}

/// A handle for publishing and reading routing configurations. Clones refer to the same replica.
#[derive(Clone)]
pub struct RoutingConfigStore {
    shared: Arc<Shared>,
}

impl RoutingConfigStore {
    pub(crate) fn new(shared: Arc<Shared>) -> RoutingConfigStore {
        RoutingConfigStore { shared }
    }

    /// Publishes a configuration.
    ///
    /// When this returns `Ok`, a majority of the replicas has this configuration or one with a higher version on disk
    /// and knows that it is committed. Because they know, the other replicas send it to routers even if this replica
    /// fails immediately afterwards. Otherwise they would need a new leader first, and electing one takes longer than
    /// a configuration may take to come into force.
    ///
    /// # Errors
    ///
    /// [`PublishError`].
    pub async fn publish(&self, document: Bytes) -> Result<PublishOutcome, PublishError> {
        let decoded = self.shared.config_format.decode(&document);
        let checked = decoded.and_then(|it| it.check().map(|()| it).map_err(|it| it.to_string()));
        let config = checked.map_err(|reason| {
            tracing::warn!(
                event = "layout-refused",
                reason,
                "control: rejected an invalid routing configuration"
            );
            PublishError::Invalid { reason }
        })?;
        let version = config.version;
        let compressed = Compressed::compress(&document).map_err(|it| codec_error(&it))?;
        let document = compressed.as_bytes().to_vec();
        let mut result = commit(&self.shared, version, document.clone()).await;
        if result == Err(CommitError::NotLeader) {
            let call = LeaderCall::Publish { version, document };
            let reply = leader_calls::call_with_command(&self.shared, &call).await;
            result = reply.and_then(|it| match it {
                LeaderReply::Published(outcome) => Ok(outcome),
                _ => Err(CommitError::Unknown),
            });
        }
        match result {
            Ok(verdict) => {
                tracing::info!(
                    event = "layout-published",
                    version,
                    ?verdict,
                    "control: published a routing configuration"
                );
                Ok(verdict)
            }
            Err(err) => {
                tracing::warn!(
                    event = "layout-unpublished",
                    version,
                    %err,
                    "control: cannot publish a routing configuration"
                );
                Err(self.publish_error(err))
            }
        }
    }

    /// Returns the newest acknowledged configuration as its publisher wrote it, or an empty document before the first.
    ///
    /// # Errors
    ///
    /// [`PublishError::NotLeader`], [`PublishError::Unknown`] or [`PublishError::Busy`].
    pub async fn read(&self) -> Result<Document, PublishError> {
        let limiter = &self.shared.document_limiter;
        if limiter.is_busy() {
            return Err(PublishError::Busy);
        }
        let deadline = Instant::now() + READ_TIMEOUT;
        let compressed = timeout_at(deadline, async {
            let newest = self.newest_version(deadline).await?;
            Ok(self.document_since(newest).await)
        });
        let compressed = compressed.await.unwrap_or(Err(CommitError::Unknown));
        let compressed = compressed.map_err(|it| self.publish_error(it))?;
        let document =
            Compressed::from_compressed(compressed).decompress().map_err(|it| codec_error(&it))?;
        limiter.admit(document.into()).map_err(|LinkBusy| PublishError::Busy)
    }

    /// Returns the version of the newest acknowledged configuration, from the leader if it is another replica.
    async fn newest_version(&self, deadline: Instant) -> Result<Option<u64>, CommitError> {
        let newest = newest_version(&self.shared).await;
        if newest != Err(CommitError::NotLeader) {
            return newest;
        }
        let call = LeaderCall::NewestVersion;
        match leader_calls::call(&self.shared, &call, deadline, deadline).await? {
            LeaderReply::NewestVersion(version) => Ok(version),
            _ => Err(CommitError::Unknown),
        }
    }

    /// Waits until this replica has `version` or a higher one, and returns its compressed document.
    async fn document_since(&self, version: Option<u64>) -> Vec<u8> {
        let mut changes = self.shared.log.subscribe();
        loop {
            changes.mark_unchanged();
            let document = self.shared.log.with_state(|it| {
                let is_current = it.published.version() >= version;
                is_current.then(|| it.published.document().to_vec())
            });
            if let Some(document) = document {
                return document;
            }
            if changes.changed().await.is_err() {
                // The replica has stopped, so the version will not arrive.
                return std::future::pending().await;
            }
        }
    }

    fn publish_error(&self, err: CommitError) -> PublishError {
        match err {
            CommitError::NotLeader => {
                PublishError::NotLeader { leader: self.shared.log.leader_internal_addr() }
            }
            CommitError::Unknown => PublishError::Unknown,
        }
    }
}

/// Commits a validated configuration, if this replica is the leader. When this returns `Ok`, a majority of the replicas
/// knows that it is committed.
pub(crate) async fn commit(
    shared: &Shared,
    version: u64,
    document: Vec<u8>,
) -> Result<PublishOutcome, CommitError> {
    let Output::Published(outcome) =
        shared.log.propose(&Command::Publish { version, document }).await?
    else {
        return Err(CommitError::Unknown);
    };
    shared.log.propose(&Command::Barrier).await?;
    Ok(outcome)
}

/// Returns the version of the newest acknowledged configuration, if this replica is the leader.
pub(crate) async fn newest_version(shared: &Shared) -> Result<Option<u64>, CommitError> {
    shared.log.read_barrier().await?;
    Ok(shared.log.with_state(|it| it.published.version()))
}

fn codec_error(err: &CompressionError) -> PublishError {
    tracing::error!(
        event = "layout-unreadable",
        %err,
        "control: cannot compress or decompress a routing configuration"
    );
    PublishError::Unknown
}

/// Decodes each committed configuration and publishes it to the watch streams.
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
    let document = Compressed::from_compressed(document).decompress().map_err(|it| it.to_string());
    match document.and_then(|it| shared.config_format.decode_committed(&it)) {
        Ok(config) => {
            tracing::info!(
                event = "layout-committed",
                version = config.version,
                "control: routing configuration committed"
            );
            shared.bulk_limiter.set_version(config.version);
            let history = match previous {
                None => ConfigHistory::new(Arc::new(config)),
                Some(previous) => previous.next(Arc::new(config)),
            };
            shared.routing_config.send_replace(Some(Arc::new(history)));
        }
        Err(reason) => {
            tracing::error!(
                event = "layout-unreadable",
                reason,
                "control: cannot decode the committed routing configuration"
            );
        }
    }
}
