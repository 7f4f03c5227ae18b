//! What an owner's table may be set to.

use model::SECOND;

/// What an owner may be set to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Settings {
    /// The size of an endpoint's prompt cache, in tokens.
    pub(crate) cache: u64,
    /// How far a load report may lag behind, in microseconds.
    pub(crate) lag: u64,
    /// The most chats that are remembered to be away from home.
    pub(crate) exceptions: usize,
    /// How long a chat is remembered to be away from home, in microseconds.
    pub(crate) away: u64,
    /// How long after an endpoint joined chats are sent back to where their prefix is, in microseconds.
    pub(crate) moving: u64,
    /// Fewer prompt tokens than this are recomputed rather than sought elsewhere.
    pub(crate) seek: u32,
    /// How long a request waits for each cached token of its prompt before it spills, in microseconds.
    pub(crate) hold: u64,
    /// The longest that a request waits before it spills, in microseconds.
    pub(crate) longest: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            cache: 400_000,
            lag: SECOND,
            exceptions: 100_000,
            away: 600 * SECOND,
            moving: 600 * SECOND,
            seek: 512,
            hold: 500,
            longest: 2 * SECOND,
        }
    }
}

impl Settings {
    /// Sets the size of an endpoint's prompt cache, in tokens.
    pub fn with_cache_tokens(self, tokens: u64) -> Settings {
        Settings { cache: tokens, ..self }
    }

    /// Sets how far a load report may lag behind, in microseconds; at most a minute.
    pub fn with_report_lag(self, micros: u64) -> Settings {
        Settings { lag: micros.min(60 * SECOND), ..self }
    }

    /// Sets the most chats that are remembered to be away from home, and for how long, in microseconds.
    pub fn with_displaced(self, most: usize, away: u64) -> Settings {
        Settings { exceptions: most, away, ..self }
    }

    /// Sets how long a request waits before it spills: so many microseconds for each cached token of its prompt, and at
    /// most so many; zero: it spills at once.
    pub fn with_prefix_wait(self, token: u64, longest: u64) -> Settings {
        Settings { hold: token, longest, ..self }
    }

    /// Sets below how many prompt tokens a prefix is computed again rather than sought or waited for.
    pub fn with_min_prefix(self, tokens: u32) -> Settings {
        Settings { seek: tokens, ..self }
    }

    /// Sets how long after an endpoint joined chats are sent back to where their prefix is, in microseconds; zero:
    /// never.
    pub fn with_join_window(self, micros: u64) -> Settings {
        Settings { moving: micros, ..self }
    }
}
