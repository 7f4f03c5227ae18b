//! The result of the load.

use {
    eyre::{Result, WrapErr, bail, ensure},
    serde_json::Value,
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path},
};

/// The result of the load.
///
/// `jf-load` counts a truncated response as lost. Responses truncated because the connection to the killed router broke
/// are counted separately, as requests without a response: the caller sees the broken connection, and there is no
/// router left that could report more.
pub(crate) struct Report {
    sent: u64,
    whole: u64,
    /// Number of faults by name; each must be 0.
    faults: BTreeMap<&'static str, u64>,
    /// Number of requests without any response.
    unanswered: u64,
    /// Number of responses truncated by the loss of the killed router.
    broken: u64,
    refused: BTreeMap<String, u64>,
}

impl Report {
    /// Reads the report of `jf-load`.
    pub(crate) fn read(file: &Path, killed: SocketAddr) -> Result<Report> {
        let text = fs::read_to_string(file);
        let text = text.wrap_err_with(|| format!("drill: failed to read {}", file.display()))?;
        let report_json: Value =
            serde_json::from_str(&text).wrap_err("drill: failed to parse the report of jf-load")?;
        let answers = |key: &str| report_json["answers"][key].as_u64().unwrap_or(0);
        let broken = report_json["broken"][killed.to_string()].as_u64().unwrap_or(0);
        let lost = answers("lost");
        ensure!(
            broken <= lost,
            "drill: {broken} responses broke off, but only {lost} are counted as lost"
        );
        let mut faults = BTreeMap::from([
            ("lost", lost - broken),
            ("doubled", answers("doubled")),
            ("foreign", answers("foreign")),
        ]);
        for (name, key) in [
            ("keys lost", "lost"),
            ("keys doubled", "doubled"),
            ("keys differing", "differing"),
            ("false not-run", "false_not_run"),
        ] {
            let Some(count) = report_json["keys"][key].as_u64() else {
                bail!("drill: {name}: the plain services could not be queried");
            };
            faults.insert(name, count);
        }
        Ok(Report {
            sent: report_json["sent"].as_u64().unwrap_or(0),
            whole: answers("whole"),
            faults,
            unanswered: sum_counts(&report_json["unanswered"]),
            broken,
            refused: by_outcome(&report_json["refused"]),
        })
    }

    /// Prints the report on one line.
    pub(crate) fn print(&self) {
        let list = |it: (&str, &u64)| format!("{} {}", it.1, it.0);
        let faults: Vec<String> = self.faults.iter().map(|it| list((it.0, it.1))).collect();
        let refused: Vec<String> = self.refused.iter().map(|it| list((it.0, it.1))).collect();
        println!(
            "drill: {} sent: {} whole, {}, {} without a response and {} truncated by the killed router, refused: [{}]",
            self.sent,
            self.whole,
            faults.join(", "),
            self.unanswered,
            self.broken,
            refused.join(", ")
        );
    }

    /// Fails if any response or key was lost, duplicated or belonged to another caller, or if a `not-run` was false.
    pub(crate) fn check(&self) -> Result<()> {
        ensure!(self.whole > 0, "drill: no response was complete");
        let faults: u64 = self.faults.values().sum();
        ensure!(faults == 0, "drill: {faults} faults");
        println!("drill: no faults");
        Ok(())
    }
}

fn sum_counts(counts: &Value) -> u64 {
    let counts = counts.as_object();
    counts.map_or(0, |it| it.values().filter_map(Value::as_u64).sum())
}

/// Sums refusals by outcome. Their keys consist of status, outcome and reason.
fn by_outcome(counts: &Value) -> BTreeMap<String, u64> {
    let mut refused = BTreeMap::new();
    for (key, count) in counts.as_object().into_iter().flatten() {
        let outcome = key.split(' ').nth(1).unwrap_or("?");
        *refused.entry(outcome.to_owned()).or_default() += count.as_u64().unwrap_or(0);
    }
    refused
}
