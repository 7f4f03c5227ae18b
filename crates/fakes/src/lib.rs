//! Fakes shared by the property tests of all crates: an unreliable network, drifting clocks, and a
//! disk that loses unsynced data in a crash.
//!
//! The fakes are deterministic. A property test draws the choices, such as which message is
//! delivered next and whether it is dropped or duplicated, so that `proptest` can shrink them.

mod clock;
mod disk;
mod net;

pub use crate::{
    clock::DriftingClock,
    disk::{Disk, OpenFile},
    net::{Envelope, Network},
};
