//! Lookup of routes, services and teams in a compiled configuration.

use {
    crate::config::{Route, RoutingConfig, Service, Team},
    derive_more::Debug,
    model::{Digest, Name},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

/// The route and the service of a request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The matching route.
    pub route: Arc<Route>,
    /// The service that this request goes to.
    pub service: Arc<Service>,
}

/// A routing configuration, compiled for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: Arc<RoutingConfig>,
    /// The routes of each host, longest prefix first.
    routes_by_host: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Arc<Service>>,
    /// Index of the team of each key in the configuration.
    team_by_key: HashMap<Digest, usize>,
}

impl RouteTable {
    /// Compiles a configuration. An invalid one is compiled too: requests for which a service is missing find no route.
    pub fn new(config: Arc<RoutingConfig>) -> RouteTable {
        let mut routes_by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            routes_by_host.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        routes_by_host
            .values_mut()
            .for_each(|it| it.sort_by_key(|it| std::cmp::Reverse(it.prefix.len())));
        let services = config.services.iter().map(|it| (it.name.clone(), Arc::new(it.clone())));
        let services = services.collect();
        let teams = config.teams.iter().enumerate();
        let team_by_key =
            teams.flat_map(|(index, it)| it.keys.iter().map(move |key| (*key, index))).collect();
        RouteTable { config, routes_by_host, services, team_by_key }
    }

    /// The configuration that the table was compiled from.
    pub fn config(&self) -> &Arc<RoutingConfig> {
        &self.config
    }

    /// Returns the route with the longest matching prefix for a host and path, and a service picked by weight with
    /// `draw`, which must be uniformly distributed over all values of `u64`.
    pub fn find(&self, host: &str, path: &str, draw: u64) -> Option<RouteMatch> {
        let routes = match self.routes_by_host.get(host) {
            Some(it) => it,
            None => self.routes_by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let route = routes.iter().find(|it| path.starts_with(&*it.prefix))?;
        let service = self.services.get(pick_service(route, draw)?)?;
        Some(RouteMatch { route: route.clone(), service: service.clone() })
    }

    /// Returns the routes, by host and prefix, some of whose requests went to other services by the
    /// table `before`.
    pub fn moved_routes(&self, before: &RouteTable) -> Vec<(Name, Name)> {
        let (old_routes, new_routes) = (Prefixes::new(&before.config), Prefixes::new(&self.config));
        let changed = self.config.routes.iter().filter(|it| {
            old_routes.find_covering(it).is_some_and(|old| !has_same_services(old, it))
        });
        // The requests of a route that is gone may go to one with a shorter prefix.
        let inherited = before.config.routes.iter().filter_map(|old| {
            let covering = new_routes.find_covering(old)?;
            (!has_same_services(old, covering)).then_some(covering)
        });
        let moved = changed.chain(inherited).map(|it| (it.host.clone(), it.prefix.clone()));
        let mut moved: Vec<_> = moved.collect();
        moved.sort_unstable();
        moved.dedup();
        moved
    }

    /// Whether requests need a key, unless their route is open.
    pub fn requires_keys(&self) -> bool {
        !self.config.teams.is_empty()
    }

    /// Returns the team that a key belongs to.
    pub fn team_by_key(&self, key: &[u8]) -> Option<&Team> {
        let index = self.team_by_key.get(&Digest::of(key))?;
        self.config.teams.get(*index)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// The routes of a configuration by host and prefix. There may be very many, and very long prefixes.
struct Prefixes<'a> {
    routes: HashMap<(&'a str, &'a str), &'a Route>,
    /// The lengths of the prefixes.
    lengths: BTreeSet<usize>,
}

impl<'a> Prefixes<'a> {
    fn new(config: &'a RoutingConfig) -> Prefixes<'a> {
        let routes = config.routes.iter().map(|it| ((&*it.host, &*it.prefix), it)).collect();
        let lengths = config.routes.iter().map(|it| it.prefix.len()).collect();
        Prefixes { routes, lengths }
    }

    /// Returns the route that the requests below the prefix of `route` go to.
    fn find_covering(&self, route: &Route) -> Option<&'a Route> {
        let lengths = self.lengths.range(..=route.prefix.len()).rev();
        let prefixes = lengths.filter_map(|it| route.prefix.get(..*it));
        prefixes.filter_map(|it| self.routes.get(&(&*route.host, it)).copied()).next()
    }
}

fn has_same_services(a: &Route, b: &Route) -> bool {
    let has_all = |a: &Route, b: &Route| {
        a.split.iter().all(|it| b.split.iter().any(|other| other.service == it.service))
    };
    has_all(a, b) && has_all(b, a)
}

fn pick_service(route: &Route, draw: u64) -> Option<&Name> {
    let total: u64 = route.split.iter().map(|it| u64::from(it.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = draw % total;
    for share in &route.split {
        if remaining < u64::from(share.weight) {
            return Some(&share.service);
        }
        remaining -= u64::from(share.weight);
    }
    None
}
