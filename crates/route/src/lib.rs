//! Routing configurations: which request goes to which service, on whose behalf, and under which limits.
//!
//! A [`RoutingConfig`] is one whole configuration at the version that its sender chose. [`RoutingConfig::check`] states the rules
//! that make one valid, [`PublishedConfig`] decides which of several is in force, [`RouteDelta`] is the step between two of
//! them, and [`RouteTable`] answers the questions of the request path. Nothing here performs I/O.

mod delta;
mod layout;
mod published;
mod rule;
mod table;

pub use crate::{
    delta::{RouteDelta, VersionMismatch},
    layout::{
        CallerLimits, Engine, Route, RouteKind, RoutingConfig, Service, Team, WeightedService,
    },
    published::{PublishOutcome, PublishedConfig},
    rule::ConfigError,
    table::{RouteMatch, RouteTable},
};
