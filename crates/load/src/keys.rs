//! The answers to non-idempotent calls by idempotency key, and whether each key ran exactly once.

use {derive_more::Debug, serde::Serialize, std::collections::BTreeMap};

/// The answer to one call with a key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum KeyAnswer {
    /// The call ran and returned this body.
    Body(String),
    /// The call did not run.
    NotRun,
    /// The call may have run or may still be running.
    Unknown,
}

/// The answers to all calls with one key.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
struct KeyHistory {
    bodies: Vec<String>,
    calls: u32,
    not_run: u32,
}

/// The numbers of keys by result.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Debug)]
pub struct KeyVerdict {
    /// Keys that were sent.
    pub keys: usize,
    /// Calls with these keys, including resends.
    pub calls: u64,
    /// Keys with an answer.
    pub answered: usize,
    /// Keys that may have run but have no answer.
    pub unknown: usize,
    /// Keys that ran more than once.
    pub doubled: usize,
    /// Keys that were answered but never ran.
    pub lost: usize,
    /// Keys that ran although every call was reported as `not-run`.
    pub false_not_run: usize,
    /// Keys whose calls got different answers.
    pub differing: usize,
}

/// Tracks the answers by key.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct KeyTracker {
    keys: BTreeMap<String, KeyHistory>,
}

impl KeyTracker {
    /// Records the answer to one call.
    pub fn record(&mut self, key: &str, answer: KeyAnswer) {
        let history = self.keys.entry(key.to_owned()).or_default();
        history.calls += 1;
        match answer {
            KeyAnswer::Body(body) => history.bodies.push(body),
            KeyAnswer::NotRun => history.not_run += 1,
            KeyAnswer::Unknown => {}
        }
    }

    /// Compares the answers with the number of times that each key ran.
    pub fn verdict(&self, runs: &BTreeMap<String, u64>) -> KeyVerdict {
        let mut verdict = KeyVerdict { keys: self.keys.len(), ..KeyVerdict::default() };
        for (key, history) in &self.keys {
            let runs = runs.get(key).copied().unwrap_or(0);
            let answered = !history.bodies.is_empty();
            let all_not_run = history.not_run == history.calls;
            verdict.calls += u64::from(history.calls);
            verdict.answered += usize::from(answered);
            verdict.unknown += usize::from(!answered && !all_not_run);
            verdict.doubled += usize::from(runs > 1);
            verdict.lost += usize::from(answered && runs == 0);
            verdict.false_not_run += usize::from(all_not_run && runs > 0);
            verdict.differing += usize::from(history.bodies.windows(2).any(|it| it[0] != it[1]));
        }
        verdict
    }
}
