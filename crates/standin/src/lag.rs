//! Values that readers see with a fixed delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A value whose reads return what it was one `lag` ago.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    history: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T>
where
    T: Clone,
{
    pub(crate) fn new(lag_ms: u64, initial: T) -> Lagged<T> {
        let lag = Duration::from_millis(lag_ms);
        Lagged { lag, history: [(Instant::now(), initial)].into() }
    }

    /// Sets the current value.
    pub(crate) fn set(&mut self, value: T) {
        self.history.push_back((Instant::now(), value));
        let cutoff = Instant::now().checked_sub(self.lag);
        while let (Some(cutoff), Some((second, _))) = (cutoff, self.history.get(1))
            && *second <= cutoff
        {
            self.history.pop_front();
        }
    }

    /// Returns the value as it was one lag ago, and its age in milliseconds.
    pub(crate) fn get(&self) -> (T, u64) {
        let cutoff = Instant::now().checked_sub(self.lag);
        let past =
            self.history.iter().rev().find(|(at, _)| cutoff.is_some_and(|cutoff| *at <= cutoff));
        let (_, value) = past.unwrap_or(&self.history[0]);
        (value.clone(), self.lag.as_millis() as u64)
    }

    /// Returns the current value, without the lag.
    pub(crate) fn latest(&self) -> T {
        self.history[self.history.len() - 1].1.clone()
    }
}
