//! The difference between two versions of a configuration.
//!
//! Routes are identified by host and prefix, teams by name.

use {
    crate::config::{CallerLimits, Route, RoutingConfig, Service, Team},
    derive_more::{Debug, Display, Error},
    model::Name,
    std::collections::{HashMap, HashSet},
};

/// The changes from one version of a configuration to another.
#[derive(Clone, PartialEq, Debug)]
pub struct RouteDelta {
    /// The version that the delta applies to.
    pub base: u64,
    /// The version that results from applying the delta.
    pub version: u64,
    /// Added and changed routes.
    pub(crate) routes: Vec<Route>,
    /// Host and prefix of each removed route.
    pub(crate) removed_routes: Vec<(Name, Name)>,
    /// All services, if any of them changed.
    pub(crate) services: Option<Vec<Service>>,
    pub(crate) limits: Option<CallerLimits>,
    /// Added and changed teams.
    pub(crate) teams: Vec<Team>,
    pub(crate) removed_teams: Vec<Name>,
}

/// A delta was applied to a configuration of another version than its base.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("delta applies to version {base}, but the configuration has version {actual}")]
pub struct VersionMismatch {
    /// The version that the delta applies to.
    pub base: u64,
    /// The version of the configuration.
    pub actual: u64,
}

impl RouteDelta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &RoutingConfig, new: &RoutingConfig) -> RouteDelta {
        let old_routes: HashMap<_, _> = old.routes.iter().map(|it| (route_key(it), it)).collect();
        let new_keys: HashSet<_> = new.routes.iter().map(route_key).collect();
        let old_teams: HashMap<_, _> = old.teams.iter().map(|it| (&it.name, it)).collect();
        let new_names: HashSet<_> = new.teams.iter().map(|it| &it.name).collect();
        let route_changed = |it: &&Route| old_routes.get(&route_key(it)) != Some(it);
        let team_changed = |it: &&Team| old_teams.get(&it.name) != Some(it);
        RouteDelta {
            base: old.version,
            version: new.version,
            routes: new.routes.iter().filter(route_changed).cloned().collect(),
            removed_routes: old_routes.into_keys().filter(|it| !new_keys.contains(it)).collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
            limits: (old.limits != new.limits).then_some(new.limits),
            teams: new.teams.iter().filter(team_changed).cloned().collect(),
            removed_teams: old_teams
                .keys()
                .filter(|it| !new_names.contains(*it))
                .map(|it| (*it).clone())
                .collect(),
        }
    }

    /// Applies the delta to `old` and returns the new configuration; the order of its routes and teams may differ from
    /// the configuration that the delta was computed from.
    ///
    /// # Errors
    ///
    /// The version of `old` is not the base of the delta.
    pub fn apply(&self, old: &RoutingConfig) -> Result<RoutingConfig, VersionMismatch> {
        if self.base != old.version {
            return Err(VersionMismatch { base: self.base, actual: old.version });
        }
        let replaced_routes: HashSet<_> =
            self.routes.iter().map(route_key).chain(self.removed_routes.clone()).collect();
        let routes = old.routes.iter().filter(|it| !replaced_routes.contains(&route_key(it)));
        let replaced_teams: HashSet<_> =
            self.teams.iter().map(|it| &it.name).chain(&self.removed_teams).collect();
        let teams = old.teams.iter().filter(|it| !replaced_teams.contains(&it.name));
        Ok(RoutingConfig {
            version: self.version,
            routes: routes.chain(&self.routes).cloned().collect(),
            services: self.services.as_ref().unwrap_or(&old.services).clone(),
            limits: self.limits.unwrap_or(old.limits),
            teams: teams.chain(&self.teams).cloned().collect(),
        })
    }
}

pub(crate) fn route_key(route: &Route) -> (Name, Name) {
    (route.host.clone(), route.prefix.clone())
}
