//! The answers to past operations, so that a resend gets the same one.

use {
    crate::answer::Answer,
    derive_more::Debug,
    model::{Digest, OperationId},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// The maximum number of answers that are kept; the oldest are dropped first.
const MAX_ANSWERS: usize = 10_000;

/// The maximum total number of lines in all kept answers. The newest answer is kept regardless of
/// its length.
const MAX_LINES: usize = 500_000;

/// The recorded answers.
///
/// An operation whose answer was dropped can safely be resent: planning again only creates another
/// plan, and a plan that was committed no longer matches its base.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct AnswerCache {
    answers: BTreeMap<OperationId, CachedAnswer>,
    order: VecDeque<OperationId>,
    lines: usize,
}

/// The recorded answer to an operation.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct CachedAnswer {
    /// The digest of the operator and the requested action.
    pub(crate) request: Digest,
    /// The answer.
    pub(crate) answer: Answer,
}

impl AnswerCache {
    /// Returns the recorded answer to an operation.
    pub(crate) fn get(&self, id: &OperationId) -> Option<&CachedAnswer> {
        self.answers.get(id)
    }

    /// Records an answer, and drops the oldest ones beyond the limits.
    pub(crate) fn add(&mut self, id: OperationId, cached: CachedAnswer) {
        self.lines += line_count(&cached.answer);
        self.order.push_back(id.clone());
        self.answers.insert(id, cached);
        while self.order.len() > MAX_ANSWERS || (self.lines > MAX_LINES && self.order.len() > 1) {
            let Some(oldest) = self.order.pop_front() else { return };
            let Some(dropped) = self.answers.remove(&oldest) else { continue };
            self.lines -= line_count(&dropped.answer);
        }
    }
}

fn line_count(answer: &Answer) -> usize {
    match answer {
        Answer::Planned(it) => it.changes.len() + it.effects.len(),
        Answer::Confirmed { .. } | Answer::Refused(_) => 1,
    }
}
