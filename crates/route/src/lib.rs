//! Routing configurations: which request goes to which service, on whose behalf, and under which limits.
//!
//! A [`Layout`] is one whole configuration at the version that its sender chose. [`Layout::check`] states the rules
//! that make one valid, [`Published`] decides which of several is in force, [`RouteDelta`] is the step between two of
//! them, and [`Table`] answers the questions of the request path. Nothing here performs I/O.

mod delta;
mod layout;
mod published;
mod rule;
mod table;

pub use crate::{
    delta::{Misfit, RouteDelta},
    layout::{CallerLimits, Engine, Kind, Layout, Route, Service, Share, Team},
    published::{Published, Verdict},
    rule::Broken,
    table::{Found, Table},
};
