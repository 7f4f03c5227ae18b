//! Recorded answers.

use {
    bytes::Bytes,
    derive_more::Debug,
    model::{Digest, Name},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// The longest body that is kept whole, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;

/// The most headers that are kept.
const MAX_HEADERS: usize = 8;

/// The longest header value that is kept, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 10;

/// A header of a recorded answer.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct AnswerHeader {
    /// Its name, in lower case.
    pub name: Name,
    /// Its value.
    #[debug("{} bytes", value.len())]
    pub value: Bytes,
}

/// The body of a recorded answer.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum AnswerBody {
    /// All of it.
    #[debug("Whole({} bytes)", _0.len())]
    Whole(Bytes),
    /// Too long to keep.
    Digest {
        /// Its digest.
        digest: Digest,
        /// Its length, in bytes.
        length: u64,
    },
}

/// What an endpoint answered to a non-idempotent request.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// A few headers.
    pub headers: SmallVec<[AnswerHeader; 2]>,
    /// The body.
    pub body: AnswerBody,
}

impl RecordedAnswer {
    /// Returns what is kept of an answer: the first few short headers, and the body or its digest.
    pub fn new<H>(status: u16, headers: H, body: Bytes) -> RecordedAnswer
    where
        H: IntoIterator<Item = AnswerHeader>,
    {
        let short = headers.into_iter().filter(|it| it.value.len() <= MAX_VALUE_BYTES);
        let headers = short.take(MAX_HEADERS).collect();
        let body = if body.len() <= MAX_BODY_BYTES {
            AnswerBody::Whole(body)
        } else {
            AnswerBody::Digest { digest: Digest::of(&body), length: body.len() as u64 }
        };
        RecordedAnswer { status, headers, body }
    }

    /// How many bytes are kept of the body and the headers.
    pub(crate) fn bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|it| it.name.len() + it.value.len()).sum();
        let body = match &self.body {
            AnswerBody::Whole(it) => it.len(),
            AnswerBody::Digest { .. } => 0,
        };
        headers + body
    }

    /// Returns the answer with only the digest of its body.
    pub(crate) fn without_body(&self) -> RecordedAnswer {
        let body = match &self.body {
            AnswerBody::Whole(it) => {
                AnswerBody::Digest { digest: Digest::of(it), length: it.len() as u64 }
            }
            digest => digest.clone(),
        };
        RecordedAnswer { status: self.status, headers: self.headers.clone(), body }
    }

    /// Whether the answer is inside the limits on what is kept.
    pub(crate) fn fits(&self) -> bool {
        let body = match &self.body {
            AnswerBody::Whole(it) => it.len() <= MAX_BODY_BYTES,
            AnswerBody::Digest { .. } => true,
        };
        let short = self.headers.iter().all(|it| it.value.len() <= MAX_VALUE_BYTES);
        body && short && self.headers.len() <= MAX_HEADERS
    }
}
