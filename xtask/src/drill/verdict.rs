//! What the load came to.

use {
    eyre::{Result, WrapErr, bail, ensure},
    serde_json::Value,
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path},
};

/// What the load came to.
///
/// `jf-load` judges an answer that breaks off as lost. One that broke off with the connection to the killed router is
/// counted apart, as a request without an answer: its caller sees that, and no router is left to tell it more.
pub(crate) struct Verdict {
    sent: u64,
    whole: u64,
    /// Faults by name; each must be 0.
    faults: BTreeMap<&'static str, u64>,
    /// Requests that got no answer at all.
    unanswered: u64,
    /// Answers that broke off with the connection to the killed router.
    broken: u64,
    refused: BTreeMap<String, u64>,
}

impl Verdict {
    /// Reads the report of `jf-load`.
    pub(crate) fn read(file: &Path, killed: SocketAddr) -> Result<Verdict> {
        let text = fs::read_to_string(file);
        let text = text.wrap_err_with(|| format!("drill: read {}", file.display()))?;
        let figures: Value = serde_json::from_str(&text).wrap_err("drill: decode figures")?;
        let answers = |key: &str| figures["answers"][key].as_u64().unwrap_or(0);
        let broken = figures["broken"][killed.to_string()].as_u64().unwrap_or(0);
        let lost = answers("lost");
        ensure!(broken <= lost, "drill: {broken} answers broke off, but only {lost} are lost");
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
            let Some(count) = figures["keys"][key].as_u64() else {
                bail!("drill: {name}: the plain runners could not be asked");
            };
            faults.insert(name, count);
        }
        Ok(Verdict {
            sent: figures["sent"].as_u64().unwrap_or(0),
            whole: answers("whole"),
            faults,
            unanswered: sum(&figures["unanswered"]),
            broken,
            refused: by_outcome(&figures["refused"]),
        })
    }

    /// Prints the verdict, in one line.
    pub(crate) fn print(&self) {
        let list = |it: (&str, &u64)| format!("{} {}", it.1, it.0);
        let faults: Vec<String> = self.faults.iter().map(|it| list((it.0, it.1))).collect();
        let refused: Vec<String> = self.refused.iter().map(|it| list((it.0, it.1))).collect();
        println!(
            "drill: {} sent: {} whole, {}, {} unanswered and {} broken off by the killed router, refused: [{}]",
            self.sent,
            self.whole,
            faults.join(", "),
            self.unanswered,
            self.broken,
            refused.join(", ")
        );
    }

    /// Fails if any answer or key was lost, doubled or another caller's, or a `not-run` was false.
    pub(crate) fn check(&self) -> Result<()> {
        ensure!(self.whole > 0, "drill: no answer was whole");
        let faults: u64 = self.faults.values().sum();
        ensure!(faults == 0, "drill: {faults} faults");
        println!("drill: no fault");
        Ok(())
    }
}

fn sum(counts: &Value) -> u64 {
    let counts = counts.as_object();
    counts.map_or(0, |it| it.values().filter_map(Value::as_u64).sum())
}

/// Adds up refusals, whose keys are status, outcome and reason, by outcome.
fn by_outcome(counts: &Value) -> BTreeMap<String, u64> {
    let mut refused = BTreeMap::new();
    for (key, count) in counts.as_object().into_iter().flatten() {
        let outcome = key.split(' ').nth(1).unwrap_or("?");
        *refused.entry(outcome.to_owned()).or_default() += count.as_u64().unwrap_or(0);
    }
    refused
}
