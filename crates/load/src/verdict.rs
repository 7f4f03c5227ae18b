//! Whether an answer is whole, lost, doubled or another caller's.

use {
    derive_more::{Debug, Display},
    serde::Serialize,
    standin::Answer,
};

/// The bytes of the one number that an engine may choose.
const CACHED_BYTES: usize = 10;
const CACHED_KEY: &str = "\"cached_tokens\":";
const ID_PREFIX: &str = "\"id\":\"chatcmpl-";

/// What an answer is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Every byte once, in order.
    #[display("whole")]
    Whole,
    /// Bytes are missing.
    #[display("lost")]
    Lost,
    /// Bytes came twice.
    #[display("doubled")]
    Doubled,
    /// Bytes of another answer.
    #[display("foreign")]
    Foreign,
}

/// Judges a body against the answer that it must be.
pub fn judge(answer: &Answer, request: &str, body: &str) -> Verdict {
    let expected = masked(&answer.body(0));
    let body = masked(body);
    if body == expected {
        Verdict::Whole
    } else if expected.starts_with(&body) {
        Verdict::Lost
    } else if body.split(ID_PREFIX).skip(1).any(|it| !it.starts_with(request)) {
        Verdict::Foreign
    } else if body.len() > expected.len() {
        Verdict::Doubled
    } else if body.len() < expected.len() {
        Verdict::Lost
    } else {
        Verdict::Foreign
    }
}

/// Says where a body parts from the answer that it must be, for a person to read.
pub(crate) fn describe(answer: &Answer, body: &str) -> String {
    let (expected, body) = (masked(&answer.body(0)), masked(body));
    let same = expected.bytes().zip(body.bytes()).take_while(|(a, b)| a == b).count();
    let around = |it: &str| {
        let part: Vec<u8> = it.bytes().skip(same.saturating_sub(20)).take(60).collect();
        String::from_utf8_lossy(&part).into_owned()
    };
    format!(
        "{} of {} bytes, first difference at {same}: {:?} instead of {:?}",
        body.len(),
        expected.len(),
        around(&body),
        around(&expected)
    )
}

/// Returns a body whose count of cached tokens is masked.
fn masked(body: &str) -> String {
    let Some(at) = body.find(CACHED_KEY).map(|it| it + CACHED_KEY.len()) else {
        return body.to_owned();
    };
    let end = (at + CACHED_BYTES).min(body.len());
    match (body.get(..at), body.get(at..end), body.get(end..)) {
        (Some(before), Some(number), Some(after)) => {
            format!("{before}{}{after}", "#".repeat(number.len()))
        }
        _ => body.to_owned(),
    }
}
