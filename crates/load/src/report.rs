//! The figures of one run.

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

/// Samples with a smaller mean of running requests say nothing about skew.
const LEAST_MEAN: f64 = 1.0;

/// Max over mean across engines.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Debug)]
pub struct Skew {
    /// How many samples count: those with at least one request an engine in the mean.
    pub samples: usize,
    /// The mean over samples.
    pub mean: f64,
    /// 95 in 100 samples are smaller.
    pub p95: f64,
    /// The largest.
    pub max: f64,
    /// Of the loads averaged over time: what one engine carried more than the others over the whole run.
    pub overall: f64,
}

/// The figures of one run.
#[derive(Clone, PartialEq, Serialize, Debug)]
pub struct Report {
    /// Seconds during which requests were sent.
    pub seconds: f64,
    /// Requests sent.
    pub sent: u64,
    /// Chat answers by verdict.
    pub answers: BTreeMap<Verdict, u64>,
    /// Refusals by status, outcome and reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests without any answer, by what failed.
    pub unanswered: BTreeMap<String, u64>,
    /// Of the lost answers, those whose connection to the router broke, by the router's address.
    pub broken: BTreeMap<String, u64>,
    /// What became of the keys of calls that may not be repeated; nothing if the runners could not be asked.
    pub keys: Option<KeyVerdict>,
    /// Cached tokens over the prompt tokens of earlier turns.
    pub reuse: f64,
    /// Skew in tokens still to compute.
    pub skew_work: Skew,
    /// Skew in requests.
    pub skew_running: Skew,
    /// Control bytes a router a second, sent and received: the mean over routers.
    pub control_mean: f64,
    /// The same for the router with the most.
    pub control_max: f64,
    /// Until the first token.
    pub first_token: Percentiles,
    /// Between two tokens.
    pub between_tokens: Percentiles,
    /// Until the last byte of a chat answer.
    pub total: Percentiles,
    /// Until the last byte of a call to a plain service.
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
        let rates = rates(control.0, control.1, seconds);
        Report {
            seconds,
            sent: counts.sent,
            answers: counts.verdicts.clone(),
            refused: counts.refused.clone(),
            unanswered: counts.unanswered.clone(),
            broken: counts.broken.clone(),
            keys,
            reuse: ratio(counts.cached as f64, counts.known as f64),
            skew_work: skew(&work, &running),
            skew_running: skew(&running, &running),
            control_mean: ratio(rates.iter().sum(), rates.len() as f64),
            control_max: rates.iter().copied().fold(0.0, f64::max),
            first_token: counts.first.percentiles(),
            between_tokens: counts.between.percentiles(),
            total: counts.total.percentiles(),
            plain: counts.plain.percentiles(),
        }
    }

    /// Returns whether nothing was lost, doubled, another caller's or unanswered.
    pub fn is_clean(&self) -> bool {
        let whole_only = self.answers.keys().all(|it| *it == Verdict::Whole);
        let wrong = |it: &KeyVerdict| it.doubled + it.lost + it.false_not_run + it.differing;
        whole_only
            && self.unanswered.is_empty()
            && self.keys.as_ref().is_none_or(|it| wrong(it) == 0)
    }

    /// Prints the figures.
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
        self.broken.iter().for_each(|(key, count)| println!("  broken off by {key}: {count}"));
        if let Some(keys) = &self.keys {
            println!("keys: {keys:?}");
        }
        println!("reuse {:.3}", self.reuse);
        println!("skew in work: {:?}", self.skew_work);
        println!("skew in requests: {:?}", self.skew_running);
        println!(
            "control bytes a router a second: mean {:.0}, max {:.0}",
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

    /// Writes the figures as JSON.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, file: &Path) -> Result<()> {
        let text = serde_json::to_string_pretty(self).wrap_err("load: encode figures")?;
        fs::write(file, text).wrap_err_with(|| format!("load: write {}", file.display()))
    }
}

/// Returns max over mean across engines, over the samples in which at least one request an engine runs in the mean.
pub fn skew(loads: &[&[u64]], running: &[&[u64]]) -> Skew {
    let busy = loads.iter().zip(running).filter(|(_, running)| mean(running) >= LEAST_MEAN);
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

/// Returns a quotient, zero if the divisor is zero.
pub fn ratio(value: f64, of: f64) -> f64 {
    if of > 0.0 { value / of } else { 0.0 }
}

fn max(values: &[u64]) -> f64 {
    values.iter().copied().max().unwrap_or(0) as f64
}

fn mean(values: &[u64]) -> f64 {
    ratio(values.iter().sum::<u64>() as f64, values.len() as f64)
}

/// Returns the bytes a second of each router that told both readings.
fn rates(before: &ControlBytes, after: &ControlBytes, seconds: f64) -> Vec<f64> {
    let grown =
        after.iter().filter_map(|(router, it)| Some(it.saturating_sub(*before.get(router)?)));
    grown.map(|it| ratio(it as f64, seconds)).collect()
}
