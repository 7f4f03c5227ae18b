//! Seeks another endpoint for a request whose endpoint is silent. A silent endpoint may still go
//! on, so its exchange is kept until a replacement can be used at once.

use {
    crate::{attempt::Attempt, call::Call},
    derive_more::{Debug, Display},
    dispatch::EndpointHandle,
    model::{MILLISECOND, Time},
    std::future::pending,
    tokio::time::sleep_until,
};

/// How often a replacement is sought while there is none, in milliseconds. A request queues for
/// capacity as long.
const RETRY_MS: u64 = 200;

/// Why a silent endpoint is not replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
enum Obstacle {
    #[display("no attempt is left")]
    NoAttempt,
    #[display("request is quarantined")]
    Quarantined,
    #[display("retry budget is exhausted")]
    NoBudget,
    #[display("no other endpoint has capacity")]
    NoCapacity,
    #[display("other endpoint is unreachable")]
    Unreachable,
}

/// Waits until `silent_at` and then for a replacement of the endpoint `silent`. Returns a slot at
/// another endpoint with an open connection, charged to the retry budget. The caller must end the
/// exchange with the silent endpoint before it uses the slot, or drop this future if the endpoint
/// goes on.
pub(crate) async fn seek(call: &Call, silent: EndpointHandle, silent_at: Time) -> Attempt {
    if !call.found.route.is_retryable() {
        return pending().await;
    }
    let shared = &call.shared;
    sleep_until(shared.clock.deadline(silent_at)).await;
    shared.dispatcher.lock().record_silence(shared.now(), silent);
    let mut logged = None;
    loop {
        let obstacle = match try_once(call).await {
            Ok(it) => return it,
            Err(it) => it,
        };
        if logged != Some(obstacle) {
            logged = Some(obstacle);
            tracing::info!(
                event = "silent",
                request = call.head.id(),
                endpoint = call.endpoint_id(),
                sought_ms = shared.now().since(silent_at) / MILLISECOND,
                left_ms = call.left_ms(),
                reason = %obstacle,
                "gateway: waiting for silent endpoint"
            );
        }
        match obstacle {
            // An attempt that was made is not given back.
            Obstacle::NoAttempt => return pending().await,
            Obstacle::Quarantined
            | Obstacle::NoBudget
            | Obstacle::NoCapacity
            | Obstacle::Unreachable => {
                let retry_at = shared.now() + RETRY_MS * MILLISECOND;
                sleep_until(shared.clock.deadline(retry_at)).await;
            }
        }
    }
}

async fn try_once(call: &Call) -> Result<Attempt, Obstacle> {
    let shared = &call.shared;
    let service = &call.found.service.name;
    if !call.may_run_again() {
        return Err(Obstacle::NoAttempt);
    }
    if call.is_quarantined() {
        return Err(Obstacle::Quarantined);
    }
    if !shared.can_spend_retry(service) {
        return Err(Obstacle::NoBudget);
    }
    let wait_until = shared.now() + RETRY_MS * MILLISECOND;
    let slot = shared.acquire_slot(call.dispatch_request(wait_until)).await;
    let attempt = Attempt::new(shared, slot.map_err(|_| Obstacle::NoCapacity)?);
    let attempt = attempt.connect(call).await.ok_or(Obstacle::Unreachable)?;
    if !shared.try_spend_retry(service) {
        return Err(Obstacle::NoBudget);
    }
    Ok(attempt)
}
