//! The load bound, which limits how much work may still start on one endpoint.
//!
//! While no router is missing, the owner keeps `load + cost <= max(multiple x mean, mean + cost)`:
//! it starts requests that stay within the multiple of the mean, plus one request on an endpoint
//! whose load is at most the mean. Without the second rule, a service whose endpoints all run one
//! request could never start a second one.

use {
    member::Permission,
    model::{ServiceId, Work},
};

/// The mean load of a service's endpoints, as control last reported it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MeanLoad {
    /// The service.
    pub service: ServiceId,
    /// The total load of all its endpoints.
    pub sum: Work,
    /// The number of endpoints that `sum` covers.
    pub count: u32,
    /// The bound as a multiple of the mean, in thousandths.
    pub bound_permille: u32,
}

impl MeanLoad {
    /// Returns the largest load that the multiple of the mean allows, rounded down.
    pub fn bound(&self) -> Work {
        let whole = u128::from(self.sum.0) * u128::from(self.bound_permille);
        Work((whole / (1000 * u128::from(self.count.max(1)))).min(u128::from(u64::MAX)) as u64)
    }

    /// Returns whether the mean is at least `load`.
    pub fn is_at_least(&self, load: Work) -> bool {
        u128::from(load.0) * u128::from(self.count) <= u128::from(self.sum.0)
    }
}

/// How much work may still start on an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Headroom {
    /// The amount of work that may start.
    pub work: Work,
    /// Whether one request of any size may start, even if it exceeds `work`.
    pub single_request: bool,
}

impl Headroom {
    /// Nothing may start.
    pub const NONE: Headroom = Headroom { work: Work::ZERO, single_request: false };

    /// Returns whether a request of this cost may start.
    pub fn fits(&self, cost: Work) -> bool {
        self.single_request || (cost <= self.work && self.work > Work::ZERO)
    }

    /// Computes the headroom that a permission grants.
    ///
    /// `own_work` is what this router runs on the endpoint, and `other_work` is what other routers
    /// still run there.
    pub fn compute(
        permission: &Permission,
        mean: &MeanLoad,
        own_work: Work,
        other_work: Work,
    ) -> Headroom {
        let bound = mean.bound();
        match permission {
            Permission::None | Permission::Wait => Headroom::NONE,
            Permission::Full { reserved, allow_oversized, .. } => {
                let load = own_work + other_work;
                let usable = bound.saturating_sub(bound.scale_ceil(*reserved));
                let single_request = *allow_oversized && mean.is_at_least(load) && load <= usable;
                Headroom { work: usable.saturating_sub(load), single_request }
            }
            Permission::FixedShare { share, allow_oversized, .. } => {
                let share = bound.scale(*share);
                Headroom {
                    work: share.saturating_sub(own_work),
                    single_request: *allow_oversized && own_work <= share,
                }
            }
        }
    }
}
