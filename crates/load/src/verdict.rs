//! Classifies answers as whole, lost, doubled or foreign.

use {
    derive_more::{Debug, Display},
    serde::Serialize,
    standin::Completion,
};

/// The width of the cached token count, the only part of an answer that depends on the engine.
const CACHED_BYTES: usize = 10;
const CACHED_KEY: &str = "\"cached_tokens\":";
const ID_PREFIX: &str = "\"id\":\"chatcmpl-";

/// The classification of an answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Debug, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Every byte was received once and in order.
    #[display("whole")]
    Whole,
    /// Bytes are missing.
    #[display("lost")]
    Lost,
    /// Bytes were received twice.
    #[display("doubled")]
    Doubled,
    /// It contains bytes of another answer.
    #[display("foreign")]
    Foreign,
}

/// Classifies a body by comparing it with the expected answer.
pub fn classify(answer: &Completion, request: &str, body: &str) -> Verdict {
    let expected = mask_cached_tokens(&answer.body(0));
    let body = mask_cached_tokens(body);
    if body == expected {
        Verdict::Whole
    } else if expected.starts_with(&body) {
        Verdict::Lost
    } else if has_repeated_part(&expected, &body) {
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

/// Returns whether a body is the expected one with a part of it inserted a second time.
fn has_repeated_part(expected: &str, body: &str) -> bool {
    let (expected, body) = (expected.as_bytes(), body.as_bytes());
    let Some(extra) = body.len().checked_sub(expected.len()).filter(|it| *it > 0) else {
        return false;
    };
    let prefix = expected.iter().zip(body).take_while(|(a, b)| a == b).count();
    let suffix = expected.iter().rev().zip(body.iter().rev()).take_while(|(a, b)| a == b).count();
    if prefix + suffix < expected.len() {
        return false;
    }
    let part = body.get(prefix..prefix + extra);
    part.is_some_and(|part| expected.windows(extra).any(|it| it == part))
}

/// Describes the first difference between a body and the expected answer.
pub(crate) fn describe_mismatch(answer: &Completion, body: &str) -> String {
    let (expected, body) = (mask_cached_tokens(&answer.body(0)), mask_cached_tokens(body));
    let common = expected.bytes().zip(body.bytes()).take_while(|(a, b)| a == b).count();
    let excerpt = |it: &str| {
        let part: Vec<u8> = it.bytes().skip(common.saturating_sub(20)).take(60).collect();
        String::from_utf8_lossy(&part).into_owned()
    };
    format!(
        "{} of {} bytes, first difference at {common}: {:?} instead of {:?}",
        body.len(),
        expected.len(),
        excerpt(&body),
        excerpt(&expected)
    )
}

/// Returns a body with the cached token counts masked.
fn mask_cached_tokens(body: &str) -> String {
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
