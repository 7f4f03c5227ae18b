//! Counters and latencies collected during a run.

use {
    crate::{usage::Usage, verdict::Verdict},
    derive_more::Debug,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies in microseconds.
#[derive(Debug)]
#[debug("{} latencies", histogram.len())]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

/// Percentiles of latencies in milliseconds.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Debug)]
pub struct Percentiles {
    /// The number of latencies.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        LatencyHistogram { histogram: histogram.expect("the constant bounds are valid") }
    }
}

impl LatencyHistogram {
    /// Records a latency `times` times.
    pub fn record(&mut self, latency: Duration, times: u64) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.histogram.saturating_record_n(micros.clamp(1, MAX_LATENCY_US), times);
    }

    /// Returns the percentiles.
    pub fn percentiles(&self) -> Percentiles {
        let ms = |it: u64| it as f64 / 1_000.0;
        let at = |it: f64| ms(self.histogram.value_at_quantile(it));
        Percentiles {
            count: self.histogram.len(),
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: ms(self.histogram.max()),
        }
    }
}

/// The results of all calls.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Chat answers by verdict.
    pub verdicts: BTreeMap<Verdict, u64>,
    /// Refusals by status, outcome and reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a response, by the failed step.
    pub unanswered: BTreeMap<String, u64>,
    /// Lost answers whose connection to the router failed, by the router's address.
    pub broken_connections: BTreeMap<String, u64>,
    /// Prompt tokens that the answering engines had in their caches.
    pub cached_tokens: u64,
    /// Prompt tokens that some engine had computed in an earlier turn, and that could be reused.
    pub reusable_tokens: u64,
    /// All prompt tokens.
    pub prompt_tokens: u64,
    /// From sending a chat turn to its first token.
    pub first_token: LatencyHistogram,
    /// Between two tokens of a chat answer.
    pub between_tokens: LatencyHistogram,
    /// From sending a chat turn to the last byte of its answer.
    pub total: LatencyHistogram,
    /// From sending a call to a plain service to the last byte of its answer.
    pub plain: LatencyHistogram,
}

impl Counts {
    /// Records an answer to a chat turn, of whose prompt `reusable_tokens` were computed in earlier
    /// turns.
    pub fn record_answer(&mut self, verdict: Verdict, usage: Option<Usage>, reusable_tokens: u64) {
        *self.verdicts.entry(verdict).or_default() += 1;
        let Some(usage) = usage else { return };
        self.cached_tokens += usage.cached_tokens;
        self.prompt_tokens += usage.prompt_tokens;
        self.reusable_tokens += reusable_tokens;
    }

    /// Returns the number of answers with a verdict.
    pub fn verdict_count(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }
}
