//! What endpoints say about how many requests they take.

use {
    crate::shared::Shared,
    dispatch::{EndpointHandle, LimitChange},
};

/// Records what an endpoint said in a response.
pub(crate) fn record(shared: &Shared, endpoint: EndpointHandle, rate: Option<f64>) {
    let change = shared.dispatcher.lock().record_limit(shared.now(), endpoint, rate);
    if let Some(change) = change {
        log_change(&change, "endpoint");
    }
}

fn log_change(change: &LimitChange, source: &str) {
    tracing::info!(
        event = "endpoint-limit",
        endpoint = %change.endpoint,
        rate = change.rate,
        share = change.share,
        source,
        "gateway: limit of endpoint changed"
    );
}
