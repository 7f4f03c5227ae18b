//! What routers tell each other about endpoints that they cannot use.
//!
//! The list of endpoints lags by seconds. Without these reports each router of a fleet finds out by
//! itself, with requests of its own, that an endpoint crashed or was replaced.

use {
    derive_more::{Debug, Display},
    model::{MILLISECOND, SECOND, Time},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// How long a report of another router counts, in microseconds.
const REPORT_TTL: u64 = SECOND;

/// The number of failure domains from which routers must report that an endpoint is unreachable.
/// All routers of one domain may be cut off from endpoints that others reach.
const MIN_DOMAINS: usize = 2;

/// The maximum number of reports kept for an endpoint.
const MAX_REPORTS: usize = 4;

/// How long an endpoint is avoided that others cannot reach, in microseconds. A recovered one is
/// found within this time.
const UNREACHABLE_TIME: u64 = 500 * MILLISECOND;

/// How long an endpoint is avoided whose address belongs to another one, in microseconds. The list
/// shows it by then.
pub(crate) const REPLACED_TIME: u64 = 4 * SECOND;

/// Why an endpoint cannot be used.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug, Display)]
pub enum Outage {
    /// Another endpoint answered at its address.
    #[display("replaced")]
    Replaced,
    /// No connection could be established.
    #[display("unreachable")]
    Unreachable,
}

/// A report of a router about an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Debug)]
pub struct OutageReport {
    /// Identifies the run of the endpoint.
    pub incarnation: u64,
    /// Why the endpoint cannot be used.
    pub outage: Outage,
}

/// The reports of other routers about one endpoint.
#[derive(Default, Debug)]
pub(crate) struct PeerReports {
    /// The failure domains from which the endpoint was last reported as unreachable, as hashes.
    unreachable: SmallVec<[(u64, Time); MAX_REPORTS]>,
    avoid_until: Time,
}

impl PeerReports {
    /// Returns whether requests should prefer other endpoints.
    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Forgets all reports, as the endpoint responded to this router.
    pub(crate) fn clear(&mut self) {
        *self = PeerReports::default();
    }

    /// Records a report of a router in the failure domain with this hash. Returns whether the
    /// endpoint is avoided from now on.
    pub(crate) fn record(&mut self, now: Time, domain: u64, outage: Outage) -> bool {
        let was_avoided = self.is_avoided(now);
        match outage {
            Outage::Replaced => self.avoid_until = self.avoid_until.max(now + REPLACED_TIME),
            Outage::Unreachable => {
                self.unreachable.retain(|it| it.0 != domain && now.since(it.1) < REPORT_TTL);
                if self.unreachable.len() < MAX_REPORTS {
                    self.unreachable.push((domain, now));
                }
                if self.unreachable.len() >= MIN_DOMAINS {
                    self.avoid_until = self.avoid_until.max(now + UNREACHABLE_TIME);
                }
            }
        }
        !was_avoided && self.is_avoided(now)
    }
}
