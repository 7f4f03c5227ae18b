//! What can be the cause of a crash.

use {
    derive_more::{Debug, Display},
    model::{MILLISECOND, mix2},
    serde::{Deserialize, Serialize},
};

/// What requests that crash endpoints have in common. Narrower subjects come first in the order.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Debug, Display,
)]
pub enum Subject {
    /// A request that is sent again, by its fingerprint.
    #[display("request {_0:016x}")]
    Request(u64),
    /// A part of a prompt, by its id.
    #[display("part {_0:x}")]
    Part(u64),
}

impl Subject {
    /// Returns the id of the part, if it is one.
    pub(crate) fn part(self) -> Option<u64> {
        match self {
            Subject::Request(_) => None,
            Subject::Part(id) => Some(id),
        }
    }

    /// Returns the fewest crashes that may convict the subject. A request that merely ran during a
    /// crash has one. A part is in many requests, so it meets crashes of other causes more often.
    pub(crate) fn min_crashes(self) -> usize {
        match self {
            Subject::Request(_) => 2,
            Subject::Part(_) => 3,
        }
    }

    /// Returns how long after the last crash needed a verdict waits for the news of an answer, in
    /// microseconds.
    pub(crate) fn settle_time(self) -> u64 {
        match self {
            Subject::Request(_) => 0,
            Subject::Part(_) => 500 * MILLISECOND,
        }
    }

    /// Returns a hash by which the routers that may try the subject are chosen.
    pub(crate) fn hash(self) -> u64 {
        match self {
            Subject::Request(it) => mix2(1, it),
            Subject::Part(it) => mix2(2, it),
        }
    }
}
