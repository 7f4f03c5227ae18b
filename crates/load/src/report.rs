//! The report of a run.

use {
    crate::{
        counts::{Counts, Percentiles},
        keys::KeyVerdict,
        verdict::Verdict,
        watch::{ControlBytes, Sample},
    },
    derive_more::Debug,
    eyre::{Result, WrapErr},
    serde::Serialize,
    std::{collections::BTreeMap, fs, path::Path},
};

/// The minimum mean number of running requests per engine. Samples below it do not show skew.
const MIN_MEAN_RUNNING: f64 = 1.0;

/// The ratio of the maximum load to the mean load across engines.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Debug)]
pub struct Skew {
    /// The number of samples used: those with a mean of at least one running request per engine.
    pub samples: usize,
    /// The mean over the samples.
    pub mean: f64,
    /// The 95th percentile of the samples.
    pub p95: f64,
    /// The maximum over the samples.
    pub max: f64,
    /// The ratio for the loads averaged over the run, which shows whether one engine had more load
    /// than the others throughout.
    pub overall: f64,
}

/// The results of a run.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct Report {
    /// The time during which requests were sent and answered, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Chat answers by verdict.
    pub answers: BTreeMap<Verdict, u64>,
    /// Refusals by status, outcome and reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a response, by the failed step.
    pub unanswered: BTreeMap<String, u64>,
    /// Lost answers whose connection to the router failed, by the router's address.
    pub broken: BTreeMap<String, u64>,
    /// The results of non-idempotent calls by key; `None` if the plain services did not report
    /// their run counts.
    pub keys: Option<KeyVerdict>,
    /// The ratio of cached tokens to the prompt tokens of earlier turns.
    pub reuse: f64,
    /// Skew of the remaining tokens to compute.
    pub skew_work: Skew,
    /// Skew of the running requests.
    pub skew_running: Skew,
    /// Control bytes sent and received per router and second: the mean over the routers.
    pub control_mean: f64,
    /// Control bytes sent and received per second: the maximum over the routers.
    pub control_max: f64,
    /// From sending a chat turn to its first token.
    pub first_token: Percentiles,
    /// Between two tokens of a chat answer.
    pub between_tokens: Percentiles,
    /// From sending a chat turn to the last byte of its answer.
    pub total: Percentiles,
    /// From sending a call to a plain service to the last byte of its answer.
    pub plain: Percentiles,
}

impl Report {
    pub(crate) fn new(
        seconds: f64,
        counts: &Counts,
        keys: Option<KeyVerdict>,
        samples: &[Sample],
        control: (&ControlBytes, &ControlBytes),
    ) -> Report {
        let work = samples.iter().map(|it| &it.work[..]).collect::<Vec<_>>();
        let running = samples.iter().map(|it| &it.running[..]).collect::<Vec<_>>();
        let rates = byte_rates(control.0, control.1, seconds);
        Report {
            seconds,
            sent: counts.sent,
            answers: counts.verdicts.clone(),
            refused: counts.refused.clone(),
            unanswered: counts.unanswered.clone(),
            broken: counts.broken_connections.clone(),
            keys,
            reuse: ratio(counts.cached_tokens as f64, counts.reusable_tokens as f64),
            skew_work: skew(&work, &running),
            skew_running: skew(&running, &running),
            control_mean: ratio(rates.iter().sum(), rates.len() as f64),
            control_max: rates.iter().copied().fold(0.0, f64::max),
            first_token: counts.first_token.percentiles(),
            between_tokens: counts.between_tokens.percentiles(),
            total: counts.total.percentiles(),
            plain: counts.plain.percentiles(),
        }
    }

    /// Returns whether every request was answered or refused, every answer is whole, and no key was
    /// lost, doubled, wrongly reported as not run or answered differently.
    pub fn is_clean(&self) -> bool {
        let all_whole = self.answers.keys().all(|it| *it == Verdict::Whole);
        let errors = |it: &KeyVerdict| it.doubled + it.lost + it.false_not_run + it.differing;
        all_whole
            && self.unanswered.is_empty()
            && self.keys.as_ref().is_none_or(|it| errors(it) == 0)
    }

