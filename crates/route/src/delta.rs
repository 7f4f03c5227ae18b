//! The step from one configuration to a later one.
//!
//! A route is known by its host and prefix, a team by its name.

use {
    crate::layout::{CallerLimits, Route, RoutingConfig, Service, Team},
    derive_more::{Debug, Display, Error},
    model::Name,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// What changes from one version to another.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, Debug)]
pub struct RouteDelta {
    /// The version that it starts from.
    pub base: u64,
    /// The version that it leads to.
    pub version: u64,
    routes: Vec<Route>,
    gone: Vec<(Name, Name)>,
    services: Option<Vec<Service>>,
    limits: Option<CallerLimits>,
    teams: Vec<Team>,
    disbanded: Vec<Name>,
}

/// A delta starts from another version than the one held.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
#[display("delta starts from version {base}, but version {held} is held")]
pub struct VersionMismatch {
    /// Where the delta starts.
    pub base: u64,
    /// What is held.
    pub held: u64,
}

impl RouteDelta {
    /// Returns the step from `old` to `new`.
    pub fn between(old: &RoutingConfig, new: &RoutingConfig) -> RouteDelta {
        let places: HashMap<_, _> = old.routes.iter().map(|it| (place(it), it)).collect();
        let kept: HashSet<_> = new.routes.iter().map(place).collect();
        let teams: HashMap<_, _> = old.teams.iter().map(|it| (&it.name, it)).collect();
        let named: HashSet<_> = new.teams.iter().map(|it| &it.name).collect();
        let changed = |it: &&Route| places.get(&place(it)) != Some(it);
        let altered = |it: &&Team| teams.get(&it.name) != Some(it);
        RouteDelta {
            base: old.version,
            version: new.version,
            routes: new.routes.iter().filter(changed).cloned().collect(),
            gone: places.into_keys().filter(|it| !kept.contains(it)).collect(),
            services: (old.services != new.services).then(|| new.services.clone()),
            limits: (old.limits != new.limits).then_some(new.limits),
            teams: new.teams.iter().filter(altered).cloned().collect(),
            disbanded: teams
                .keys()
                .filter(|it| !named.contains(*it))
                .map(|it| (*it).clone())
                .collect(),
        }
    }

    /// Returns the configuration that this step leads to from `old`; the order of its routes and teams may differ.
    ///
    /// # Errors
    ///
    /// `old` is not the version that the step starts from.
    pub fn apply(&self, old: &RoutingConfig) -> Result<RoutingConfig, VersionMismatch> {
        if self.base != old.version {
            return Err(VersionMismatch { base: self.base, held: old.version });
        }
        let replaced: HashSet<_> = self.routes.iter().map(place).chain(self.gone.clone()).collect();
        let routes = old.routes.iter().filter(|it| !replaced.contains(&place(it)));
        let renamed: HashSet<_> =
            self.teams.iter().map(|it| &it.name).chain(&self.disbanded).collect();
        let teams = old.teams.iter().filter(|it| !renamed.contains(&it.name));
        Ok(RoutingConfig {
            version: self.version,
            routes: routes.chain(&self.routes).cloned().collect(),
            services: self.services.as_ref().unwrap_or(&old.services).clone(),
            limits: self.limits.unwrap_or(old.limits),
            teams: teams.chain(&self.teams).cloned().collect(),
        })
    }
}

fn place(route: &Route) -> (Name, Name) {
    (route.host.clone(), route.prefix.clone())
}
