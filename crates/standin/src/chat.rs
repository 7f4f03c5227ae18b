//! Chat requests in the OpenAI manner, and the chain of hashes by which prefixes are known.

use {
    derive_more::Debug,
    model::{hash64, mix2},
    serde::{Deserialize, Serialize},
};

const BYTES_PER_TOKEN: usize = 4;

/// One message of a chat.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Message {
    /// Who wrote it.
    pub role: String,
    /// What was written.
    #[debug("{} bytes", content.len())]
    pub content: String,
}

/// The body of `POST /v1/chat/completions`; fields that are not named here are passed over.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ChatRequest {
    /// `name`, `name+adapter`, `name@version` or `name+adapter@version`.
    pub model: String,
    /// The whole conversation so far.
    pub messages: Vec<Message>,
    /// How many tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// The hash of a conversation up to one message, and that message's tokens.
pub type PrefixBlock = (u64, u32);

/// Returns a link for each message: two conversations share a link only if they agree up to that message.
pub fn prefix_chain(model: &str, messages: &[Message]) -> Vec<PrefixBlock> {
    let mut hash = hash64(model.as_bytes());
    messages.iter().map(|it| (next_hash(&mut hash, it), content_tokens(&it.content))).collect()
}

pub(crate) fn next_hash(hash: &mut u64, message: &Message) -> u64 {
    let content = mix2(hash64(message.role.as_bytes()), hash64(message.content.as_bytes()));
    *hash = mix2(*hash, content);
    *hash
}

pub(crate) fn content_tokens(content: &str) -> u32 {
    u32::try_from(content.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX).max(1)
}
