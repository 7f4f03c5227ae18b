//! Typed, checked TOML settings for each binary.
//!
//! Every value names its unit, unknown keys are errors, and secrets are paths of files, never values.

mod control;
mod tls;

pub use crate::{
    control::{ControlPeer, ControlSettings, WeightLimits},
    tls::TlsFiles,
};
