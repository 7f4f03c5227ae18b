//! Whether an answer is whole, lost, doubled or another caller's.

use {
    derive_more::{Debug, Display},
    serde::Serialize,
    standin::Completion,
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
pub fn judge(answer: &Completion, request: &str, body: &str) -> Verdict {
    let expected = masked(&answer.body(0));
    let body = masked(body);
    if body == expected {
        Verdict::Whole
    } else if expected.starts_with(&body) {
        Verdict::Lost
    } else if repeats(&expected, &body) {
        Verdict::Doubled
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

/// Whether a body is the expected one with one of its own parts in it a second time.
fn repeats(expected: &str, body: &str) -> bool {
    let (expected, body) = (expected.as_bytes(), body.as_bytes());
    let Some(extra) = body.len().checked_sub(expected.len()).filter(|it| *it > 0) else {
        return false;
    };
    let ahead = expected.iter().zip(body).take_while(|(a, b)| a == b).count();
    let behind = expected.iter().rev().zip(body.iter().rev()).take_while(|(a, b)| a == b).count();
    if ahead + behind < expected.len() {
        return false;
    }
    let part = body.get(ahead..ahead + extra);
    part.is_some_and(|part| expected.windows(extra).any(|it| it == part))
}

/// Says where a body parts from the answer that it must be, for a person to read.
pub(crate) fn describe(answer: &Completion, body: &str) -> String {
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

/// Returns a body whose counts of cached tokens are masked.
fn masked(body: &str) -> String {
    let mut parts = body.split(CACHED_KEY);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        masked.push_str(CACHED_KEY);
        let end = CACHED_BYTES.min(part.len());
        match (part.get(..end), part.get(end..)) {
            (Some(number), Some(after)) => {
                masked.push_str(&"#".repeat(number.len()));
                masked.push_str(after);
            }
            _ => masked.push_str(part),
        }
    }
    masked
}