    /// Prints the report.
    pub fn print(&self) {
        let count = |it: Verdict| self.answers.get(&it).copied().unwrap_or(0);
        let refused: u64 = self.refused.values().sum();
        let unanswered: u64 = self.unanswered.values().sum();
        println!("sent {} in {:.1} s", self.sent, self.seconds);
        println!(
            "answers: {} whole, {} lost, {} doubled, {} foreign; {refused} refused, {unanswered} unanswered",
            count(Verdict::Whole),
            count(Verdict::Lost),
            count(Verdict::Doubled),
            count(Verdict::Foreign),
        );
        self.refused.iter().for_each(|(key, count)| println!("  refused {key}: {count}"));
        self.unanswered.iter().for_each(|(key, count)| println!("  unanswered {key}: {count}"));
        self.broken
            .iter()
            .for_each(|(key, count)| println!("  connection to {key} failed: {count}"));
        if let Some(keys) = &self.keys {
            println!("keys: {keys:?}");
        }
        println!("reuse {:.3}", self.reuse);
        println!("skew in work: {:?}", self.skew_work);
        println!("skew in requests: {:?}", self.skew_running);
        println!(
            "control bytes per router and second: mean {:.0}, max {:.0}",
            self.control_mean, self.control_max
        );
        let rows = [
            ("first token", &self.first_token),
            ("between tokens", &self.between_tokens),
            ("whole answer", &self.total),
            ("plain call", &self.plain),
        ];
        for (name, it) in rows {
            let Percentiles { count, p50_ms, p95_ms, p99_ms, max_ms } = it;
            println!(
                "{name}: p50 {p50_ms:.1} ms, p95 {p95_ms:.1} ms, p99 {p99_ms:.1} ms, max {max_ms:.1} ms ({count})"
            );
        }
    }

    /// Writes the report to a file as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, file: &Path) -> Result<()> {
        let text =
            serde_json::to_string_pretty(self).wrap_err("load: failed to encode the report")?;
        fs::write(file, text).wrap_err_with(|| format!("load: failed to write {}", file.display()))
    }
}

/// Returns the skew of `loads` across engines, over the samples with a mean of at least one running
/// request per engine. Both slices hold one load per engine for each sample.
pub fn skew(loads: &[&[u64]], running: &[&[u64]]) -> Skew {
    let busy = loads.iter().zip(running).filter(|(_, running)| mean(running) >= MIN_MEAN_RUNNING);
    let mut ratios: Vec<f64> = busy.clone().map(|(it, _)| ratio(max(it), mean(it))).collect();
    ratios.sort_by(f64::total_cmp);
    let engines = loads.first().map_or(0, |it| it.len());
    let sums: Vec<u64> = (0..engines).map(|at| busy.clone().map(|(it, _)| it[at]).sum()).collect();
    Skew {
        samples: ratios.len(),
        mean: ratio(ratios.iter().sum(), ratios.len() as f64),
        p95: ratios.get(ratios.len() * 95 / 100).copied().unwrap_or(0.0),
        max: ratios.last().copied().unwrap_or(0.0),
        overall: ratio(max(&sums), mean(&sums)),
    }
}

/// Returns `value / of`, or zero if `of` is not positive.
pub fn ratio(value: f64, of: f64) -> f64 {
    if of > 0.0 { value / of } else { 0.0 }
}

fn max(values: &[u64]) -> f64 {
    values.iter().copied().max().unwrap_or(0) as f64
}

fn mean(values: &[u64]) -> f64 {
    ratio(values.iter().sum::<u64>() as f64, values.len() as f64)
}

/// Returns the bytes per second of each router with both readings.
fn byte_rates(before: &ControlBytes, after: &ControlBytes, seconds: f64) -> Vec<f64> {
    let increases =
        after.iter().filter_map(|(router, it)| Some(it.saturating_sub(*before.get(router)?)));
    increases.map(|it| ratio(it as f64, seconds)).collect()
}
