//! Typed and validated TOML settings for each binary.
//!
//! The key of each quantity names its unit, unknown keys are errors, and secrets are given as file paths, never as
//! values. An invalid file is rejected before the process starts anything, with a one-line error that names the file,
//! the key and the expected value.

mod control;
mod error;
mod file;
mod gateway;
mod intake;
mod listing;
mod load_tool;
mod log;
mod operator;
mod router;
mod tls;

pub use crate::{
    control::{ControlPeer, ControlSettings, WeightStoreLimits},
    error::SettingsError,
    file::{Validate, load, parse, require},
    gateway::{ColdSettings, GatewaySettings, Overload, RetrySettings},
    intake::IntakeSettings,
    listing::ListingSettings,
    load_tool::{LoadEngine, LoadPlainEndpoint, LoadRouter, LoadSettings, LoadTeam},
    log::{LogFormat, LogLevel, LogSettings},
    operator::OperatorSettings,
    router::{RequestLimits, RouterSettings, Routing},
    tls::{CertFiles, TlsFiles},
};
