//! The load bound: how much may still start on one endpoint.
//!
//! With nobody missing the owner keeps `load + cost <= max(multiple x mean, mean + cost)`: it starts what stays inside
//! the multiple, and one request on an endpoint whose load is not above the mean. Without the second part a service
//! whose endpoints all run one request could never start a second one.

use {
    member::Permission,
    model::{ServiceId, Work},
};

/// The mean load of a service's endpoints, as last heard from control.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MeanLoad {
    /// The service.
    pub service: ServiceId,
    /// The sum over all its endpoints.
    pub sum: Work,
    /// How many endpoints the sum covers.
    pub count: u32,
    /// The bound as a multiple of the mean, in thousandths.
    pub bound_permille: u32,
}

impl MeanLoad {
    /// The multiple of the mean, rounded down.
    pub fn bound(&self) -> Work {
        let whole = u128::from(self.sum.0) * u128::from(self.bound_permille);
        Work((whole / (1000 * u128::from(self.count.max(1)))).min(u128::from(u64::MAX)) as u64)
    }

    /// Whether a load is at most the mean.
    pub fn is_at_least(&self, load: Work) -> bool {
        u128::from(load.0) * u128::from(self.count) <= u128::from(self.sum.0)
    }
}

/// How much may start on an endpoint now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Headroom {
    /// So much more work.
    pub work: Work,
    /// One request of any size, even beyond `work`.
    pub single_request: bool,
}

impl Headroom {
    /// No room.
    pub const NONE: Headroom = Headroom { work: Work::ZERO, single_request: false };

    /// Whether a request of this cost may start.
    pub fn fits(&self, cost: Work) -> bool {
        self.single_request || (cost <= self.work && self.work > Work::ZERO)
    }

    /// Works out the room under a right.
    ///
    /// `own` is what this router runs on the endpoint, `foreign` what others still run there.
    pub fn compute(right: &Permission, mean: &MeanLoad, own: Work, foreign: Work) -> Headroom {
        let bound = mean.bound();
        match right {
            Permission::None | Permission::Wait => Headroom::NONE,
            Permission::Full { reserved, allow_oversized, .. } => {
                let load = own + foreign;
                let inside = bound.saturating_sub(bound.scale_ceil(*reserved));
                let single_request = *allow_oversized && mean.is_at_least(load) && load <= inside;
                Headroom { work: inside.saturating_sub(load), single_request }
            }
            Permission::FixedShare { share, allow_oversized, .. } => {
                let share = bound.scale(*share);
                Headroom {
                    work: share.saturating_sub(own),
                    single_request: *allow_oversized && own <= share,
                }
            }
        }
    }
}
