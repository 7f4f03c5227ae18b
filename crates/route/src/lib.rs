//! Routing configurations: which service a request goes to, which team it belongs to, and under which limits.
//!
//! A [`RoutingConfig`] is a complete configuration with a version assigned by its publisher. [`RoutingConfig::check`]
//! validates it, [`RoutingConfig::review`] tells operators more about it, [`PublishedConfig`] decides which version is in force, [`RouteDelta`] is the difference between two
//! versions, and [`RouteTable`] is the compiled form for looking up requests. This crate performs no I/O.

mod check;
mod compare;
mod config;
mod delta;
mod encoding;
mod frozen;
mod published;
mod regions;
mod review;
mod table;

pub use crate::{
    check::ConfigError,
    compare::Change,
    config::{
        CallerLimits, ColdStart, Engine, Regions, Route, RouteKind, RoutingConfig, Service, Team,
        WeightedService,
    },
    delta::{RouteDelta, VersionMismatch},
    encoding::{Decoded, EncodingError, FIELD_LEVEL},
    published::{PublishOutcome, PublishedConfig},
    regions::allowed_regions,
    review::{Doubt, Finding, Severity},
    table::{RouteMatch, RouteTable},
};
