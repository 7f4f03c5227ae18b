//! Values that are read as they were some time ago.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A value with its history, read with a lag.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    history: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T>
where
    T: Clone,
{
    pub(crate) fn new(lag_ms: u64, first: T) -> Lagged<T> {
        let lag = Duration::from_millis(lag_ms);
        Lagged { lag, history: [(Instant::now(), first)].into() }
    }

    /// Sets the value from now on.
    pub(crate) fn set(&mut self, value: T) {
        self.history.push_back((Instant::now(), value));
        let old = Instant::now().checked_sub(self.lag);
        while let (Some(old), Some((second, _))) = (old, self.history.get(1))
            && *second <= old
        {
            self.history.pop_front();
        }
    }

    /// Returns the value as it was one lag ago, and its age in milliseconds.
    pub(crate) fn get(&self) -> (T, u64) {
        let old = Instant::now().checked_sub(self.lag);
        let past = self.history.iter().rev().find(|(at, _)| old.is_some_and(|old| *at <= old));
        let (_, value) = past.unwrap_or(&self.history[0]);
        (value.clone(), self.lag.as_millis() as u64)
    }

    /// Returns the value as it is.
    pub(crate) fn latest(&self) -> T {
        self.history[self.history.len() - 1].1.clone()
    }
}
