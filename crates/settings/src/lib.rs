//! Typed, checked TOML settings for each binary.
//!
//! Every value names its unit, unknown keys are errors, and secrets are paths of files, never values.

mod tls;

pub use crate::tls::TlsFiles;
