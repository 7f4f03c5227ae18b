//! What an operator should know of a configuration before it is published.

use {
    crate::{
        check::ConfigError,
        compare::Change,
        config::{CallerLimits, Engine, Route, RouteKind, RoutingConfig, Service},
        regions::allowed_regions,
    },
    derive_more::{Debug, Display, Error, From},
    model::Name,
    std::collections::HashSet,
};

/// How serious a finding is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Display)]
pub enum Severity {
    /// For information, such as a difference from the configuration in force.
    #[display("note")]
    Note,
    /// The configuration would be published, but a part of it has no effect or contradicts another.
    #[display("warning")]
    Warning,
    /// The configuration would be refused, or would change nothing.
    #[display("error")]
    Error,
}

/// Something that an operator should know of a configuration.
#[derive(Clone, PartialEq, Debug, Display, From)]
pub enum Finding {
    /// The configuration is invalid.
    Invalid(ConfigError),
    /// A version that is not higher than the one in force is acknowledged and changes nothing.
    #[display(
        "version {version} is not higher than version {in_force} in force, so publishing it changes nothing"
    )]
    #[from(skip)]
    NotNewer {
        /// The version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// An entry has no effect, or contradicts another.
    Doubtful(Doubt),
    /// A difference from the configuration in force.
    Changed(Change),
}

/// An entry of a valid configuration that has no effect, or that contradicts another.
#[derive(Clone, PartialEq, Eq, Debug, Display, Error)]
pub enum Doubt {
    /// Hosts are looked up in lower case and without a port.
    #[display(
        "route {route} matches no request: its host {host:?} is not in lower case or has a port"
    )]
    UnmatchedHost {
        /// The route.
        route: Name,
        /// Its host.
        host: Name,
    },
    /// No path of a request contains such a character.
    #[display("route {route} matches no request: no path begins with {prefix:?}")]
    UnmatchedPrefix {
        /// The route.
        route: Name,
        /// Its prefix.
        prefix: Name,
    },
    /// Without the route, its requests would go the same way by a route with a shorter prefix.
    #[display(
        "route {route} has no effect: route {covering} covers its prefix and is the same otherwise"
    )]
    CoveredRoute {
        /// The route.
        route: Name,
        /// The route with the shorter prefix.
        covering: Name,
    },
    /// No route sends requests to the service.
    #[display("service {service} gets no request: no route has it with a weight")]
    UnroutedService {
        /// The service.
        service: Name,
    },
    /// No request can belong to the team.
    #[display("team {team} has no keys, so no request belongs to it")]
    TeamWithoutKeys {
        /// The team.
        team: Name,
    },
    /// The regions of the route and of a team exclude each other.
    #[display(
        "route {route} and team {team} allow no region in common, so all such requests are refused"
    )]
    DisjointRegions {
        /// The route.
        route: Name,
        /// The team.
        team: Name,
    },
    /// Two limits of an entry contradict each other, or one has no effect.
    #[display("{entry}: {reason}")]
    Limits {
        /// The kind and the name of the entry.
        entry: Name,
        /// The contradiction.
        reason: &'static str,
    },
}

impl Finding {
    /// Returns how serious the finding is.
    pub fn severity(&self) -> Severity {
        match self {
            Finding::Invalid(_) | Finding::NotNewer { .. } => Severity::Error,
            Finding::Doubtful(_) => Severity::Warning,
            Finding::Changed(_) => Severity::Note,
        }
    }
}

impl RoutingConfig {
    /// Returns all findings about this configuration, and about its differences from the one in force if that is given.
    pub fn review(&self, in_force: Option<&RoutingConfig>) -> Vec<Finding> {
        let mut findings: Vec<Finding> = self.errors().into_iter().map(Finding::from).collect();
        if let Some(it) = in_force.filter(|it| it.version >= self.version) {
            findings.push(Finding::NotNewer { version: self.version, in_force: it.version });
        }
        let routes = self.routes.iter().flat_map(|it| self.route_doubts(it));
        findings.extend(routes.map(Finding::from));
        findings.extend(self.service_doubts().map(Finding::from));
        let teams = self.teams.iter().filter(|it| it.keys.is_empty());
        findings.extend(teams.map(|it| Doubt::TeamWithoutKeys { team: it.name.clone() }.into()));
        findings.extend(caller_doubts(&self.limits).map(Finding::from));
        findings.extend(in_force.into_iter().flat_map(|it| it.changes_to(self)).map(Finding::from));
        findings
    }

