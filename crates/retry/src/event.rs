//! Events and actions of [`Attempts`](crate::Attempts).

use {
    bytes::Bytes,
    derive_more::Debug,
    model::{AttemptNo, EndpointId, Epoch, Refusal, SECOND, Time},
    smallvec::SmallVec,
};

/// What the owner of an endpoint does with a request when the endpoint has no capacity.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    /// Start the request, or suggest other endpoints.
    Home,
    /// Start the request or refuse it at once; this endpoint is not its home.
    Spill,
    /// Queue the request until there is capacity or its deadline cannot be met.
    Queue,
}

/// Properties of one request that decide where and how often it may run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RequestSpec {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether an endpoint can resume the response at an offset.
    pub resumable: bool,
    /// When the request is given up.
    pub deadline: Time,
    /// Endpoints that may run the request, the home first.
    pub candidates: SmallVec<[EndpointId; 8]>,
}

/// Limits on the forwards and retries of one request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RetryLimits {
    /// Forwards that did not start the request before the home is asked to queue it.
    pub max_hops: u32,
    /// Attempts after failures, not counting the first one.
    pub max_retries: u32,
    /// Microseconds to wait before trying again when no candidate could start the request.
    pub backoff_us: u64,
    /// Retry time of a refusal, in microseconds, when the owner gave none.
    pub retry_after_us: u64,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { max_hops: 6, max_retries: 4, backoff_us: SECOND / 10, retry_after_us: SECOND }
    }
}

/// Input of [`Attempts::handle`](crate::Attempts::handle).
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// A reply of an owner arrived.
    Reply {
        /// The attempt that the reply belongs to.
        attempt: AttemptNo,
        /// The reply.
        reply: Reply,
    },
    /// The owner could not be reached: no byte of the attempt left this router.
    Unreachable {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The stream to the owner broke after the attempt was sent.
    StreamLost {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// A newer roster took effect.
    RosterChanged {
        /// The epoch of the roster.
        epoch: Epoch,
    },
    /// The caller disconnected.
    CallerDisconnected,
    /// The time that the last [`Action::WakeAt`] asked for was reached.
    Tick,
}

/// Reply of an owner to an attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Reply {
    /// The router does not own the endpoint; the attempt did not run.
    NotOwner {
        /// The epoch of the roster that the router has.
        epoch: Epoch,
    },
    /// The endpoint has no capacity; the attempt did not run.
    NoCapacity {
        /// Endpoints to try next, in order.
        endpoints: SmallVec<[EndpointId; 4]>,
    },
    /// The attempt was refused.
    Refused(Refusal),
    /// The response head of the endpoint.
    Head {
        /// The HTTP status.
        status: u16,
    },
    /// A chunk of the response body.
    Chunk {
        /// Offset of the chunk in the complete body, in bytes.
        offset: u64,
        /// The bytes.
        #[debug("{} bytes", bytes.len())]
        bytes: Bytes,
    },
    /// The response is complete.
    End {
        /// Length of the complete body, in bytes.
        length: u64,
    },
    /// The endpoint or the connection to it failed.
    Failed {
        /// The refusal for the caller if there is no retry.
        refusal: Refusal,
        /// Whether the endpoint crashed, as opposed to the connection failing.
        crashed: bool,
    },
}

/// Output of [`Attempts::handle`](crate::Attempts::handle).
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// Forward the request to the owner of an endpoint.
    Forward {
        /// The endpoint.
        endpoint: EndpointId,
        /// The number of this attempt.
        attempt: AttemptNo,
        /// Offset at which the response body should start, in bytes.
        offset: u64,
        /// What the owner does if the endpoint has no capacity.
        admission: Admission,
    },
    /// Send the caller the response head that was just received.
    Head {
        /// The HTTP status.
        status: u16,
    },
    /// Send the caller these bytes of the body.
    Deliver(#[debug("{} bytes", _0.len())] Bytes),
    /// Complete the response; the request is finished.
    Finish,
    /// Send the caller this refusal as the response; the request is finished.
    Refuse(Refusal),
    /// Abort the response, whose head was already sent to the caller; the request is finished.
    Abort(Refusal),
    /// Cancel an attempt that may still run.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
        /// The endpoint that it was forwarded to.
        endpoint: EndpointId,
    },
    /// The request crashed two endpoints: quarantine its fingerprint.
    Quarantine,
    /// Send an [`Event::Tick`] at this time; replaces the time of an earlier [`Action::WakeAt`].
    WakeAt(Time),
}

/// Actions to execute, in order.
pub type Actions = SmallVec<[Action; 3]>;
