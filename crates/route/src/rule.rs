//! The rules that a configuration must keep.

use {
    crate::layout::{Route, RoutingConfig},
    derive_more::{Debug, Display, Error},
    model::Name,
    std::collections::HashSet,
};

/// The rule that a configuration breaks.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum ConfigError {
    /// A route names a service that does not exist.
    #[display("route {route} names unknown service {service}")]
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// Two routes share a host and a prefix.
    #[display("route {route} has the host and prefix of another route")]
    SamePlace {
        /// The later one.
        route: Name,
    },
    /// No service would get a route's requests.
    #[display("the weights of route {route} add up to zero")]
    NoWeight {
        /// The route.
        route: Name,
    },
    /// A route leaves its requests no time.
    #[display("the timeout of route {route} is zero")]
    NoTimeout {
        /// The route.
        route: Name,
    },
    /// A prefix does not begin and end with a slash.
    #[display("the prefix of route {route} does not begin and end with a slash")]
    Prefix {
        /// The route.
        route: Name,
    },
    /// Two services share a name.
    #[display("service {service} is there twice")]
    SameService {
        /// The name.
        service: Name,
    },
    /// Two teams share a key, or a name.
    #[display("team {team} shares its name or a key with another team")]
    SharedKey {
        /// The later one.
        team: Name,
    },
}

impl RoutingConfig {
    /// Checks every rule.
    ///
    /// # Errors
    ///
    /// The first rule that is broken.
    pub fn check(&self) -> Result<(), ConfigError> {
        let mut services = HashSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                return Err(ConfigError::SameService { service: service.name.clone() });
            }
        }
        let mut places = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((&route.host, &route.prefix)) {
                return Err(ConfigError::SamePlace { route: route.name.clone() });
            }
        }
        self.check_teams()
    }

    fn check_teams(&self) -> Result<(), ConfigError> {
        let (mut names, mut keys) = (HashSet::new(), HashSet::new());
        for team in &self.teams {
            // A team may list one of its keys twice.
            let own: HashSet<_> = team.keys.iter().collect();
            let shared = own.into_iter().any(|it| !keys.insert(it));
            if shared || !names.insert(&team.name) {
                return Err(ConfigError::SharedKey { team: team.name.clone() });
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, services: &HashSet<&Name>) -> Result<(), ConfigError> {
    let name = || route.name.clone();
    if let Some(share) = route.split.iter().find(|it| !services.contains(&it.service)) {
        return Err(ConfigError::UnknownService { route: name(), service: share.service.clone() });
    }
    if route.split.iter().all(|it| it.weight == 0) {
        return Err(ConfigError::NoWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        return Err(ConfigError::NoTimeout { route: name() });
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(ConfigError::Prefix { route: name() });
    }
    Ok(())
}
