//! How often the list of endpoints is read.

use {
    crate::load::require,
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// How often the list of endpoints is read.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ListingSettings {
    /// Milliseconds between two listings of one reader; default 800.
    pub interval_ms: u64,
    /// Calls a second that the directory accepts from all readers together; default 20.
    pub rate: f64,
}

impl Default for ListingSettings {
    fn default() -> ListingSettings {
        ListingSettings { interval_ms: 800, rate: 20.0 }
    }
}

impl ListingSettings {
    pub(crate) fn validate(&self) -> Result<(), (&'static str, String)> {
        require("listing.interval-ms", self.interval_ms > 0, "expected at least 1")?;
        require("listing.rate", self.rate > 0.0, "expected more than zero")
    }
}
