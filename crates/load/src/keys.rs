//! What is known of each key of a call that may not be repeated.

use {derive_more::Debug, serde::Serialize, std::collections::BTreeMap};

/// What one call of a key was answered.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum KeyAnswer {
    /// It ran; this is the body.
    Body(String),
    /// It was not run.
    NotRun,
    /// It may have run, or it is running.
    Unknown,
}

/// What all calls of one key came to.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
struct Known {
    bodies: Vec<String>,
    calls: u32,
    not_run: u32,
}

/// What went wrong, by the number of keys.
#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Debug)]
pub struct KeyVerdict {
    /// Keys called.
    pub keys: usize,
    /// Calls of these keys, resends included.
    pub calls: u64,
    /// Keys with an answer.
    pub answered: usize,
    /// Keys without an answer that may have run.
    pub unknown: usize,
    /// Keys that ran more than once.
    pub doubled: usize,
    /// Keys that were answered but never ran.
    pub lost: usize,
    /// Keys that ran although every call was answered with `not-run`.
    pub false_not_run: usize,
    /// Keys whose resends got different answers.
    pub differing: usize,
}

/// The answers of all keys.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct KeyBook {
    keys: BTreeMap<String, Known>,
}

impl KeyBook {
    /// Notes the answer to one call.
    pub fn note(&mut self, key: &str, answer: KeyAnswer) {
        let known = self.keys.entry(key.to_owned()).or_default();
        known.calls += 1;
        match answer {
            KeyAnswer::Body(body) => known.bodies.push(body),
            KeyAnswer::NotRun => known.not_run += 1,
            KeyAnswer::Unknown => {}
        }
    }

    /// Judges all keys by how often each ran.
    pub fn judge(&self, runs: &BTreeMap<String, u64>) -> KeyVerdict {
        let mut verdict = KeyVerdict { keys: self.keys.len(), ..KeyVerdict::default() };
        for (key, known) in &self.keys {
            let runs = runs.get(key).copied().unwrap_or(0);
            let answered = !known.bodies.is_empty();
            let all_not_run = known.not_run == known.calls;
            verdict.calls += u64::from(known.calls);
            verdict.answered += usize::from(answered);
            verdict.unknown += usize::from(!answered && !all_not_run);
            verdict.doubled += usize::from(runs > 1);
            verdict.lost += usize::from(answered && runs == 0);
            verdict.false_not_run += usize::from(all_not_run && runs > 0);
            verdict.differing += usize::from(known.bodies.windows(2).any(|it| it[0] != it[1]));
        }
        verdict
    }
}
