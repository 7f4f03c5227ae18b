//! Assigns an owner and standbys to each endpoint, as a pure function of the roster.

use {
    model::{Config, EndpointId, Epoch, Roster, RouterEntry, RouterId, RouterState, mix},
    smallvec::SmallVec,
};

/// The maximum number of holders of an endpoint. With up to this many live routers, every router is
/// a holder.
const MAX_HOLDERS: usize = 6;

/// The routers that may start work on an endpoint: the owner, followed by the standbys in order.
pub type Holders = SmallVec<[RouterId; MAX_HOLDERS]>;

/// The owner and the standbys of each endpoint of a configuration, computed from one roster.
///
/// The result for an endpoint depends only on the roster and the id of the endpoint, so routers
/// with different configurations and the same roster agree on every endpoint that both know.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Owners {
    epoch: Epoch,
    /// Sorted by endpoint.
    table: Vec<(EndpointId, Holders)>,
}

impl Owners {
    /// Computes the holders of all endpoints of `config`.
    pub fn compute(roster: &Roster, config: &Config) -> Owners {
        let mut ranking = Ranking::new(roster);
        let table = config.endpoints.keys().map(|it| (*it, ranking.holders(*it))).collect();
        Owners { epoch: roster.epoch, table }
    }

    /// Returns the epoch of the roster that this was computed from.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the owner followed by the standbys; empty if the endpoint is unknown or there are no
    /// live routers.
    pub fn holders(&self, endpoint: EndpointId) -> &[RouterId] {
        match self.table.binary_search_by_key(&endpoint, |it| it.0) {
            Ok(at) => &self.table[at].1,
            Err(_) => &[],
        }
    }

    /// Returns the only router that may use the whole load bound of the endpoint.
    pub fn owner(&self, endpoint: EndpointId) -> Option<RouterId> {
        self.holders(endpoint).first().copied()
    }

    /// Returns the routers that may use a fixed share without a lease, in the order in which they
    /// should be tried.
    pub fn standbys(&self, endpoint: EndpointId) -> &[RouterId] {
        self.holders(endpoint).get(1..).unwrap_or_default()
    }

    /// Returns the rank of a router among the holders; the owner has rank 0.
    pub fn rank(&self, endpoint: EndpointId, router: RouterId) -> Option<usize> {
        self.holders(endpoint).iter().position(|it| *it == router)
    }

    /// Returns the endpoints that a router owns, sorted by id.
    pub fn owned(&self, router: RouterId) -> impl Iterator<Item = EndpointId> {
        self.table.iter().filter(move |it| it.1.first() == Some(&router)).map(|it| it.0)
    }

    /// Returns the endpoints of which a router is the owner or a standby, sorted by id.
    pub fn owned_or_standby(&self, router: RouterId) -> impl Iterator<Item = EndpointId> {
        self.table.iter().filter(move |it| it.1.contains(&router)).map(|it| it.0)
    }
}

/// Computes the holders of an endpoint.
pub fn holders(roster: &Roster, endpoint: EndpointId) -> Holders {
    Ranking::new(roster).holders(endpoint)
}

/// The live routers, with everything precomputed that does not depend on the endpoint.
struct Ranking {
    routers: Vec<Candidate>,
    /// Scratch space: scores and indices into `routers`.
    scores: Vec<(u64, usize)>,
    domains: usize,
    count: usize,
}

struct Candidate {
    id: RouterId,
    seed: u64,
    domain: usize,
}

impl Ranking {
    fn new(roster: &Roster) -> Ranking {
        let live = || roster.routers.iter().filter(|it| it.state == RouterState::Live);
        let mut domains: Vec<_> = live().map(|it| &it.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let candidate = |it: &RouterEntry| Candidate {
            id: it.id,
            seed: mix(u64::from(it.id.0)),
            domain: domains.partition_point(|domain| *domain < &it.domain),
        };
        let routers: Vec<_> = live().map(candidate).collect();
        let count = routers.len().min(MAX_HOLDERS);
        Ranking {
            scores: Vec::with_capacity(routers.len()),
            domains: domains.len(),
            count,
            routers,
        }
    }

    /// Returns the best router of each domain, ordered by score. This equals the first round of
    /// `holders`.
    fn best_per_domain(&self) -> Holders {
        let mut best: SmallVec<[(u64, usize); 16]> = SmallVec::from_elem((0, 0), self.domains);
        for score in &self.scores {
            let best = &mut best[self.routers[score.1].domain];
            *best = (*best).max(*score);
        }
        best.sort_unstable_by(|a, b| b.cmp(a));
        best.iter().take(self.count).map(|it| self.routers[it.1].id).collect()
    }

    /// Selects routers in order of their scores, at most one per domain in each round.
    fn holders(&mut self, endpoint: EndpointId) -> Holders {
        let key = u64::from(endpoint.0) << 32;
        let score = |it: &Candidate| mix(it.seed ^ key);
        self.scores.clear();
        self.scores.extend(self.routers.iter().map(score).zip(0..));
        if self.domains >= self.count {
            return self.best_per_domain();
        }
        self.scores.sort_unstable_by(|a, b| b.cmp(a));
        let mut last_rounds: SmallVec<[u8; 16]> = SmallVec::from_elem(0, self.domains);
        let mut holders = Holders::new();
        let mut round = 0;
        while holders.len() < self.count {
            round += 1;
            for (_, at) in &mut self.scores {
                let Some(router) = self.routers.get(*at) else { continue };
                if holders.len() < self.count && last_rounds[router.domain] < round {
                    last_rounds[router.domain] = round;
                    holders.push(router.id);
                    *at = usize::MAX;
                }
            }
        }
        holders
    }
}
