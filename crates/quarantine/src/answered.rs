//! When parts of prompts were last answered.

use {derive_more::Debug, model::Time, std::collections::HashMap};

/// The maximum number of parts in a generation.
const MAX_GENERATION: usize = 8_192;

/// The maximum number of parts that one answer adds. A prompt may have thousands that are never
/// seen again, which must not displace those of other prompts.
const MAX_ADDED: usize = 64;

/// The last answers to parts that have no evidence, in two generations. Parts that are answered
/// again are kept; the others are dropped with the older generation.
#[derive(Default, Debug)]
pub(crate) struct Answered {
    current: HashMap<u64, Time>,
    previous: HashMap<u64, Time>,
}

impl Answered {
    pub(crate) fn get(&self, part: u64) -> Option<Time> {
        self.current.get(&part).or_else(|| self.previous.get(&part)).copied()
    }

    pub(crate) fn remove(&mut self, part: u64) -> Option<Time> {
        let previous = self.previous.remove(&part);
        self.current.remove(&part).or(previous)
    }

    /// Records an answer to a prompt with these parts. Those that are suspected are always kept, as the
    /// answer contradicts their crashes.
    pub(crate) fn record<I, F>(&mut self, now: Time, parts: I, is_suspected: F)
    where
        I: IntoIterator<Item = u64>,
        F: Fn(u64) -> bool,
    {
        let mut added = 0;
        for part in parts {
            if let Some(at) = self.current.get_mut(&part) {
                *at = now;
                continue;
            }
            if self.previous.remove(&part).is_none() && !is_suspected(part) {
                if added >= MAX_ADDED {
                    continue;
                }
                added += 1;
            }
            if self.current.len() >= MAX_GENERATION {
                self.previous = std::mem::take(&mut self.current);
            }
            self.current.insert(part, now);
        }
    }
}
