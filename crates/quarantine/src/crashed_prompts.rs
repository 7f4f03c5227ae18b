//! The parts of long prompts under which endpoints crashed.
//!
//! Evidence on each part of a long prompt would be as large as the prompt, for each crash, and most of
//! the parts are never in a second one. So only the ids of the parts are kept, by crash, until some are
//! found in several crashes.

use {
    crate::evidence::{Crash, RETENTION},
    derive_more::Debug,
    model::Time,
    std::collections::{HashMap, VecDeque, hash_map::Entry},
};

/// The maximum number of crashes whose parts are kept, the latest ones.
const MAX_CRASHES: usize = 64;

/// The maximum number of parts that are kept for one crash: of all the requests that an endpoint had
/// not begun to answer.
const MAX_CRASH_PARTS: usize = 131_072;

/// The maximum number of parts that are kept for all crashes. The oldest crashes are dropped first.
const MAX_PARTS: usize = 2 * MAX_CRASH_PARTS;

/// The parts under which one run of an endpoint crashed.
#[derive(Debug)]
struct CrashedPrompt {
    crash: Crash,
    /// In order, each once.
    #[debug(skip)]
    parts: Vec<u64>,
}

impl CrashedPrompt {
    fn contains(&self, part: u64) -> bool {
        self.parts.binary_search(&part).is_ok()
    }
}

/// The parts of long prompts by crash, in the order in which the crashes became known.
#[derive(Default, Debug)]
pub(crate) struct CrashedPrompts {
    prompts: VecDeque<CrashedPrompt>,
    /// The number of crashes of each part.
    #[debug(skip)]
    counts: HashMap<u64, u16>,
}

impl CrashedPrompts {
    /// Adds parts under which an endpoint crashed. Returns those that are new for that crash.
    pub(crate) fn add<I>(&mut self, crash: Crash, parts: I) -> Vec<u64>
    where
        I: IntoIterator<Item = u64>,
    {
        let known = self.prompts.iter().position(|it| it.crash.incarnation == crash.incarnation);
        let mut prompt = match known.and_then(|at| self.prompts.remove(at)) {
            Some(it) => it,
            None => CrashedPrompt { crash, parts: Vec::new() },
        };
        prompt.crash.at = prompt.crash.at.min(crash.at);
        let mut new: Vec<_> = parts.into_iter().filter(|it| !prompt.contains(*it)).collect();
        new.sort_unstable();
        new.dedup();
        new.truncate(MAX_CRASH_PARTS - prompt.parts.len());
        for part in &new {
            *self.counts.entry(*part).or_default() += 1;
        }
        prompt.parts.extend(&new);
        prompt.parts.sort_unstable();
        self.prompts.push_back(prompt);
        while self.prompts.len() > MAX_CRASHES || self.len() > MAX_PARTS {
            self.drop_first();
        }
        new
    }

    /// Returns the parts that were in several crashes, with the number of crashes of each. Crashes
    /// before `answered(part)` don't count.
    pub(crate) fn repeated<F>(&self, answered: F) -> Vec<(usize, u64)>
    where
        F: Fn(u64) -> Option<Time>,
    {
        let repeated = self.counts.iter().filter(|it| *it.1 > 1);
        let with_crashes = repeated.map(|(part, count)| {
            let later = |at| self.crashes(*part).filter(|it| it.at > at).count();
            (answered(*part).map_or(usize::from(*count), later), *part)
        });
        with_crashes.filter(|it| it.0 > 1).collect()
    }

    pub(crate) fn contains(&self, part: u64) -> bool {
        self.counts.contains_key(&part)
    }

    /// Returns the crashes under a part.
    pub(crate) fn crashes(&self, part: u64) -> impl Iterator<Item = Crash> {
        self.prompts.iter().filter(move |it| it.contains(part)).map(|it| it.crash)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    pub(crate) fn expire(&mut self, now: Time) {
        // The order is that in which the crashes became known, which is nearly that of their times.
        while self.prompts.front().is_some_and(|it| now >= it.crash.at + RETENTION) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        for part in self.prompts.pop_front().into_iter().flat_map(|it| it.parts) {
            if let Entry::Occupied(mut count) = self.counts.entry(part) {
                *count.get_mut() -= 1;
                if *count.get() == 0 {
                    count.remove();
                }
            }
        }
    }

    /// Returns the number of parts that are kept, of all crashes.
    pub(crate) fn len(&self) -> usize {
        self.prompts.iter().map(|it| it.parts.len()).sum()
    }
}
