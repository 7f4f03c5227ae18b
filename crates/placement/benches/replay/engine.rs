//! Simulated engines with continuous batching, each with its own prompt cache.

use {crate::trace::Request, model::ChatKey, placement::Cache};

/// Prompt tokens that an engine computes per second.
const PREFILL_RATE: u64 = 10_000;

/// The time between two tokens of an answer, in microseconds.
const TOKEN_INTERVAL_US: u64 = 25_000;

/// A running request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) id: u64,
    pub(crate) request: Request,
    /// The owner that started it, if the policy has owners.
    pub(crate) router: usize,
    pub(crate) first_token_at: u64,
    pub(crate) ends_at: u64,
    computed: u32,
}

impl RunningRequest {
    /// Returns the work that is left, as an owner counts it: the prompt until the first token, and
    /// the answer until the end.
    pub(crate) fn work(&self, now: u64) -> u64 {
        let prompt = if now < self.first_token_at { self.computed } else { 0 };
        u64::from(prompt) + u64::from(self.request.output)
    }
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) up: bool,
    pub(crate) cache: Cache,
    pub(crate) runs: Vec<RunningRequest>,
    prefill_free_at: u64,
}

impl Engine {
    pub(crate) fn new(cache: u64) -> Engine {
        Engine { up: true, cache: Cache::new(cache), runs: Vec::new(), prefill_free_at: 0 }
    }

    /// Starts a request. Returns how many of its prompt tokens were cached.
    pub(crate) fn start(&mut self, now: u64, id: u64, router: usize, request: Request) -> u32 {
        let chat = ChatKey(request.chat);
        let cached = self.cache.tokens(chat).min(request.prompt);
        let computed = request.prompt - cached;
        let first_token_at =
            now.max(self.prefill_free_at) + u64::from(computed) * 1_000_000 / PREFILL_RATE;
        let ends_at = first_token_at + u64::from(request.output) * TOKEN_INTERVAL_US;
        self.prefill_free_at = first_token_at;
        self.cache.record_use(chat, request.prompt + request.output);
        self.runs.push(RunningRequest { id, request, router, first_token_at, ends_at, computed });
        cached
    }

    pub(crate) fn work(&self, now: u64) -> u64 {
        self.runs.iter().map(|it| it.work(now)).sum()
    }

    /// Returns the work without the largest request.
    pub(crate) fn work_without_largest(&self, now: u64) -> u64 {
        let largest = self.runs.iter().map(|it| it.work(now)).max();
        self.work(now) - largest.unwrap_or(0)
    }
}
