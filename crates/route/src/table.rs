//! The questions of the request path, answered by a compiled configuration.

use {
    crate::layout::{Route, RoutingConfig, Service, Team},
    derive_more::Debug,
    model::{Digest, Name},
    std::{collections::HashMap, sync::Arc},
};

/// A route that was found, and what is known of its service.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route.
    pub route: Arc<Route>,
    /// The service that this request goes to.
    pub service: Arc<Service>,
}

/// A configuration, compiled for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    layout: Arc<RoutingConfig>,
    /// The routes of each host, longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Arc<Service>>,
    keys: HashMap<Digest, usize>,
}

impl RouteTable {
    /// Compiles a configuration; one that breaks a rule is compiled as far as it goes.
    pub fn new(layout: Arc<RoutingConfig>) -> RouteTable {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &layout.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        hosts.values_mut().for_each(|it| it.sort_by_key(|it| std::cmp::Reverse(it.prefix.len())));
        let services = layout.services.iter().map(|it| (it.name.clone(), Arc::new(it.clone())));
        let services = services.collect();
        let numbered = layout.teams.iter().enumerate();
        let keys =
            numbered.flat_map(|(at, it)| it.keys.iter().map(move |key| (*key, at))).collect();
        RouteTable { layout, hosts, services, keys }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.layout
    }

    /// Returns the route with the longest prefix for a host and path, and the service that `draw` chooses by weight;
    /// `draw` is spread over all values.
    pub fn find(&self, host: &str, path: &str, draw: u64) -> Option<RouteMatch> {
        let routes = match self.hosts.get(host) {
            Some(it) => it,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        let route = routes.iter().find(|it| path.starts_with(&*it.prefix))?;
        let service = self.services.get(choose(route, draw)?)?;
        Some(RouteMatch { route: route.clone(), service: service.clone() })
    }

    /// Whether requests need a key at all.
    pub fn requires_keys(&self) -> bool {
        !self.layout.teams.is_empty()
    }

    /// Returns the team that holds a key.
    pub fn team_by_key(&self, key: &[u8]) -> Option<&Team> {
        let at = self.keys.get(&Digest::of(key))?;
        self.layout.teams.get(*at)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

fn choose(route: &Route, draw: u64) -> Option<&Name> {
    let total: u64 = route.split.iter().map(|it| u64::from(it.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut left = draw % total;
    for share in &route.split {
        if left < u64::from(share.weight) {
            return Some(&share.service);
        }
        left -= u64::from(share.weight);
    }
    None
}
