//! What a refused or broken request can say about whether it ran.

use {
    derive_more::{Debug, Display, Error},
    serde::{Deserialize, Serialize},
};

/// Whether a request ran, as far as can be proved.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display,
)]
pub enum Outcome {
    /// No byte of it reached an endpoint that could have run it, or the endpoint proved that it did not run.
    #[display("not-run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran.
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
    /// No such service, model, adapter or version.
    #[display("not-found")]
    NotFound,
    /// The body or the headers exceed a limit.
    #[display("too-large")]
    TooLarge,
    /// The team is over its own limit.
    #[display("team-limit")]
    TeamLimit,
    /// No endpoint has room inside the bound before the deadline.
    #[display("overloaded")]
    Overloaded,
    /// No endpoint of the service can take work now.
    #[display("unavailable")]
    Unavailable,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// A quorum is needed and could not be reached.
    #[display("no-quorum")]
    NoQuorum,
    /// The same key is running now.
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
    /// The HTTP status that goes with this reason.
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

/// The final answer to a request that is given up.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display, Error)]
#[display("{reason} ({outcome}), retry after {retry_ms} ms")]
pub struct Refusal {
    /// Whether it ran.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller may come back, in milliseconds from now; zero where coming back is of no use.
    pub retry_ms: u32,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(reason: Reason, retry_ms: u32) -> Refusal {
        Refusal { outcome: Outcome::NotRun, reason, retry_ms }
    }
}
