//! The answers that operations got, so that a resend gets the same one.

use {
    crate::answer::Answer,
    derive_more::Debug,
    model::{Digest, OperationId},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// How many answers are kept, the newest ones.
const MAX_ANSWERS: usize = 10_000;

/// How many lines all kept answers have together; one answer is kept however long it is.
const MAX_LINES: usize = 500_000;

/// The recorded answers.
///
/// An operation whose answer was dropped can safely be sent again: a plan only makes another plan, and a plan that
/// came into force has lost its base.
#[derive(Clone, PartialEq, Eq, Default, Serialize, Deserialize, Debug)]
pub(crate) struct Answers {
    recorded: BTreeMap<OperationId, Recorded>,
    order: VecDeque<OperationId>,
    lines: usize,
}

/// The answer that an operation got.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub(crate) struct Recorded {
    /// The digest of who asked for what.
    pub(crate) request: Digest,
    /// The answer.
    pub(crate) answer: Answer,
}

impl Answers {
    /// Returns the answer that an operation got.
    pub(crate) fn get(&self, id: &OperationId) -> Option<&Recorded> {
        self.recorded.get(id)
    }

    /// Keeps an answer, and drops the oldest ones that are too many.
    pub(crate) fn add(&mut self, id: OperationId, recorded: Recorded) {
        self.lines += lines(&recorded.answer);
        self.order.push_back(id.clone());
        self.recorded.insert(id, recorded);
        while self.order.len() > MAX_ANSWERS || (self.lines > MAX_LINES && self.order.len() > 1) {
            let Some(oldest) = self.order.pop_front() else { return };
            let Some(dropped) = self.recorded.remove(&oldest) else { continue };
            self.lines -= lines(&dropped.answer);
        }
    }
}

fn lines(answer: &Answer) -> usize {
    match answer {
        Answer::Planned(it) => it.changes.len() + it.effects.len(),
        Answer::Confirmed { .. } | Answer::Refused(_) => 1,
    }
}
