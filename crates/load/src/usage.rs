//! The token usage that an engine reports with an answer.

use serde::Deserialize;

/// The part of `usage` that shows cache reuse.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Usage {
    /// The number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The number of these tokens that the engine had in its cache.
    pub cached_tokens: u64,
}

#[derive(Deserialize)]
struct UsageJson {
    prompt_tokens: u64,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Deserialize)]
struct PromptTokensDetails {
    cached_tokens: u64,
}

impl Usage {
    /// Finds the usage in the last part of a body, streamed or not.
    pub fn find(body: &str) -> Option<Usage> {
        let (_, text) = body.rsplit_once("\"usage\":")?;
        let end = text.find("}}")? + 2;
        let usage: UsageJson = serde_json::from_str(text.get(..end)?).ok()?;
        Some(Usage {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
        })
    }
}
