//! Validation of routing configurations.

use {
    crate::config::{Regions, Route, RoutingConfig},
    derive_more::{Debug, Display, Error},
    model::Name,
    std::collections::HashSet,
};

/// Reason why a configuration is invalid.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// A route refers to a service that does not exist.
    #[display("route {route} refers to unknown service {service}")]
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// Two routes have the same host and prefix.
    #[display("route {route} has the same host and prefix as another route")]
    DuplicatePrefix {
        /// The later route.
        route: Name,
    },
    /// All services of a route have weight zero, so none would receive its requests.
    #[display("the weights of the services of route {route} add up to zero")]
    ZeroWeight {
        /// The route.
        route: Name,
    },
    /// The timeout of a route is zero.
    #[display("the timeout of route {route} is zero")]
    ZeroTimeout {
        /// The route.
        route: Name,
    },
    /// The prefix of a route does not start and end with a slash.
    #[display("the prefix of route {route} does not start and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: Name,
    },
    /// Two services have the same name.
    #[display("service {service} is defined twice")]
    DuplicateService {
        /// The service.
        service: Name,
    },
    /// Two teams have the same name or a key in common.
    #[display("team {team} has the same name as another team or a key in common with one")]
    DuplicateTeam {
        /// The later team.
        team: Name,
    },
    /// A route or a team lists a region without a name.
    #[display("{entry} lists a region without a name")]
    EmptyRegion {
        /// The route or the team.
        entry: Name,
    },
    /// A value of a service's cold start is negative or not finite.
    #[display("the cold start of service {service} is negative or not finite")]
    InvalidColdStart {
        /// The service.
        service: Name,
    },
}

impl RoutingConfig {
    /// Validates the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns all reasons why the configuration is invalid.
    pub fn errors(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let mut services = HashSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                errors.push(ConfigError::DuplicateService { service: service.name.clone() });
            }
            let mut cold = service.cold.iter().flat_map(|it| [it.start_ms, it.rate]);
            if cold.any(|it| !it.is_finite() || it < 0.0) {
                errors.push(ConfigError::InvalidColdStart { service: service.name.clone() });
            }
        }
        let mut prefixes = HashSet::new();
        for route in &self.routes {
            errors.extend(route_errors(route, &services));
            if !prefixes.insert((&route.host, &route.prefix)) {
                errors.push(ConfigError::DuplicatePrefix { route: route.name.clone() });
            }
        }
        errors.extend(self.team_errors());
        errors
    }

    fn team_errors(&self) -> Vec<ConfigError> {
        let (mut names, mut keys) = (HashSet::new(), HashSet::new());
        let mut errors = Vec::new();
        for team in &self.teams {
            // A team may list the same key twice.
            let distinct: HashSet<_> = team.keys.iter().collect();
            let taken_keys = distinct.into_iter().filter(|it| !keys.insert(*it)).count();
            let is_new = names.insert(&team.name);
            if taken_keys > 0 || !is_new {
                errors.push(ConfigError::DuplicateTeam { team: team.name.clone() });
            }
            errors.extend(region_error("team", &team.name, &team.regions));
        }
        errors
    }
}

fn route_errors(route: &Route, services: &HashSet<&Name>) -> Vec<ConfigError> {
    let name = || route.name.clone();
    let unknown = route.split.iter().filter(|it| !services.contains(&it.service));
    let unknown = unknown
        .map(|it| ConfigError::UnknownService { route: name(), service: it.service.clone() });
    let mut errors: Vec<_> = unknown.collect();
    if route.split.iter().all(|it| it.weight == 0) {
        errors.push(ConfigError::ZeroWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        errors.push(ConfigError::ZeroTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        errors.push(ConfigError::InvalidPrefix { route: name() });
    }
    errors.extend(region_error("route", &route.name, &route.regions));
    errors
}

fn region_error(kind: &str, name: &Name, regions: &Regions) -> Option<ConfigError> {
    let is_empty = regions.iter().any(|it| it.is_empty());
    is_empty.then(|| ConfigError::EmptyRegion { entry: format!("{kind} {name}").into() })
}
