//! Why a request failed and whether it may have run.

use {
    derive_more::{Debug, Display, Error},
    serde::{Deserialize, Serialize},
};

/// Whether a request ran, as far as this can be proven.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display,
)]
pub enum Outcome {
    /// No byte of the request reached an endpoint that could have run it, or the endpoint proved
    /// that it did not run.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The request ran.
    #[display("ran")]
    Ran,
}

/// Why a request was refused.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display,
)]
pub enum Reason {
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The token is missing or belongs to no team.
    #[display("unauthorized")]
    Unauthorized,
    /// The service, model, adapter or version does not exist.
    #[display("not-found")]
    NotFound,
    /// The body or the headers exceed a limit.
    #[display("too-large")]
    TooLarge,
    /// The team exceeds its own limits.
    #[display("team-limit")]
    TeamLimit,
    /// No endpoint has capacity within its load bound before the deadline.
    #[display("overloaded")]
    Overloaded,
    /// No endpoint of the service accepts work at the moment.
    #[display("unavailable")]
    Unavailable,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The request needs a quorum, which could not be reached.
    #[display("no-quorum")]
    NoQuorum,
    /// A request with the same idempotency key is running.
    #[display("in-progress")]
    InProgress,
    /// The request crashed endpoints and is quarantined.
    #[display("quarantined")]
    Quarantined,
    /// This router is shutting down.
    #[display("draining")]
    Draining,
    /// The endpoint or the connection to it failed.
    #[display("endpoint-failed")]
    EndpointFailed,
}

impl Reason {
    /// Returns the HTTP status code of this reason.
    pub fn status(self) -> u16 {
        match self {
            Reason::BadRequest => 400,
            Reason::Unauthorized => 401,
            Reason::NotFound => 404,
            Reason::InProgress => 409,
            Reason::TooLarge => 413,
            Reason::Quarantined => 422,
            Reason::TeamLimit => 429,
            Reason::EndpointFailed => 502,
            Reason::Overloaded | Reason::Unavailable | Reason::NoQuorum | Reason::Draining => 503,
            Reason::Deadline => 504,
        }
    }
}

/// The final answer to a request that is refused or abandoned.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display, Error)]
#[display("{reason} ({outcome}), retry after {retry_ms} ms")]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why the request was refused.
    pub reason: Reason,
    /// The delay in milliseconds after which the caller may retry; zero if a retry is pointless.
    pub retry_ms: u32,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(reason: Reason, retry_ms: u32) -> Refusal {
        Refusal { outcome: Outcome::NotRun, reason, retry_ms }
    }
}
