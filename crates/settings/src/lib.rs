//! Typed, checked TOML settings for each binary.
//!
//! Every value names its unit, unknown keys are errors, and secrets are paths of files, never values. A file that
//! does not hold is refused with one line that names the file, the key and what was expected, before anything starts.

mod control;
mod error;
mod gateway;
mod listing;
mod load;
mod load_tool;
mod log;
mod operator;
mod router;
mod tls;

pub use crate::{
    control::{ControlPeer, ControlSettings, WeightStoreLimits},
    error::SettingsError,
    gateway::{GatewaySettings, RetrySettings},
    listing::ListingSettings,
    load::{Validate, load, parse, require},
    load_tool::{LoadEngine, LoadPlainEndpoint, LoadRouter, LoadSettings, LoadTeam},
    log::{LogFormat, LogLevel, LogSettings},
    operator::OperatorSettings,
    router::{RequestLimits, RouterSettings, Routing},
    tls::{CertFiles, TlsFiles},
};
