//! The answer that an engine must give to a chat request.
//!
//! Its bytes depend on the messages, `max_tokens`, `stream` and the request id alone, so that any engine can resume
//! it at any byte and a load tool can check it. Only the count of cached tokens, written with a fixed width in the
//! last part, depends on the engine.

use {
    crate::chat::{ChatRequest, content_tokens},
    derive_more::Debug,
    model::{hash64, mix2},
};

/// The bytes of one generated token, its trailing space included.
pub const TOKEN_BYTES: usize = 4;

const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";
const DEFAULT_TOKENS: u32 = 32;

/// The whole answer to one request, in parts.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Completion {
    id: String,
    seed: u64,
    prompt: u32,
    tokens: u32,
    stream: bool,
}

impl Completion {
    /// Returns the answer to `chat` under the request id `request`.
    pub fn new(chat: &ChatRequest, request: &str) -> Completion {
        let tokens = chat.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
        let messages = chat.messages.iter().fold(u64::from(tokens), |seed, it| {
            mix2(mix2(seed, hash64(it.role.as_bytes())), hash64(it.content.as_bytes()))
        });
        Completion {
            id: request.to_owned(),
            seed: mix2(messages, hash64(request.as_bytes())),
            prompt: chat.messages.iter().map(|it| content_tokens(&it.content)).sum(),
            tokens,
            stream: chat.stream,
        }
    }

    /// Returns the number of tokens generated.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the number of tokens of the prompt.
    pub fn prompt(&self) -> u32 {
        self.prompt
    }

    /// Returns the generated token `index`, from zero.
    pub fn word(&self, index: u32) -> String {
        let bits = mix2(self.seed, u64::from(index));
        let letter = |shift: u32| char::from(ALPHABET[(bits >> shift) as usize % ALPHABET.len()]);
        [letter(0), letter(8), letter(16), ' '].iter().collect()
    }

    /// Returns the generated text.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|it| self.word(it)).collect()
    }

    /// Returns what precedes the first token.
    pub fn head(&self) -> String {
        if self.stream {
            return self.chunk("\"role\":\"assistant\",\"content\":\"\"", "null", "");
        }
        format!(
            "{{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion\",\"choices\":[{{\"index\":0,\
             \"finish_reason\":\"stop\",\"message\":{{\"role\":\"assistant\",\"content\":\"",
            self.id
        )
    }

    /// Returns the part that carries the token `index`, from zero.
    pub fn part(&self, index: u32) -> String {
        let word = self.word(index);
        if self.stream { self.chunk(&format!("\"content\":\"{word}\""), "null", "") } else { word }
    }

    /// Returns what follows the last token; its length does not depend on `cached`.
    pub fn tail(&self, cached: u32) -> String {
        let usage = format!(
            "\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{},\
             \"prompt_tokens_details\":{{\"cached_tokens\":{cached:>10}}}}}",
            self.prompt,
            self.tokens,
            self.prompt.saturating_add(self.tokens),
        );
        if self.stream {
            let last = self.chunk("", "\"stop\"", &format!(",{usage}"));
            format!("{last}data: [DONE]\n\n")
        } else {
            format!("\"}}}}],{usage}}}")
        }
    }

    /// Returns the whole body.
    pub fn body(&self, cached: u32) -> String {
        let parts: String = (0..self.tokens).map(|it| self.part(it)).collect();
        format!("{}{parts}{}", self.head(), self.tail(cached))
    }

    fn chunk(&self, delta: &str, finish: &str, more: &str) -> String {
        format!(
            "data: {{\"id\":\"chatcmpl-{}\",\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
             \"delta\":{{{delta}}},\"finish_reason\":{finish}}}]{more}}}\n\n",
            self.id
        )
    }
}
