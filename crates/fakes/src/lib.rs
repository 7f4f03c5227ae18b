//! Small fakes that the property tests of all areas share: an unreliable network, drifting clocks, and a
//! disk that forgets what was not synced.
//!
//! They hold no randomness: a property test draws the choices (which message is next, whether it is lost or doubled)
//! so that `proptest` can shrink them.

mod clock;
mod disk;
mod net;

pub use crate::{
    clock::DriftingClock,
    disk::{Disk, OpenFile},
    net::{Envelope, Network},
};
