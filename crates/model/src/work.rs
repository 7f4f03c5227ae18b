//! The unit of load.

use {
    derive_more::{Add, AddAssign, Debug, Display, From, Sum},
    serde::{Deserialize, Serialize},
};

/// An amount of work in the unit that the endpoints of a service report: tokens still to compute
/// for a model engine, running calls for a plain service.
#[derive(
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Debug,
    Display,
    From,
    Add,
    AddAssign,
    Sum,
)]
#[debug("{_0}w")]
#[display("{_0}")]
pub struct Work(pub u64);

impl Work {
    /// Zero work.
    pub const ZERO: Work = Work(0);

    /// Subtracts `other`, saturating at zero.
    pub fn saturating_sub(self, other: Work) -> Work {
        Work(self.0.saturating_sub(other.0))
    }

    /// Returns this work times `permille` / 1000, rounded down.
    pub fn scale(self, permille: u32) -> Work {
        Work((u128::from(self.0) * u128::from(permille) / 1000).min(u128::from(u64::MAX)) as u64)
    }

    /// Returns this work times `permille` / 1000, rounded up.
    pub fn scale_ceil(self, permille: u32) -> Work {
        let product = u128::from(self.0) * u128::from(permille);
        Work(product.div_ceil(1000).min(u128::from(u64::MAX)) as u64)
    }
}
