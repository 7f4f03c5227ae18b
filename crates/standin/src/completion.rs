//! The deterministic response to a chat completion request.
//!
//! Its bytes depend only on the messages, `max_tokens`, `stream` and the request id, so any engine can resume it at
//! any byte offset and a load tool can verify it. The one exception is the number of cached tokens, which depends on
//! the engine; it is written with a fixed width in the last part.

use {
    crate::chat::{ChatRequest, content_tokens},
    derive_more::Debug,
    model::{hash64, mix2},
};

/// Bytes per generated token, including its trailing space.
pub const TOKEN_BYTES: usize = 4;

const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
const DEFAULT_TOKENS: u32 = 32;

/// The complete response to one request, generated part by part.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Completion {
    id: String,
    seed: u64,
    prompt_tokens: u32,
    completion_tokens: u32,
    stream: bool,
}

impl Completion {
    /// Returns the response to `chat` for the request id `request`.
    pub fn new(chat: &ChatRequest, request: &str) -> Completion {
        let completion_tokens = chat.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
        let messages = chat.messages.iter().fold(u64::from(completion_tokens), |seed, it| {
            mix2(mix2(seed, hash64(it.role.as_bytes())), hash64(it.content.as_bytes()))
        });
        Completion {
            id: request.to_owned(),
            seed: mix2(messages, hash64(request.as_bytes())),
            prompt_tokens: chat.messages.iter().map(|it| content_tokens(&it.content)).sum(),
            completion_tokens,
            stream: chat.stream,
        }
    }

    /// Returns the number of generated tokens.
    pub fn completion_tokens(&self) -> u32 {
        self.completion_tokens
    }

    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// Returns the text of the generated token with the zero-based `index`.
    pub fn token_text(&self, index: u32) -> String {
        let bits = mix2(self.seed, u64::from(index));
        let letter = |shift: u32| char::from(ALPHABET[(bits >> shift) as usize % ALPHABET.len()]);
        [letter(0), letter(8), letter(16), ' '].iter().collect()
    }

    /// Returns the full generated text.
    pub fn text(&self) -> String {
        (0..self.completion_tokens).map(|it| self.token_text(it)).collect()
    }

    /// Returns the bytes before the first token.
    pub fn head(&self) -> String {
        if self.stream {
            return self.sse_chunk("\"role\":\"assistant\",\"content\":\"\"", "null", "");
        }
        format!(
            "{{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion\",\"choices\":[{{\"index\":0,\
             \"finish_reason\":\"stop\",\"message\":{{\"role\":\"assistant\",\"content\":\"",
            self.id
        )
    }

    /// Returns the part that contains the token with the zero-based `index`.
    pub fn part(&self, index: u32) -> String {
        let text = self.token_text(index);
        if self.stream {
            self.sse_chunk(&format!("\"content\":\"{text}\""), "null", "")
        } else {
            text
        }
    }

    /// Returns the bytes after the last token. Their length does not depend on `cached`.
    pub fn tail(&self, cached: u32) -> String {
        let usage = format!(
            "\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{},\
             \"prompt_tokens_details\":{{\"cached_tokens\":{cached:>10}}}}}",
            self.prompt_tokens,
            self.completion_tokens,
            self.prompt_tokens.saturating_add(self.completion_tokens),
        );
        if self.stream {
            let last = self.sse_chunk("", "\"stop\"", &format!(",{usage}"));
            format!("{last}data: [DONE]\n\n")
        } else {
            format!("\"}}}}],{usage}}}")
        }
    }

    /// Returns the complete response body.
    pub fn body(&self, cached: u32) -> String {
        let parts: String = (0..self.completion_tokens).map(|it| self.part(it)).collect();
        format!("{}{parts}{}", self.head(), self.tail(cached))
    }

    fn sse_chunk(&self, delta: &str, finish: &str, extra_fields: &str) -> String {
        format!(
            "data: {{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
             \"delta\":{{{delta}}},\"finish_reason\":{finish}}}]{extra_fields}}}\n\n",
            self.id
        )
    }
}