    fn route_doubts(&self, route: &Route) -> Vec<Doubt> {
        let name = || route.name.clone();
        let mut doubts = Vec::new();
        if route.host.contains(':') || *route.host != *route.host.to_ascii_lowercase() {
            doubts.push(Doubt::UnmatchedHost { route: name(), host: route.host.clone() });
        }
        let is_in_path = |it: char| it.is_ascii_graphic() && !matches!(it, '?' | '#');
        if !route.prefix.chars().all(is_in_path) {
            doubts.push(Doubt::UnmatchedPrefix { route: name(), prefix: route.prefix.clone() });
        }
        let shorter = self.routes.iter().filter(|it| covers(it, route));
        if let Some(next) = shorter.max_by_key(|it| it.prefix.len())
            && is_same_but_name(next, route)
        {
            doubts.push(Doubt::CoveredRoute { route: name(), covering: next.name.clone() });
        }
        let teams = self.teams.iter().filter(|it| !it.keys.is_empty());
        let disjoint = teams.filter(|it| {
            allowed_regions(&route.regions, &it.regions).is_some_and(|it| it.is_empty())
        });
        doubts.extend(
            disjoint.map(|it| Doubt::DisjointRegions { route: name(), team: it.name.clone() }),
        );
        let entry: Name = format!("route {}", route.name).into();
        let limits = route_contradictions(route).into_iter();
        doubts.extend(limits.map(|reason| Doubt::Limits { entry: entry.clone(), reason }));
        doubts
    }

    fn service_doubts(&self) -> impl Iterator<Item = Doubt> {
        let shares = self.routes.iter().flat_map(|it| &it.split);
        let routed: HashSet<_> = shares.filter(|it| it.weight > 0).map(|it| &it.service).collect();
        self.services.iter().flat_map(move |it| {
            let unrouted = !routed.contains(&it.name);
            let unrouted = unrouted.then(|| Doubt::UnroutedService { service: it.name.clone() });
            let entry: Name = format!("service {}", it.name).into();
            let limits = service_contradictions(it).into_iter();
            unrouted
                .into_iter()
                .chain(limits.map(move |reason| Doubt::Limits { entry: entry.clone(), reason }))
        })
    }
}

/// Returns whether the requests of `inner` would match `outer` without it.
fn covers(outer: &Route, inner: &Route) -> bool {
    outer.host == inner.host
        && outer.prefix.len() < inner.prefix.len()
        && inner.prefix.starts_with(&*outer.prefix)
}

fn is_same_but_name(a: &Route, b: &Route) -> bool {
    let renamed = Route { name: a.name.clone(), prefix: a.prefix.clone(), ..b.clone() };
    renamed == *a
}

fn route_contradictions(route: &Route) -> Vec<&'static str> {
    let is_stream = route.kind == RouteKind::Stream;
    let rules = [
        (route.target_ms > route.timeout_ms, "the target time is longer than the timeout"),
        (
            route.gap_ms > route.timeout_ms,
            "the target between two events is longer than the timeout",
        ),
        (route.gap_ms > 0 && !is_stream, "the target between two events applies to streams only"),
        (route.resumable && !is_stream, "only streams can be resumable"),
        (
            route.attempts == 0,
            "no attempts are allowed, so no request that may have run is retried",
        ),
    ];
    rules.into_iter().filter(|it| it.0).map(|it| it.1).collect()
}

fn service_contradictions(service: &Service) -> Vec<&'static str> {
    let engine = service.engine.as_ref();
    let has_engine = |rule: fn(&Engine) -> bool| engine.is_some_and(rule);
    let connections = service.connections;
    let is_half_cold = service.cold.is_some_and(|it| (it.start_ms == 0.0) != (it.rate == 0.0));
    let rules = [
        (has_engine(|it| it.slots == 0), "an engine without slots runs no request"),
        (has_engine(|it| it.kv_tokens == 0), "an engine without tokens runs no request"),
        (
            connections > 0 && engine.is_some_and(|it| it.slots > connections),
            "an endpoint accepts fewer connections than its engine has slots",
        ),
        (is_half_cold, "its endpoints are never cold, as only one of the time and the rate is set"),
    ];
    rules.into_iter().filter(|it| it.0).map(|it| it.1).collect()
}

fn caller_doubts(limits: &CallerLimits) -> impl Iterator<Item = Doubt> {
    let rules = [
        (limits.header_bytes == 0, "no request has headers of zero bytes"),
        (limits.body_bytes == 0, "every request with a body is refused"),
        (limits.header_ms == 0, "no headers are received in zero milliseconds"),
        (limits.idle_ms == 0, "connections are closed as soon as they are idle"),
    ];
    let found = rules.into_iter().filter(|it| it.0);
    found.map(|it| Doubt::Limits { entry: "limits".into(), reason: it.1 })
}
