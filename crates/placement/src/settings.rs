//! Settings of an [`EndpointTable`](crate::EndpointTable).

use model::SECOND;

/// The settings of an endpoint table.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Settings {
    /// The size of an endpoint's prompt cache, in tokens.
    pub(crate) cache_tokens: u64,
    /// The maximum delay of a load report, in microseconds.
    pub(crate) report_lag_us: u64,
    /// The maximum number of displaced chats to track.
    pub(crate) max_displaced: usize,
    /// How long a displaced chat is tracked, in microseconds.
    pub(crate) displaced_ttl_us: u64,
    /// How long after an endpoint joins its chats are redirected to the endpoint that has their
    /// prefix, in microseconds.
    pub(crate) join_window_us: u64,
    /// Prefixes with fewer tokens are recomputed rather than looked for on another endpoint.
    pub(crate) min_prefix_tokens: u32,
    /// How long a request waits per cached prompt token before it spills, in microseconds.
    pub(crate) wait_us_per_token: u64,
    /// The longest time that a request waits before it spills, in microseconds.
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

    /// Sets the maximum delay of a load report, in microseconds. It is limited to one minute.
    pub fn with_report_lag(self, micros: u64) -> Settings {
        Settings { report_lag_us: micros.min(60 * SECOND), ..self }
    }

    /// Sets how many displaced chats are tracked and for how long, in microseconds.
    pub fn with_displaced(self, most: usize, displaced_ttl_us: u64) -> Settings {
        Settings { max_displaced: most, displaced_ttl_us, ..self }
    }

    /// Sets how long a request waits before it spills: microseconds per cached prompt token, and
    /// the maximum in microseconds. With zero, it spills at once.
    pub fn with_prefix_wait(self, token: u64, max_wait_us: u64) -> Settings {
        Settings { wait_us_per_token: token, max_wait_us, ..self }
    }

    /// Sets the number of prompt tokens below which a prefix is recomputed rather than looked for
    /// or waited for.
    pub fn with_min_prefix(self, tokens: u32) -> Settings {
        Settings { min_prefix_tokens: tokens, ..self }
    }

    /// Sets how long after an endpoint joins its chats are redirected to the endpoint that has
    /// their prefix, in microseconds. Zero disables this.
    pub fn with_join_window(self, micros: u64) -> Settings {
        Settings { join_window_us: micros, ..self }
    }
}
