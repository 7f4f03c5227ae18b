//! Small fakes that the property tests of all areas share: an unreliable network and drifting clocks.
//!
//! They hold no randomness: a property test draws the choices (which message is next, whether it is lost or doubled)
//! so that `proptest` can shrink them.

mod clock;
mod net;

pub use crate::{
    clock::DriftClock,
    net::{Envelope, Net},
};
