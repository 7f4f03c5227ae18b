//! What is known about one subject.

use {
    crate::{
        message::{AnswerReport, Report},
        subject::Subject,
    },
    derive_more::Debug,
    model::{MILLISECOND, SECOND, Time, mix2},
};

/// The maximum number of crashes that are kept for a subject, the first ones. They include more than
/// happen before a verdict is in force everywhere.
const MAX_CRASHES: usize = 32;

/// How long evidence is kept after the last crash or trial, in microseconds.
pub(crate) const RETENTION: u64 = 600 * SECOND;

/// How long a convicted subject is blocked before its first trial, in microseconds. A trial may cost
/// an endpoint and all that it runs.
const FIRST_BLOCK: u64 = 30 * SECOND;

/// Like [`FIRST_BLOCK`], for a subject that is known to be sound a short time ago. More is lost if
/// the verdict is wrong.
const FIRST_BLOCK_IF_PROVED: u64 = 2 * SECOND;

/// How long before its first crash an answer proves that a subject was sound, in microseconds. It
/// exceeds the time that a service takes to come back if all of its endpoints end.
const PROOF_TIME: u64 = 30 * SECOND;

/// The longest time until the next trial, in microseconds. It is shorter than the retention.
const MAX_BLOCK: u64 = 480 * SECOND;

/// The factor by which each failed trial extends the time until the next one.
const BLOCK_FACTOR: u64 = 4;

/// How often an answer is passed on at most.
const MAX_HOPS: u8 = 4;

/// The crash of an endpoint that had begun no answer to a request with the subject.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Crash {
    /// Identifies the run of the endpoint.
    pub(crate) incarnation: u64,
    pub(crate) at: Time,
}

/// What the report of another router did to the evidence.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Merged {
    /// Whether the crashes or trials have changed.
    pub(crate) is_changed: bool,
    /// Whether it contains a crash before an answer that its sender does not know.
    pub(crate) is_contradicted: bool,
}

/// The evidence about one subject.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub(crate) struct Evidence {
    /// The crashes since the last answer, in order.
    crashes: Vec<Crash>,
    /// When a request with the subject was last answered.
    answered_at: Option<Time>,
    /// How often the news of that answer was passed on.
    answer_hops: u8,
    /// The number of trials since the last answer.
    trials: u32,
    /// When the last of these trials began.
    tried_at: Time,
}

impl Evidence {
    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(crate) fn trials(&self) -> u32 {
        self.trials
    }

    /// Adds a crash. Returns whether it is new and later than the last answer.
    pub(crate) fn add_crash(&mut self, crash: Crash) -> bool {
        if self.answered_at.is_some_and(|it| crash.at <= it) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|it| it.incarnation == crash.incarnation)
        {
            known.at = known.at.min(crash.at);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        let at = self.crashes.partition_point(|it| it.at <= crash.at);
        self.crashes.insert(at, crash);
        true
    }

    /// Records an answer. Returns whether it contradicts a crash.
    pub(crate) fn add_answer(&mut self, at: Time) -> bool {
        if self.answered_at.is_some_and(|it| it >= at) {
            return false;
        }
        (self.answered_at, self.answer_hops) = (Some(at), 0);
        let before = self.crashes.len();
        self.crashes.retain(|it| it.at > at);
        if self.tried_at <= at {
            self.trials = 0;
        }
        self.crashes.len() < before
    }

    pub(crate) fn begin_trial(&mut self, now: Time) {
        self.trials += 1;
        self.tried_at = now;
    }

    /// Returns when the next trial may begin.
    pub(crate) fn retry_at(&self) -> Time {
        let last_crash = self.crashes.last().map_or(Time(0), |it| it.at);
        let first = if self.is_proved() { FIRST_BLOCK_IF_PROVED } else { FIRST_BLOCK };
        let factor = BLOCK_FACTOR.saturating_pow(self.trials);
        last_crash.max(self.tried_at) + first.saturating_mul(factor).min(MAX_BLOCK)
    }

    /// Returns whether requests with the subject were answered a short time before its crashes.
    pub(crate) fn is_proved(&self) -> bool {
        let first_crash = self.crashes.first();
        let answered_at = self.answered_at.zip(first_crash);
        answered_at.is_some_and(|(answered_at, crash)| crash.at < answered_at + PROOF_TIME)
    }

    pub(crate) fn expires_at(&self) -> Time {
        let last_crash = self.crashes.last().map(|it| it.at);
        last_crash.max(self.answered_at).max(Some(self.tried_at)).unwrap_or_default() + RETENTION
    }

    /// Adds what another router reports.
    pub(crate) fn merge(&mut self, now: Time, report: &Report) -> Merged {
        let at = |age_ms: u32| now.saturating_sub(u64::from(age_ms) * MILLISECOND);
        let mut is_changed = false;
        if let Some(answer) = report.answer.filter(|it| it.hops < MAX_HOPS) {
            let known = self.answered_at;
            is_changed = self.add_answer(at(answer.age_ms));
            if self.answered_at != known {
                self.answer_hops = answer.hops + 1;
            }
        }
        let mut is_contradicted = false;
        for (incarnation, age_ms) in &report.crashes {
            let crash = Crash { incarnation: *incarnation, at: at(*age_ms) };
            is_changed |= self.add_crash(crash);
            is_contradicted |= self.answered_at.is_some_and(|it| crash.at <= it);
        }
        let tried_at = at(report.tried_ms);
        let is_later = self.answered_at.is_none_or(|it| tried_at > it);
        if report.trials > self.trials && is_later {
            self.trials = report.trials;
            self.tried_at = self.tried_at.max(tried_at);
            is_changed = true;
        }
        Merged { is_changed, is_contradicted }
    }

    pub(crate) fn report(&self, now: Time, subject: Subject) -> Report {
        let age_ms = |at: Time| age_ms(now, at);
        Report {
            subject,
            crashes: self.crashes.iter().map(|it| (it.incarnation, age_ms(it.at))).collect(),
            answer: self
                .answered_at
                .map(|it| AnswerReport { age_ms: age_ms(it), hops: self.answer_hops }),
            trials: self.trials,
            tried_ms: age_ms(self.tried_at),
        }
    }

    /// Returns a hash of the crashes and trials, which routers with the same evidence agree on.
    pub(crate) fn digest(&self, subject: Subject) -> u64 {
        let crashes = self.crashes.iter().fold(0, |sum: u64, it| sum.wrapping_add(it.incarnation));
        mix2(subject.hash(), mix2(crashes, u64::from(self.trials)))
    }
}

/// Returns how long ago something was, in milliseconds.
pub(crate) fn age_ms(now: Time, at: Time) -> u32 {
    u32::try_from(now.since(at) / MILLISECOND).unwrap_or(u32::MAX)
}
