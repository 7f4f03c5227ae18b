//! What an owner's table may be set to.

use model::SECOND;

/// What an owner may be set to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Settings {
    /// The size of an endpoint's prompt cache, in tokens.
    pub(crate) cache_tokens: u64,
    /// How far a load report may lag behind, in microseconds.
    pub(crate) report_lag_us: u64,
    /// The most chats that are remembered to be away from home.
    pub(crate) max_displaced: usize,
    /// How long a chat is remembered to be away from home, in microseconds.
    pub(crate) displaced_ttl_us: u64,
    /// How long after an endpoint joined chats are sent back to where their prefix is, in microseconds.
    pub(crate) join_window_us: u64,
    /// Fewer prompt tokens than this are recomputed rather than sought elsewhere.
    pub(crate) min_prefix_tokens: u32,
    /// How long a request waits for each cached token of its prompt before it spills, in microseconds.
    pub(crate) wait_us_per_token: u64,
    /// The longest that a request waits before it spills, in microseconds.
    pub(crate) max_wait_us: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            cache_tokens: 400_000,
            report_lag_us: SECOND,
            max_displaced: 100_000,
            displaced_ttl_us: 600 * SECOND,
            join_window_us: 600 * SECOND,
            min_prefix_tokens: 512,
            wait_us_per_token: 500,
            max_wait_us: 2 * SECOND,
        }
    }
}

impl Settings {
    /// Sets the size of an endpoint's prompt cache, in tokens.
    pub fn with_cache_tokens(self, tokens: u64) -> Settings {
        Settings { cache_tokens: tokens, ..self }
    }

    /// Sets how far a load report may lag behind, in microseconds; at most a minute.
    pub fn with_report_lag(self, micros: u64) -> Settings {
        Settings { report_lag_us: micros.min(60 * SECOND), ..self }
    }

    /// Sets the most chats that are remembered to be away from home, and for how long, in microseconds.
    pub fn with_displaced(self, most: usize, displaced_ttl_us: u64) -> Settings {
        Settings { max_displaced: most, displaced_ttl_us, ..self }
    }

    /// Sets how long a request waits before it spills: so many microseconds for each cached token of its prompt, and at
    /// most so many; zero: it spills at once.
    pub fn with_prefix_wait(self, token: u64, max_wait_us: u64) -> Settings {
        Settings { wait_us_per_token: token, max_wait_us, ..self }
    }

    /// Sets below how many prompt tokens a prefix is computed again rather than sought or waited for.
    pub fn with_min_prefix(self, tokens: u32) -> Settings {
        Settings { min_prefix_tokens: tokens, ..self }
    }

    /// Sets how long after an endpoint joined chats are sent back to where their prefix is, in microseconds; zero:
    /// never.
    pub fn with_join_window(self, micros: u64) -> Settings {
        Settings { join_window_us: micros, ..self }
    }
}
