//! What routers tell each other.

use {
    crate::subject::Subject,
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// The size of the reports in one message, in bytes, so that it fits into a packet.
const MAX_MESSAGE_BYTES: usize = 1_200;

/// An answer that a router knows of.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct AnswerReport {
    /// How long ago it was, in milliseconds.
    pub age_ms: u32,
    /// How often it has been passed on. Each time makes it seem later by the delay of the message.
    pub hops: u8,
}

/// What a router knows about one subject.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Report {
    /// The subject.
    pub subject: Subject,
    /// The runs of endpoints that crashed before they began to answer a request with the subject,
    /// since the last answer, and how long ago, in milliseconds.
    pub crashes: Vec<(u64, u32)>,
    /// When a request with the subject was last answered.
    pub answer: Option<AnswerReport>,
    /// The number of trials since the last answer.
    pub trials: u32,
    /// How long ago the last trial began, in milliseconds.
    pub tried_ms: u32,
}

impl Report {
    /// Returns about how many bytes the report takes in a message.
    pub(crate) fn encoded_len(&self) -> usize {
        const FIXED_BYTES: usize = 24;
        const CRASH_BYTES: usize = 13;
        FIXED_BYTES + self.crashes.len() * CRASH_BYTES
    }
}

/// A message between routers. Encoded by `bincode`, so the order of the variants and fields is the
/// wire format. Readers drop a message with a variant that they do not know.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum Message {
    /// Asks for evidence if the receiver's differs from that with this digest.
    Ask(u64),
    /// The evidence of a router that was asked, and its digest. The receiver tells what is missing.
    Answer(u64, Vec<Report>),
    /// Evidence.
    Tell(Vec<Report>),
    /// Parts of long prompts under which a run of an endpoint crashed. Unknown to readers of commit
    /// 0d4d3b9.
    Crashed {
        /// Identifies the run of the endpoint.
        incarnation: u64,
        /// How long ago it crashed, in milliseconds.
        age_ms: u32,
        /// The ids of the parts.
        parts: Vec<u64>,
    },
}

/// Divides reports among messages.
pub(crate) fn pack<I>(reports: I) -> impl Iterator<Item = Vec<Report>>
where
    I: Iterator<Item = Report>,
{
    let mut reports = reports.peekable();
    std::iter::from_fn(move || {
        let mut packed = vec![reports.next()?];
        let mut bytes = packed[0].encoded_len();
        while let Some(next) = reports.next_if(|it| bytes + it.encoded_len() <= MAX_MESSAGE_BYTES) {
            bytes += next.encoded_len();
            packed.push(next);
        }
        Some(packed)
    })
}
