//! Records what an endpoint says about itself in the head of a response.

use {
    crate::{
        headers::{ResponseProof, is_leaving, named_limit, reported_load, retry_after},
        limits,
        shared::Shared,
    },
    dispatch::Assignment,
    http::response,
    model::MILLISECOND,
};

/// Records the load of an endpoint, whether it wants no further requests or none for some time, and
/// how many requests it takes.
pub(crate) fn record(
    shared: &Shared,
    pick: &Assignment,
    proof: ResponseProof,
    parts: &response::Parts,
) {
    if let Some(load) = reported_load(&shared.names, &parts.headers) {
        shared.dispatcher.lock().record_reported_load(shared.now(), pick.handle, load);
    }
    if proof != ResponseProof::Unverified {
        record_requests_unwanted(shared, pick, parts);
    }
    if matches!(proof, ResponseProof::Valid | ResponseProof::Full) {
        record_limit(shared, pick, parts);
    }
}

fn record_requests_unwanted(shared: &Shared, pick: &Assignment, response: &response::Parts) {
    let id = &pick.id;
    if is_leaving(&shared.names, &response.headers) && shared.dispatcher.lock().record_leaving(pick)
    {
        tracing::info!(event = "endpoint-leaving", endpoint = %id, "gateway: endpoint is leaving");
    }
    match retry_after(response) {
        Ok(None) => {}
        Ok(Some(delay)) => {
            let is_listed = shared.dispatcher.lock().record_closed(pick, shared.now() + delay);
            tracing::info!(
                event = "endpoint-closed",
                endpoint = %id,
                for_ms = delay / MILLISECOND,
                is_listed,
                "gateway: endpoint wants no requests for some time"
            );
        }
        Err(value) => {
            shared.metrics.record_send("invalid-retry-after");
            tracing::info!(
                event = "invalid-retry-after",
                endpoint = %id,
                ?value,
                "gateway: ignored invalid retry delay of endpoint"
            );
        }
    }
}

fn record_limit(shared: &Shared, pick: &Assignment, response: &response::Parts) {
    match named_limit(&shared.names, &response.headers) {
        Ok(limit) => limits::record(shared, pick.handle, limit),
        Err(value) => {
            shared.metrics.record_send("invalid-limit");
            tracing::info!(
                event = "invalid-limit",
                endpoint = %pick.id,
                ?value,
                "gateway: ignored invalid limit of endpoint"
            );
        }
    }
}
