//! What is counted while a load runs.

use {
    crate::{usage::Usage, verdict::Verdict},
    derive_more::Debug,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

const LONGEST_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// Latencies in microseconds.
#[derive(Debug)]
#[debug("{} latencies", histogram.len())]
pub struct Latencies {
    histogram: Histogram<u64>,
}

/// The percentiles of latencies, in milliseconds.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Debug)]
pub struct Percentiles {
    /// How many were measured.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// 95 in 100 are shorter.
    pub p95_ms: f64,
    /// 99 in 100 are shorter.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Latencies { histogram: histogram.expect("the bounds are constants that fit") }
    }
}

impl Latencies {
    /// Notes a latency, `times` times.
    pub fn note(&mut self, latency: Duration, times: u64) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(LONGEST_US);
        self.histogram.saturating_record_n(micros.clamp(1, LONGEST_US), times);
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

/// Everything that calls come to.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub sent: u64,
    /// Answers by verdict.
    pub verdicts: BTreeMap<Verdict, u64>,
    /// Refusals by outcome and reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests that got no answer at all, by what failed.
    pub unanswered: BTreeMap<String, u64>,
    /// Lost answers whose connection to the router broke, by the router's address.
    pub broken: BTreeMap<String, u64>,
    /// Prompt tokens held by the engines that answered.
    pub cached: u64,
    /// Prompt tokens that some engine had computed in an earlier turn.
    pub known: u64,
    /// All prompt tokens.
    pub prompt: u64,
    /// Until the first token.
    pub first: Latencies,
    /// Between two tokens.
    pub between: Latencies,
    /// Until the last byte.
    pub total: Latencies,
    /// Calls to plain services, until the last byte.
    pub plain: Latencies,
}

impl Counts {
    /// Notes an answer to a chat turn whose earlier turns held `known` tokens.
    pub fn answer(&mut self, verdict: Verdict, usage: Option<Usage>, known: u64) {
        *self.verdicts.entry(verdict).or_default() += 1;
        let Some(usage) = usage else { return };
        self.cached += usage.cached;
        self.prompt += usage.prompt;
        self.known += known;
    }

    /// Returns the answers of one verdict.
    pub fn verdict(&self, verdict: Verdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }
}
