//! The operator, who publishes routing configurations and reads them back.

use {
    crate::{
        record::Shared,
        site::{TOKEN, layout},
    },
    edge::{Client, empty, full},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long one call may take, in milliseconds.
const CALL_MS: u64 = 3_000;

/// The pause before a change without a clear answer is sent again.
const RETRY: Duration = Duration::from_millis(200);

/// Publishes configurations at versions of its own choice.
pub(crate) struct Operator {
    record: Shared,
    client: Client,
    /// Where the replicas serve operators.
    replicas: Vec<SocketAddr>,
    version: AtomicU64,
}

impl Operator {
    pub(crate) fn new(record: Shared, replicas: Vec<SocketAddr>) -> Operator {
        Operator { record, client: Client::new(CALL_MS), replicas, version: AtomicU64::new(0) }
    }

    /// Publishes the next version, again and again until it is acknowledged; false if that is not in time.
    pub(crate) async fn publish(&self, limit: Duration) -> bool {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let Ok(document) = serde_json::to_string(&layout(version)) else { return false };
        let deadline = Instant::now() + limit;
        self.record.publishes(version, Instant::now());
        while Instant::now() < deadline {
            for replica in &self.replicas {
                let body = full(document.clone());
                let called =
                    self.client.call(*replica, "PUT", "/v1/layout", Some(TOKEN), body).await;
                match called {
                    Ok((200, _)) => {
                        self.record.published(version, Instant::now());
                        return true;
                    }
                    Ok((422 | 400 | 409, body)) => {
                        let text = format!("version {version} is refused: {body:?}");
                        self.record.violation("configuration", &text);
                        return false;
                    }
                    // Not the leader, or no quorum: another replica may know better.
                    Ok(_) | Err(_) => {}
                }
            }
            sleep(RETRY).await;
        }
        false
    }

    /// Reads the version in force; none if it cannot be had in time.
    pub(crate) async fn read(&self, limit: Duration) -> Option<u64> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            for replica in &self.replicas {
                let acknowledged = self.record.acknowledged(Instant::now());
                let called =
                    self.client.call(*replica, "GET", "/v1/layout", Some(TOKEN), empty()).await;
                let Ok((200, body)) = called else { continue };
                let read: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
                let version = read.and_then(|it| it.get("version")?.as_u64());
                if version < acknowledged {
                    let text = format!("read {version:?}, acknowledged is {acknowledged:?}");
                    self.record.violation("configuration", &text);
                }
                return version;
            }
            sleep(RETRY).await;
        }
        None
    }
}
