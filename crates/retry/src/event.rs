//! What goes into and comes out of [`Attempts`](crate::Attempts).

use {
    bytes::Bytes,
    derive_more::Debug,
    model::{AttemptNo, EndpointId, Epoch, Refusal, SECOND, Time},
    smallvec::SmallVec,
};

/// How an owner should treat a request for which its endpoint has no room.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    /// Start it or say where else it could go.
    Home,
    /// Start it or refuse it at once: it belongs elsewhere.
    Spill,
    /// Queue it until there is room or the deadline cannot be met.
    Queue,
}

/// What is to be done with one request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RequestSpec {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether an endpoint can continue its answer at an offset.
    pub resumable: bool,
    /// When it is given up.
    pub deadline: Time,
    /// Where it may run, the home first.
    pub candidates: SmallVec<[EndpointId; 8]>,
}

/// Limits on what one request may cost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RetryLimits {
    /// Forwards that did not run, before the home is asked to queue the request.
    pub hops: u32,
    /// Further attempts after failures.
    pub retries: u32,
    /// Microseconds before an owner that could not be reached is asked again.
    pub pause: u64,
    /// Microseconds after which a caller may come back when the owner gave no time.
    pub comeback: u64,
}

impl Default for RetryLimits {
    fn default() -> RetryLimits {
        RetryLimits { hops: 6, retries: 4, pause: SECOND / 10, comeback: SECOND }
    }
}

/// What happened.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// An owner answered.
    Reply {
        /// The attempt that it answers.
        attempt: AttemptNo,
        /// What it said.
        reply: Reply,
    },
    /// The owner could not be reached: no byte of the attempt left this router.
    Unreachable {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The stream to the owner broke off after the attempt was sent.
    StreamLost {
        /// The attempt.
        attempt: AttemptNo,
    },
    /// A newer roster is in force.
    RosterChanged {
        /// Its number.
        epoch: Epoch,
    },
    /// The caller went away.
    CallerDisconnected,
    /// Time passed.
    Tick,
}

/// What an owner says of an attempt.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Reply {
    /// It does not own the endpoint; the attempt did not run.
    NotOwner {
        /// The roster that it has.
        epoch: Epoch,
    },
    /// The endpoint has no room; the attempt did not run.
    NoCapacity {
        /// Where to try, in order.
        endpoints: SmallVec<[EndpointId; 4]>,
    },
    /// The attempt is refused.
    Refused(Refusal),
    /// The endpoint answers.
    Head {
        /// The HTTP status.
        status: u16,
    },
    /// A part of the answer's body.
    Chunk {
        /// Where it begins in the whole body.
        offset: u64,
        /// The bytes.
        #[debug("{} bytes", bytes.len())]
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// The length of the whole body.
        length: u64,
    },
    /// The endpoint or the connection to it failed.
    Failed {
        /// What the caller would be told.
        refusal: Refusal,
        /// Whether the endpoint died, rather than the connection.
        crashed: bool,
    },
}

/// What to do next, in order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// Hand the request to the owner of an endpoint.
    Forward {
        /// The endpoint.
        endpoint: EndpointId,
        /// The number of this attempt.
        attempt: AttemptNo,
        /// Where the answer's body should begin.
        offset: u64,
        /// What the owner does without room.
        admission: Admission,
    },
    /// Give the caller the head that has just come.
    Head {
        /// Its HTTP status.
        status: u16,
    },
    /// Give the caller these bytes of the body.
    Deliver(#[debug("{} bytes", _0.len())] Bytes),
    /// End the answer in order; the request is over.
    Finish,
    /// Give the caller this final answer at once; the request is over.
    Refuse(Refusal),
    /// Break the answer off, for its head is already with the caller; the request is over.
    Abort(Refusal),
    /// Cancel an attempt wherever it runs.
    Cancel {
        /// The attempt.
        attempt: AttemptNo,
        /// Where it was sent.
        endpoint: EndpointId,
    },
    /// The request crashed two endpoints: quarantine its fingerprint.
    Quarantine,
    /// Send a [`Event::Tick`] then; replaces the time asked for before.
    WakeAt(Time),
}

/// What to do next.
pub type Actions = SmallVec<[Action; 3]>;
