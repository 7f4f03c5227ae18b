//! Holds requests that arrive before a gateway that has just started can serve any.
//!
//! When all gateways of a fleet restart at once, clients reach them before the control plane does. A
//! client that is refused then may have no retry left, although the gateway can serve it a moment
//! later.

use {
    crate::{headers::RequestHead, shared::Shared},
    model::{MILLISECOND, Time},
    std::sync::atomic::Ordering,
    tokio::time::timeout_at,
};

/// How long after its start a gateway usually has a configuration and a list of endpoints, in
/// milliseconds, even if the control plane restarts too.
pub(crate) const EXPECTED_START_MS: u64 = 2_000;

/// The share of the time until its deadline that a request is held, in percent. The rest must
/// suffice to serve it, or to be told to retry.
const HOLD_DEADLINE_PERCENT: u64 = 50;

/// The time until the deadline of a request that states none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 2_000;

/// The maximum number of requests that are held.
const MAX_HELD: usize = 512;

/// The maximum body size of a request that is held, in bytes. It limits the memory for bodies whose
/// limit is not known yet.
pub(crate) const MAX_HELD_BODY_BYTES: usize = 128 << 10;

/// Returns whether this gateway has a configuration and a list of endpoints.
pub(crate) fn is_complete(shared: &Shared) -> bool {
    shared.table.load().is_some() && shared.endpoints_loaded.load(Ordering::Relaxed)
}

/// Returns until when a request that arrived now may be held, if it may be held at all.
pub(crate) fn hold_deadline(shared: &Shared, head: &RequestHead, arrived: Time) -> Option<Time> {
    if is_complete(shared) {
        return None;
    }
    let left_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let by_request = arrived + left_ms.saturating_mul(HOLD_DEADLINE_PERCENT) / 100 * MILLISECOND;
    let deadline = by_request.min(shared.started + EXPECTED_START_MS * MILLISECOND);
    let has_room = shared.held.load(Ordering::Relaxed) < MAX_HELD;
    (has_room && deadline > arrived).then_some(deadline)
}

/// Holds a request until this gateway can serve requests, or until `deadline`.
pub(crate) async fn hold(shared: &Shared, head: &RequestHead, deadline: Time) {
    let held_at = shared.now();
    shared.held.fetch_add(1, Ordering::Relaxed);
    let _held = HeldRequest(shared);
    let mut progress = shared.startup_progress.subscribe();
    let limit = shared.clock.deadline(deadline);
    while !is_complete(shared) {
        if !matches!(timeout_at(limit, progress.changed()).await, Ok(Ok(()))) {
            break;
        }
    }
    tracing::info!(
        event = "held",
        request = head.id(),
        after_ms = shared.now().since(held_at) / MILLISECOND,
        complete = is_complete(shared),
        "gateway: held request until the gateway has started"
    );
}

/// Counts a request as held until it is dropped, also if the client disconnects.
struct HeldRequest<'a>(&'a Shared);

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}
