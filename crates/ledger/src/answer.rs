//! Recorded answers of non-idempotent requests.

use {
    bytes::Bytes,
    derive_more::Debug,
    model::{Digest, Name},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// The longest body that is stored in full, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;

/// The maximum number of headers that are stored.
const MAX_HEADERS: usize = 8;

/// The longest header value that is stored, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 10;

/// A header of a recorded answer.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct AnswerHeader {
    /// The header name, in lower case.
    pub name: Name,
    /// The header value.
    #[debug("{} bytes", value.len())]
    pub value: Bytes,
}

/// The body of a recorded answer.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub enum AnswerBody {
    /// The full body.
    #[debug("Whole({} bytes)", _0.len())]
    Whole(Bytes),
    /// Only the digest, because the body is too long to store.
    Digest {
        /// The digest of the body.
        digest: Digest,
        /// The length of the body, in bytes.
        length: u64,
    },
}

/// The answer of an endpoint to a non-idempotent request.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct RecordedAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The headers that are stored.
    pub headers: SmallVec<[AnswerHeader; 2]>,
    /// The body.
    pub body: AnswerBody,
}

impl RecordedAnswer {
    /// Creates the record of an answer: the first few short headers, and the body or its digest.
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

    /// Returns the stored size of the body and the headers, in bytes.
    pub(crate) fn retained_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|it| it.name.len() + it.value.len()).sum();
        let body = match &self.body {
            AnswerBody::Whole(it) => it.len(),
            AnswerBody::Digest { .. } => 0,
        };
        headers + body
    }

    /// Returns a copy with the body replaced by its digest.
    pub(crate) fn without_body(&self) -> RecordedAnswer {
        let body = match &self.body {
            AnswerBody::Whole(it) => {
                AnswerBody::Digest { digest: Digest::of(it), length: it.len() as u64 }
            }
            digest => digest.clone(),
        };
        RecordedAnswer { status: self.status, headers: self.headers.clone(), body }
    }

    /// Whether the answer respects the limits on what is stored.
    pub(crate) fn is_within_limits(&self) -> bool {
        let body = match &self.body {
            AnswerBody::Whole(it) => it.len() <= MAX_BODY_BYTES,
            AnswerBody::Digest { .. } => true,
        };
        let short = self.headers.iter().all(|it| it.value.len() <= MAX_VALUE_BYTES);
        body && short && self.headers.len() <= MAX_HEADERS
    }
}
