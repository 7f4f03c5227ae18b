//! Publishing and reading whole routing configurations.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        layout_topic::LayoutTopic,
        log::NotCommitted,
    },
    bytes::Bytes,
    derive_more::{Debug, Display, Error},
    route::{PublishOutcome, RoutingConfig},
    std::{net::SocketAddr, sync::Arc},
    wire::{Compressed, CompressionError},
};

/// How routing configurations are written.
pub trait LayoutFormat: Send + Sync {
    /// Decodes a document.
    ///
    /// # Errors
    ///
    /// What is wrong with it, in one line.
    fn decode(&self, document: &[u8]) -> Result<RoutingConfig, String>;
}

/// The product's own format: [`RoutingConfig`] as JSON.
#[derive(Clone, Copy, Debug)]
pub struct OwnFormat;

impl LayoutFormat for OwnFormat {
    fn decode(&self, document: &[u8]) -> Result<RoutingConfig, String> {
        serde_json::from_slice(document).map_err(|it| it.to_string())
    }
}

/// A configuration was not published, or cannot be read.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum NotPublished {
    /// It cannot be decoded or breaks a rule.
    #[display("{reason}")]
    Invalid {
        /// What is wrong with it.
        reason: String,
    },
    /// Another replica leads.
    #[display("this replica does not lead")]
    NotLeader {
        /// Where the leader serves replicas and routers, if it is known.
        leader: Option<SocketAddr>,
    },
    /// It may or may not have been published, or what is newest is not known.
    #[display("no quorum answered in time")]
    Unknown,
}

/// The way to publish and read routing configurations; clones are handles to the same replica.
#[derive(Clone)]
pub struct Layouts {
    shared: Arc<Shared>,
}

impl Layouts {
    pub(crate) fn new(shared: Arc<Shared>) -> Layouts {
        Layouts { shared }
    }

    /// Commits a configuration; when this returns, a majority has it on disk, or one with a higher version, and knows
    /// that it is committed.
    ///
    /// The latter lets routers hear of it even if this replica is lost at once: the others need no new leader, whose
    /// election takes longer than a configuration may take to be in force.
    ///
    /// # Errors
    ///
    /// [`NotPublished`].
    pub async fn publish(&self, document: Bytes) -> Result<PublishOutcome, NotPublished> {
        let decoded = self.shared.format.decode(&document);
        let checked = decoded.and_then(|it| it.check().map(|()| it).map_err(|it| it.to_string()));
        let layout = checked.map_err(|reason| {
            tracing::warn!(event = "layout-refused", reason, "control: refused a configuration");
            NotPublished::Invalid { reason }
        })?;
        let version = layout.version;
        let packed = Compressed::compress(&document).map_err(|it| unreadable(&it))?;
        let command = Command::Publish { version, document: packed.as_bytes().to_vec() };
        match self.shared.log.propose(&command).await {
            Ok(Output::Published(verdict)) => {
                let known = self.shared.log.propose(&Command::Barrier).await;
                known.map_err(|it| self.fault(it))?;
                tracing::info!(event = "layout-published", version, ?verdict, "control: published");
                Ok(verdict)
            }
            Ok(_) => Err(NotPublished::Unknown),
            Err(err) => {
                tracing::warn!(event = "layout-unpublished", version, %err, "control: not published");
                Err(self.fault(err))
            }
        }
    }

    /// Returns the newest configuration that was acknowledged, as its sender wrote it; empty before the first.
    ///
    /// # Errors
    ///
    /// [`NotPublished::NotLeader`] or [`NotPublished::Unknown`].
    pub async fn read(&self) -> Result<Bytes, NotPublished> {
        self.shared.log.read().await.map_err(|it| self.fault(it))?;
        let packed = self.shared.log.with(|it| it.published.document().to_vec());
        let document =
            Compressed::from_compressed(packed).decompress().map_err(|it| unreadable(&it))?;
        Ok(document.into())
    }

    fn fault(&self, err: NotCommitted) -> NotPublished {
        match err {
            NotCommitted::NotLeader => {
                NotPublished::NotLeader { leader: self.shared.log.leader_inner() }
            }
            NotCommitted::Unknown => NotPublished::Unknown,
        }
    }
}

fn unreadable(err: &CompressionError) -> NotPublished {
    tracing::error!(event = "layout-unreadable", %err, "control: document cannot be packed");
    NotPublished::Unknown
}

/// Decodes each configuration that is committed, for the routers that watch.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.log.changes();
    loop {
        update(&shared);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn update(shared: &Shared) {
    let held = shared.layout.borrow().clone();
    let version = held.as_ref().map(|it| it.version());
    let document = shared.log.with(|it| {
        let changed = it.published.version() != version;
        changed.then(|| it.published.document().to_vec())
    });
    let Some(document) = document else { return };
    let unpacked = Compressed::from_compressed(document).decompress().map_err(|it| it.to_string());
    match unpacked.and_then(|it| shared.format.decode(&it)) {
        Ok(layout) => {
            tracing::info!(
                event = "layout-committed",
                version = layout.version,
                "control: in force"
            );
            let topic = match held {
                None => LayoutTopic::first(layout),
                Some(held) => held.next(layout),
            };
            shared.layout.send_replace(Some(Arc::new(topic)));
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
