//! The paths of this router to all endpoints.

use {
    crate::{
        peers::{Member, PeerFailure, Peers},
        regions::DomainRegions,
        scope::Scope,
    },
    derive_more::Debug,
    model::{Domain, Name, Time},
    std::{collections::HashMap, net::SocketAddr},
};

/// An endpoint, as a path leads to it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Endpoint {
    /// The service of the endpoint.
    pub service: Name,
    /// Distinguishes this run of the endpoint from others.
    pub incarnation: u64,
}

/// The endpoint of a request that another router is to carry.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// The failure domain of the endpoint.
    pub domain: &'a Domain,
    /// The regions in which the request may be handled, or `None` if it may in all.
    pub regions: Option<&'a [Name]>,
    /// How many routers have failed for this endpoint.
    pub failed: usize,
}

/// A change of what a router believes about its paths.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PathChange {
    /// The router does not reach endpoints any more.
    Lost {
        /// The service, or `None` for the endpoints of all services.
        service: Option<Name>,
        /// How long ago the last successful connection was begun, in microseconds.
        reached_ago: Option<u64>,
    },
    /// The router reaches endpoints again.
    Regained {
        /// The service, or `None` for the endpoints of all services.
        service: Option<Name>,
        /// How long the path was lost, in microseconds.
        lost_for: u64,
    },
}

/// The paths of one router.
#[derive(Default, Debug)]
pub struct Paths {
    /// The endpoints of all services.
    all: Scope,
    services: HashMap<Name, Scope>,
    peers: Peers,
    regions: DomainRegions,
}

impl Paths {
    /// Replaces the regions of the failure domains; `own` is the domain of this router.
    pub fn set_regions(&mut self, own: &Domain, regions: HashMap<Domain, Name>) {
        self.regions = DomainRegions::new(own, regions);
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints<I>(&mut self, endpoints: I)
    where
        I: IntoIterator<Item = Endpoint>,
    {
        let mut by_service: HashMap<Name, Vec<u64>> = HashMap::new();
        for Endpoint { service, incarnation } in endpoints {
            by_service.entry(service).or_default().push(incarnation);
        }
        self.all.set_endpoints(by_service.values().flatten().copied().collect());
        self.services.retain(|service, _| by_service.contains_key(service));
        for (service, endpoints) in by_service {
            self.services.entry(service).or_default().set_endpoints(endpoints);
        }
    }

    /// Returns whether this router does not reach the endpoints of a service by itself.
    pub fn is_lost(&self, service: &Name) -> bool {
        self.all.is_lost() || self.services.get(service).is_some_and(Scope::is_lost)
    }

    /// Records that an endpoint was reached over a direct connection begun at `begun_at`.
    pub fn record_reached(
        &mut self,
        now: Time,
        begun_at: Time,
        endpoint: &Endpoint,
    ) -> Vec<PathChange> {
        let regained = |service, lost_for: Option<u64>| {
            lost_for.map(|lost_for| PathChange::Regained { service, lost_for })
        };
        let all = regained(None, self.all.record_reached(now, begun_at));
        let scope = self.services.get_mut(&endpoint.service);
        let lost_for = scope.and_then(|it| it.record_reached(now, begun_at));
        all.into_iter().chain(regained(Some(endpoint.service.clone()), lost_for)).collect()
    }

    /// Records that an endpoint was not reached over a direct connection begun at `begun_at`: it was not
    /// established, or broke before a response came.
    pub fn record_failed(
        &mut self,
        now: Time,
        begun_at: Time,
        endpoint: &Endpoint,
    ) -> Vec<PathChange> {
        let Endpoint { service, incarnation } = endpoint;
        let mut changes = Vec::new();
        if self.all.record_failed(now, begun_at, *incarnation) {
            let reached_ago = self.all.reached_ago(now);
            changes.push(PathChange::Lost { service: None, reached_ago });
        }
        let Some(scope) = self.services.get_mut(service) else { return changes };
        if scope.record_failed(now, begun_at, *incarnation) {
            let reached_ago = scope.reached_ago(now);
            changes.push(PathChange::Lost { service: Some(service.clone()), reached_ago });
        }
        changes
    }

    /// Returns an endpoint of each service whose path is lost, to connect to directly. Equal random
    /// numbers give equal choices.
    pub fn probes(&self, random: u64) -> Vec<Endpoint> {
        let lost = self.services.iter().filter(|it| self.is_lost(it.0));
        let probes = lost.filter_map(|(service, scope)| {
            let at = random % scope.endpoints.len().max(1) as u64;
            let incarnation = *scope.endpoints.get(at as usize)?;
            Some(Endpoint { service: service.clone(), incarnation })
        });
        probes.collect()
    }

    /// Returns the router among `members` to ask for a path to an endpoint, or `None` if all have
    /// failed lately or must not receive the request. The endpoint's own domain goes first, where its
    /// bytes pass anyway. Once others have failed for this endpoint, those go first that reached one
    /// lately.
    pub fn choose_peer<'a, I>(
        &mut self,
        now: Time,
        members: I,
        destination: Destination<'_>,
        random: u64,
    ) -> Option<SocketAddr>
    where
        I: IntoIterator<Item = Member<'a>>,
    {
        let Destination { domain, regions, failed } = destination;
        let is_allowed = |it: &Member<'_>| self.regions.may_carry(it.domain, regions);
        let members = members.into_iter().filter(is_allowed);
        self.peers.choose(now, members, domain, failed, random)
    }

    /// Records that a router reached an endpoint for this one.
    pub fn record_carried(&mut self, now: Time, peer: Member<'_>) {
        self.peers.record_carried(now, peer);
    }

    /// Records that a router did not reach an endpoint for this one. Returns whether this is news.
    pub fn record_peer_failure(
        &mut self,
        now: Time,
        peer: Member<'_>,
        failure: PeerFailure,
    ) -> bool {
        self.peers.record_failure(now, peer, failure)
    }
}
