//! Which routers a router sends its load reports to.
//!
//! In a large fleet, routers report to those of their own domain only. The relays of a domain send
//! the sum of its loads to the relays of the other domains, and those tell their domain the sum of
//! all others. Messages then grow with the size of a domain, not with the square of the fleet.

use {
    derive_more::Debug,
    model::{Domain, hash64, mix2},
    smallvec::SmallVec,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The maximum number of routers that all report to each other directly.
const MAX_DIRECT_ROUTERS: usize = 16;

/// The number of relays of a domain. Sums still arrive if one of them is lost.
const RELAYS: usize = 2;

/// Where one router sends its load reports.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Exchange {
    /// The routers that get this router's own reports, in order.
    pub direct: Vec<SocketAddr>,
    /// All other routers, in order.
    pub indirect: Vec<SocketAddr>,
    /// Whether this router sends the sum of its domain to other domains, and theirs to its own.
    pub is_relay: bool,
    /// The relays of each other domain. Empty if this router is no relay.
    relays: Vec<SmallVec<[SocketAddr; RELAYS]>>,
}

impl Exchange {
    /// Returns where the router at `own` in `domain` reports to. All routers with the same members
    /// agree on the relays.
    pub fn new<'a, I>(own: SocketAddr, domain: &Domain, members: I) -> Exchange
    where
        I: IntoIterator<Item = (SocketAddr, &'a Domain)>,
    {
        let mut domains: BTreeMap<&Domain, Vec<SocketAddr>> = BTreeMap::new();
        for (addr, member_domain) in members.into_iter().filter(|it| it.0 != own) {
            domains.entry(member_domain).or_default().push(addr);
        }
        domains.entry(domain).or_default().push(own);
        let routers: usize = domains.values().map(Vec::len).sum();
        let is_direct = routers <= MAX_DIRECT_ROUTERS;
        let (mut direct, mut indirect) = (Vec::new(), Vec::new());
        for (member_domain, addrs) in &domains {
            let is_reached = is_direct || *member_domain == domain;
            let reached = if is_reached { &mut direct } else { &mut indirect };
            reached.extend(addrs.iter().copied().filter(|it| *it != own));
        }
        direct.sort_unstable();
        indirect.sort_unstable();
        let mut exchange = Exchange { direct, indirect, is_relay: false, relays: Vec::new() };
        if is_direct || !relays(&domains[domain]).contains(&own) {
            return exchange;
        }
        exchange.is_relay = true;
        let others = domains.iter().filter(|it| *it.0 != domain);
        exchange.relays = others.map(|it| relays(it.1)).collect();
        exchange
    }

    /// Returns one relay of each other domain. Each round uses another one, so that a lost relay
    /// costs every other sum at most.
    pub fn remote_relays(&self, round: usize) -> impl Iterator<Item = SocketAddr> + '_ {
        self.relays.iter().filter_map(move |it| it.get(round % it.len().max(1)).copied())
    }
}

/// Returns the relays among the routers of a domain.
fn relays(routers: &[SocketAddr]) -> SmallVec<[SocketAddr; RELAYS]> {
    let mut ranked: Vec<_> = routers.iter().map(|it| (rank(*it), *it)).collect();
    ranked.sort_unstable();
    ranked.into_iter().take(RELAYS).map(|it| it.1).collect()
}

fn rank(addr: SocketAddr) -> u64 {
    mix2(hash64(addr.ip().to_string().as_bytes()), u64::from(addr.port()))
}
