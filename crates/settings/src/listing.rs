//! The polling of the list of endpoints.

use {
    crate::file::require,
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// The polling of the list of endpoints.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize, Debug)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct ListingSettings {
    /// Milliseconds between two reads of the list by one process; default 800.
    pub interval_ms: u64,
    /// Requests per second that the directory accepts from all processes together; default 20.
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
        require("listing.rate", self.rate > 0.0, "expected more than 0")
    }
}
