//! What an engine says that an answer cost.

use serde::Deserialize;

/// The part of `usage` that tells reuse.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// How many of these the engine held.
    pub cached: u64,
}

#[derive(Deserialize)]
struct UsageText {
    prompt_tokens: u64,
    prompt_tokens_details: Details,
}

#[derive(Deserialize)]
struct Details {
    cached_tokens: u64,
}

impl Usage {
    /// Finds the usage in the last part of a body, streamed or not.
    pub fn find(body: &str) -> Option<Usage> {
        let (_, text) = body.rsplit_once("\"usage\":")?;
        let end = text.find("}}")? + 2;
        let usage: UsageText = serde_json::from_str(text.get(..end)?).ok()?;
        Some(Usage {
            prompt: usage.prompt_tokens,
            cached: usage.prompt_tokens_details.cached_tokens,
        })
    }
}
