//! Records what an endpoint says about itself in the head of a response.

use {
    crate::{
        cold,
        header_names::HeaderNames,
        headers::{
            ResponseProof, cold_remaining, is_leaving, reported_load, request_rate, retry_after,
        },
        limits,
        shared::Shared,
    },
    dispatch::Assignment,
    http::{HeaderValue, response},
    model::MILLISECOND,
};

/// Records the load of an endpoint, whether it wants no further requests or none for some time, and
/// how many requests it takes and may reject.
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
        record_rates(shared, pick, parts);
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

fn record_rates(shared: &Shared, pick: &Assignment, response: &response::Parts) {
    let HeaderNames { limit, brittle, .. } = &shared.names;
    match request_rate(limit, &response.headers) {
        Ok(limit) => limits::record(shared, pick.handle, limit),
        Err(value) => ignore(shared, pick, "invalid-limit", &value),
    }
    match request_rate(brittle, &response.headers) {
        Ok(rate) => {
            if shared.dispatcher.lock().record_brittle(pick.handle, rate) {
                tracing::info!(
                    event = "endpoint-brittle",
                    endpoint = %pick.id,
                    rate,
                    "gateway: number of rejections that endpoint bears changed"
                );
            }
        }
        Err(value) => ignore(shared, pick, "invalid-brittle", &value),
    }
    match cold_remaining(&shared.names, &response.headers) {
        Ok(Some(remaining_ms)) => cold::record(shared, pick, remaining_ms),
        Ok(None) => {}
        Err(value) => ignore(shared, pick, "invalid-cold", &value),
    }
}

fn ignore(shared: &Shared, pick: &Assignment, event: &'static str, value: &HeaderValue) {
    shared.metrics.record_send(event);
    tracing::info!(event, endpoint = %pick.id, ?value, "gateway: ignored invalid rate of endpoint");
}
