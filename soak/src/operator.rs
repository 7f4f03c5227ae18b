//! An operator that publishes routing configurations and reads them back.

use {
    crate::{
        config::{TOKEN, routing_config},
        history::SharedHistory,
    },
    edge::{Client, empty, full},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Timeout of one request in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 3_000;

/// Pause before a request without a definite response is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Publishes configurations with increasing versions.
pub(crate) struct Operator {
    history: SharedHistory,
    client: Client,
    /// Admin addresses of the control replicas.
    replicas: Vec<SocketAddr>,
    version: AtomicU64,
}

impl Operator {
    pub(crate) fn new(history: SharedHistory, replicas: Vec<SocketAddr>) -> Operator {
        Operator {
            history,
            client: Client::new(REQUEST_TIMEOUT_MS),
            replicas,
            version: AtomicU64::new(0),
        }
    }

    /// Publishes the next version and retries until it is acknowledged; returns false if that takes longer than `limit`.
    pub(crate) async fn publish(&self, limit: Duration) -> bool {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let Ok(document) = serde_json::to_string(&routing_config(version)) else { return false };
        let deadline = Instant::now() + limit;
        self.history.record_publish(version, Instant::now());
        while Instant::now() < deadline {
            for replica in &self.replicas {
                let body = full(document.clone());
                let response =
                    self.client.call(*replica, "PUT", "/v1/layout", Some(TOKEN), body).await;
                match response {
                    Ok((200, _)) => {
                        self.history.record_acknowledged(version, Instant::now());
                        return true;
                    }
                    Ok((422 | 400 | 409, body)) => {
                        let text = format!("version {version} was rejected: {body:?}");
                        self.history.record_violation("configuration", &text);
                        return false;
                    }
                    // Not the leader, or no quorum: try the next replica.
                    Ok(_) | Err(_) => {}
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        false
    }

    /// Reads the current version; returns `None` if that takes longer than `limit`.
    pub(crate) async fn read(&self, limit: Duration) -> Option<u64> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            for replica in &self.replicas {
                let acknowledged = self.history.acknowledged_version(Instant::now());
                let response =
                    self.client.call(*replica, "GET", "/v1/layout", Some(TOKEN), empty()).await;
                let Ok((200, body)) = response else { continue };
                let read: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
                let version = read.and_then(|it| it.get("version")?.as_u64());
                if version < acknowledged {
                    let text = format!(
                        "read version {version:?} although {acknowledged:?} is acknowledged"
                    );
                    self.history.record_violation("configuration", &text);
                }
                return version;
            }
            sleep(RETRY_INTERVAL).await;
        }
        None
    }
}
