//! OpenAI-compatible chat requests, and the hash chain that identifies their prefixes.

use {
    derive_more::Debug,
    model::{hash64, mix2},
    serde::{Deserialize, Serialize},
};

const BYTES_PER_TOKEN: usize = 4;

/// One message of a chat.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct Message {
    /// The role of the author.
    pub role: String,
    /// The text.
    #[debug("{} bytes", content.len())]
    pub content: String,
}

/// The body of `POST /v1/chat/completions`. Unknown fields are ignored.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct ChatRequest {
    /// `name`, `name+adapter`, `name@version` or `name+adapter@version`.
    pub model: String,
    /// The whole conversation so far.
    pub messages: Vec<Message>,
    /// The number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// The hash of a conversation up to and including one message, and the number of tokens in that message.
pub type PrefixBlock = (u64, u32);

/// Returns one block per message. Two conversations share a block only if they are identical up to that message.
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
