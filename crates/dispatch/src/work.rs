//! The expected run of a request.

use {
    crate::request::{DispatchRequest, Prompt},
    derive_more::Debug,
    std::collections::HashSet,
};

/// How many prompt tokens are processed in the time of one token of an answer.
const PROMPT_TOKENS_PER_STEP: f64 = 220.0;

/// The weight of one request in the moving average of the work of requests.
const MEAN_WEIGHT: f64 = 0.02;

/// How far the work of a request is taken to differ from the mean, as a factor.
const MAX_FACTOR: f64 = 30.0;

/// The maximum number of prompt parts that are remembered.
const MAX_PARTS: usize = 8_192;

/// The work of the requests of one service, in tokens of an answer.
#[derive(Default, Debug)]
pub(crate) struct WorkEstimate {
    mean: Option<f64>,
    /// The shared parts that are expected to be in the memory of some endpoint.
    parts: HashSet<u64>,
}

impl WorkEstimate {
    fn steps(&self, prompt: &Prompt) -> f64 {
        let tokens: u32 = prompt.parts.iter().map(|it| it.tokens).sum();
        let last = prompt.shared().iter().rposition(|it| self.parts.contains(&it.id));
        let cached = last.map_or(0, |it| prompt.shared()[..=it].iter().map(|it| it.tokens).sum());
        let answer = f64::from(prompt.tokens.saturating_sub(tokens));
        answer + f64::from(tokens - cached) / PROMPT_TOKENS_PER_STEP
    }

    /// Returns the expected run of a request if the mean run is `mean_ms`, in milliseconds.
    pub(crate) fn run_ms(&self, request: &DispatchRequest, mean_ms: f64) -> f64 {
        let Some((prompt, mean)) = request.prompt.as_ref().zip(self.mean) else { return mean_ms };
        let factor = self.steps(prompt) / mean.max(1.0);
        mean_ms * factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    /// Records a request that starts.
    pub(crate) fn record_start(&mut self, request: &DispatchRequest) {
        let Some(prompt) = &request.prompt else { return };
        let steps = self.steps(prompt);
        let mean = self.mean.unwrap_or(steps);
        self.mean = Some(mean + (steps - mean) * MEAN_WEIGHT);
        if self.parts.len() >= MAX_PARTS {
            self.parts.clear();
        }
        self.parts.extend(prompt.shared().iter().map(|it| it.id));
    }
}
