//! Holds requests on which a gateway cannot decide yet.
//!
//! When all gateways of a fleet restart at once, clients reach them before the control plane does. A
//! client that is refused then may have no retry left, although the gateway can serve it a moment
//! later. The same is true for a route or a key that only a configuration knows which has been
//! announced, but not installed.

use {
    crate::{
        headers::RequestHead, layout::installed_version, rejection::Rejection, shared::Shared,
    },
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

/// How long a request is held that a newer configuration may allow, in milliseconds.
const CATCH_UP_MS: u64 = 1_500;

/// What a request is held for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Condition {
    /// This gateway has a configuration and a list of endpoints.
    Complete,
    /// This gateway has the announced version, and had time to hear of a newer one since its start.
    Current(Option<u64>),
    /// It has that version, and enough control replicas hear of a leader to announce a newer one.
    Confirmed(Option<u64>),
}

impl Condition {
    fn holds(self, shared: &Shared) -> bool {
        match self {
            Condition::Complete => {
                shared.table.load().is_some() && shared.endpoints_loaded.load(Ordering::Relaxed)
            }
            Condition::Current(version) => {
                installed_version(shared) >= version
                    && shared.layout_settled.load(Ordering::Relaxed)
            }
            Condition::Confirmed(version) => {
                Condition::Current(version).holds(shared)
                    && !shared.control_in_doubt.load(Ordering::Relaxed)
            }
        }
    }
}

/// What a request may be held for.
pub(crate) struct Holds {
    /// The newest version that was announced when the request arrived.
    announced: Option<u64>,
    /// Until when this gateway is expected to have started.
    start_deadline: Time,
    /// Until when it is expected to have that version.
    version_deadline: Time,
}

/// A request that waits before it is served or refused.
pub(crate) struct Hold {
    condition: Condition,
    deadline: Time,
}

impl Holds {
    pub(crate) fn new(shared: &Shared, head: &RequestHead, arrived: Time) -> Holds {
        let left_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let by_request =
            arrived + left_ms.saturating_mul(HOLD_DEADLINE_PERCENT) / 100 * MILLISECOND;
        Holds {
            announced: shared.announcement.lock().map(|it| it.version),
            start_deadline: by_request.min(shared.started + EXPECTED_START_MS * MILLISECOND),
            version_deadline: by_request.min(arrived + CATCH_UP_MS * MILLISECOND),
        }
    }

    /// Returns how the request is held next, if it must and may be. `refusal` says why it would be
    /// refused now.
    pub(crate) fn next(&self, shared: &Shared, refusal: Option<&Rejection>) -> Option<Hold> {
        let hold = if !Condition::Complete.holds(shared) {
            Hold { condition: Condition::Complete, deadline: self.start_deadline }
        } else if refusal.is_some_and(|it| it.depends_on_version()) {
            match shared.now() < self.start_deadline {
                true => Hold {
                    condition: Condition::Confirmed(self.announced),
                    deadline: self.start_deadline,
                },
                false => Hold {
                    condition: Condition::Current(self.announced),
                    deadline: self.version_deadline,
                },
            }
        } else {
            return None;
        };
        let has_room = shared.held.load(Ordering::Relaxed) < MAX_HELD;
        let is_held = has_room && shared.now() < hold.deadline && !hold.condition.holds(shared);
        is_held.then_some(hold)
    }

    /// Returns why the request is refused in the end. A gateway whose configuration is out of date, or which would not
    /// know that it is, refuses none for good.
    pub(crate) fn refusal(&self, shared: &Shared, refusal: Rejection) -> Rejection {
        let is_confirmed = Condition::Confirmed(self.announced).holds(shared);
        match refusal.depends_on_version() && !is_confirmed {
            true => Rejection::Outdated,
            false => refusal,
        }
    }
}

impl Hold {
    /// Holds a request until its condition holds, or until the deadline.
    pub(crate) async fn wait(self, shared: &Shared, head: &RequestHead) {
        let held_at = shared.now();
        shared.held.fetch_add(1, Ordering::Relaxed);
        let _held = HeldRequest(shared);
        let mut progress = shared.progress.subscribe();
        let limit = shared.clock.deadline(self.deadline);
        while !self.condition.holds(shared) {
            if !matches!(timeout_at(limit, progress.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        tracing::info!(
            event = "held",
            request = head.id(),
            condition = ?self.condition,
            after_ms = shared.now().since(held_at) / MILLISECOND,
            complete = self.condition.holds(shared),
            "gateway: held request until the gateway can decide on it"
        );
    }
}

/// Counts a request as held until it is dropped, also if the client disconnects.
struct HeldRequest<'a>(&'a Shared);

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::Relaxed);
    }
}
